package main

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

func TestPublishedSchemasAreCurrent(t *testing.T) {
	for _, kind := range []string{"document", "section", "settings"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			want, err := schemaOf(kind)
			is.NoErr(err)
			got, err := os.ReadFile("../../docs/schema/" + kind + ".json")
			is.NoErr(err)
			is.Equal(string(got), string(want)) // To update: lagoonramp schema KIND >docs/schema/KIND.json
		})
	}
}

func TestPublishedExamplesAreValid(t *testing.T) {
	is := is.New(t)
	_, err := setup.Load("../../docs/examples/h1.json")
	is.NoErr(err)
	data, err := os.ReadFile("../../docs/examples/entry.json")
	is.NoErr(err)
	var s conf.Section
	is.NoErr(conf.Decode(data, &s))
	is.NoErr(conf.Check(&conf.Document{Teams: map[string]conf.Section{"entry": s}}))
}

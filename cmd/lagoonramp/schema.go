package main

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/invopop/jsonschema"
	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

func schemaCommand() *cli.Command {
	return &cli.Command{
		Name:      "schema",
		Usage:     "print the JSON Schema of the operators' document, a section or the settings",
		ArgsUsage: "document|section|settings",
		Action: func(_ context.Context, c *cli.Command) error {
			out, err := schemaOf(c.Args().First())
			if err != nil {
				return err
			}
			fmt.Print(string(out))
			return nil
		},
	}
}

// schemaOf returns the JSON Schema of a kind of file: document, section or
// settings.
func schemaOf(kind string) ([]byte, error) {
	v, ok := map[string]any{"document": &conf.Document{}, "section": &conf.Section{}, "settings": &setup.Settings{}}[kind]
	if !ok {
		return nil, cli.Exit(fmt.Sprintf("%q must be document, section or settings", kind), exitUsage)
	}
	r := jsonschema.Reflector{Anonymous: true, Mapper: mapType}
	s := r.Reflect(v)
	out, err := json.MarshalIndent(s, "", "  ")
	return append(out, '\n'), err
}

// mapType returns the schema of a type whose JSON form differs from its Go form
// or is restricted to an enumeration, and nil for all other types.
func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[conf.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^-?([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`, Examples: []any{"2.5s"}}
	case reflect.TypeFor[conf.Protocol]():
		return &jsonschema.Schema{Type: "string", Enum: []any{conf.UDP, conf.TCP, conf.HTTP}}
	case reflect.TypeFor[conf.State]():
		return &jsonschema.Schema{Type: "string", Enum: []any{conf.Joining, conf.Active, conf.Draining, conf.Leaving}}
	case reflect.TypeFor[conf.Class]():
		return &jsonschema.Schema{Type: "string", Enum: []any{conf.Short, conf.Long}}
	}
	return nil
}

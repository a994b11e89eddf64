package setup

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

const validSettings = `{
 "name": "h1", "dataCentre": "sapporo", "peer": "127.0.0.1:7000", "admin": "127.0.0.1:7001",
 "ingress": {"udp": "127.0.0.1:7002", "tcp": "127.0.0.1:7003", "fabric": "127.0.0.1:7004"},
 "platform": "http://127.0.0.1:7005",
 "keys": [{"id": 1, "secret": "00112233445566778899aabbccddeeff"}]
}`

func TestParseValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.PeerKeys()[0].ID, uint8(1))
}

func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"peer": "x", "platform": "ftp:", "keys": [{"id": 0, "secret": "aa"}],
		"tokens": {"a": "zz"}, "log": {"level": "loud"}, "limits": {"flows": -1}}`))
	var check *conf.CheckError
	is.True(errors.As(err, &check))
	fields := map[string]bool{}
	for _, f := range check.Faults {
		fields[f.Field] = true
	}
	for _, want := range []string{"name", "dataCentre", "peer", "admin", "ingress", "platform",
		"keys[0].id", "keys[0].secret", "tokens.a", "log.level", "limits.flows"} {
		if !fields[want] {
			t.Errorf("no fault for %s", want)
		}
	}
}

func TestParseRejectsUnknownField(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`{"nmae": "h1"}`))
	is.True(err != nil)
}

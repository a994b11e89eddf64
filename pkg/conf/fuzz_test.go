package conf_test

import (
	"testing"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// FuzzSection feeds the decoder and the check with sections. A section that
// passes must have usable addresses, and its canonical form must pass again.
func FuzzSection(f *testing.F) {
	f.Add([]byte(`{"services":[{"name":"a","address":"192.0.2.1:1","protocol":"udp","idleTimeout":"5s","servers":[
		{"name":"s","address":"192.0.2.2:1","dataCentre":"x","slots":1,"connections":1,"state":"active"}]}]}`))
	f.Add([]byte(`{"services":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s conf.Section
		if conf.Decode(data, &s) != nil {
			return
		}
		d := conf.Document{Teams: map[string]conf.Section{"team": s}}
		if conf.Check(&d) != nil {
			return
		}
		d.EachServer(func(svc *conf.Service, v *conf.Server) {
			_ = svc.AddrPort()
			_ = v.AddrPort()
		})
		var again conf.Section
		if err := conf.Decode(conf.EncodeSection(s), &again); err != nil {
			t.Fatal(err)
		}
		if len(conf.Diff(s, again)) > 0 {
			t.Fatal("the canonical form differs")
		}
	})
}

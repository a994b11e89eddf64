package host

import (
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// TestConfigFromOtherDataCentreWhilePlatformDown checks that a host whose platform
// goes down after the first list of hosts adopts the configuration of a host of
// another data centre.
func TestConfigFromOtherDataCentreWhilePlatformDown(t *testing.T) {
	is := is.New(t)
	a := startHost(t, "a", fakes.NewPlatform(), nil)
	status, _ := putSection(t, a, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	is.Equal(status, 200)
	eventually(t, "revision 1 is in force", func() bool { return a.Status().Revision == 1 })
	failing := fakes.NewPlatform()
	failing.SetHosts([]store.Host{{Name: "a", DataCentre: "sapporo", PeerAddress: a.settings.Peer}})
	b := startHost(t, "b", failing, func(s *setup.Settings) { s.DataCentre = "yoichi" })
	eventually(t, "the list of hosts was read", func() bool { return len(*b.foreignHosts.Load()) == 1 })
	failing.SetFaults(fakes.PlatformFaults{Down: true})
	eventually(t, "the other data centre's revision is in force", func() bool { return b.Status().Revision == 1 })
	eventually(t, "the status reports that the platform is down", func() bool { return b.Status().PlatformDown })
}

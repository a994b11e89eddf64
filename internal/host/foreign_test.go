package host

import (
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// TestDataCentreCutFromThePlatformAsksAnother gives a host a platform that
// answers with the list of hosts once and is down from then on.
func TestDataCentreCutFromThePlatformAsksAnother(t *testing.T) {
	is := is.New(t)
	a := start(t, "a", fakes.NewPlatform(), nil)
	status, _ := put(t, a, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	is.Equal(status, 200)
	eventually(t, "revision 1 is in force", func() bool { return a.Status().Revision == 1 })
	cut := fakes.NewPlatform()
	cut.SetHosts([]store.Host{{Name: "a", DataCentre: "sapporo", PeerAddress: a.set.Peer}})
	b := start(t, "b", cut, func(s *setup.Settings) { s.DataCentre = "yoichi" })
	eventually(t, "the list of hosts was read", func() bool { return len(*b.foreign.Load()) == 1 })
	cut.SetFaults(fakes.PlatformFaults{Down: true})
	eventually(t, "the other data centre's revision is in force", func() bool { return b.Status().Revision == 1 })
	eventually(t, "the platform is known to be down", func() bool { return b.Status().PlatformDown })
}

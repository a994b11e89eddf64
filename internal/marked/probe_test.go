package marked

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// newProbedServer returns a server that accepts connections if open is set, and
// refuses them otherwise.
func newProbedServer(t *testing.T, open bool) *fleet.Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if open {
		t.Cleanup(func() { _ = l.Close() })
	} else {
		_ = l.Close()
	}
	return &fleet.Server{Address: netip.MustParseAddrPort(l.Addr().String())}
}

// TestProbeComparesServerWithReference checks that a server counts as failed only
// if its reference is reached: a host that reaches neither is itself at fault.
func TestProbeComparesServerWithReference(t *testing.T) {
	tests := []struct {
		name              string
		server, reference bool
		want              steer.ProbeResult
	}{
		{"both accept", true, true, steer.ProbeAnswered},
		{"only the server accepts", true, false, steer.ProbeAnswered},
		{"only the reference accepts", false, true, steer.ProbeFailed},
		{"none accepts", false, false, steer.ProbeInconclusive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			traffic := &traffic{clock: newClock()}
			p := steer.Probe{
				Server: newProbedServer(t, tt.server), Reference: newProbedServer(t, tt.reference),
				Timeout: time.Second, ReferenceTimeout: time.Second / 2,
			}
			is.Equal(traffic.probe(p), tt.want)
			p.Reference = nil
			if tt.want == steer.ProbeFailed {
				tt.want = steer.ProbeInconclusive
			}
			is.Equal(traffic.probe(p), tt.want)
		})
	}
}

package marked

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// TestNoSYNResendDuringRerouting checks that a host does not resend a SYN in
// the rerouting windows. Routers may have moved the flow to another host, so
// that this one does not see the answer. If it took the server for
// unresponsive, three more servers would receive the SYN and answer it.
func TestNoSYNResendDuringRerouting(t *testing.T) {
	is := is.New(t)
	k := steer.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
	var view atomic.Pointer[publishedView]
	view.Store(&publishedView{hostCount: 1, view: twoServers(k.Service)})
	host := &traffic{published: &view, table: steer.NewTable(steer.Settings{Rand: rand.New(rand.NewPCG(1, 1))})}
	open := func(now time.Duration, sequence uint32) {
		v := host.table.HandlePacket(now, &steer.Packet{Key: k, Sequence: sequence, SYN: true}, make([]byte, 36))
		is.Equal(v.Action, steer.Forward)
	}

	host.updateTable(0)
	open(0, 1)
	_, resent := host.table.NextResend(startupReroutingWindow - 1)
	is.True(!resent)

	open(startupReroutingWindow, 2)
	_, resent = host.table.NextResend(startupReroutingWindow + time.Second)
	is.True(resent)

	const joined = 10 * time.Second
	host.reroutingEnd.Store(int64(joined + joinReroutingWindow))
	host.updateTable(joined)
	open(joined, 3)
	_, resent = host.table.NextResend(joined + joinReroutingWindow - 1)
	is.True(!resent)
}

// TestNewFlowsWaitForViewAfterLongPause guards against a new flow to a data centre
// that was evacuated while the process was paused: until the view is confirmed, SYNs
// are dropped. If neither the store nor another host confirms it, the known view
// stays in force.
func TestNewFlowsWaitForViewAfterLongPause(t *testing.T) {
	const pausedAt = 10 * time.Second
	for _, tt := range []struct {
		name             string
		pause            time.Duration
		confirmed, asked time.Duration // After the end of the pause.
		want             bool
	}{
		{"short pause", time.Second, -1, time.Millisecond, false},
		{"long pause", longPause, -1, time.Millisecond, true},
		{"view confirmed since", longPause, 0, time.Millisecond, false},
		{"nobody confirms the view", longPause, -1, maxViewWait, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			end := pausedAt + tt.pause
			host := &traffic{clock: newClock(), current: &publishedView{confirmedAt: end + tt.confirmed}}
			host.clock.heartbeat(pausedAt - pauseThreshold)
			host.clock.heartbeat(pausedAt)
			host.detectStale(end, 1) // Empties the socket.
			host.detectStale(end+tt.asked/2, 1)
			host.detectStale(end+tt.asked, 1)
			is.Equal(host.batchStale, tt.want)
		})
	}
}

// twoServers returns a view with a route to a service with two servers.
func twoServers(route netip.AddrPort) *fleet.View {
	a := &fleet.Server{ID: "a", Service: "desk", DataCentre: "x", Slots: 2, Mark: 1}
	b := &fleet.Server{ID: "b", Service: "desk", DataCentre: "x", Slots: 2, Mark: 2}
	return &fleet.View{
		DocumentVersion: 1,
		Usable:          map[string][]*fleet.Server{"desk": {a, b}},
		ServersByMark:   map[uint32]*fleet.Server{1: a, 2: b},
		Routes:          map[netip.AddrPort]*fleet.RouteState{route: {Targets: []fleet.Target{{Service: "desk", Weight: 1}}}},
	}
}

package marked

import (
	"net"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/internal/batch"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// maxRefusalViewAge is the maximum age of the view for refusing a flow, except
// because of overload.
const maxRefusalViewAge = 3 * time.Second

// refusal is a flow that cannot be opened.
type refusal struct {
	key    steer.Key
	reason steer.Reason
	// priority is that of the route, and waited how long the SYN was held. evicted
	// reports whether the hold ended early, because too many SYNs were held.
	priority int
	waited   time.Duration
	evicted  bool
	// linkFull reports whether the SYN waited for the host's link.
	linkFull bool
}

// refuseFlow resets a flow that cannot be opened. If the view is too old to
// tell that a route or a server does not exist, it drops the packet without an
// answer, except in case of overload or evacuations of all servers.
func (t *traffic) refuseFlow(now time.Duration, r refusal) {
	isCertain := r.reason == steer.Overload || r.reason == steer.NoServer && t.current.view.IsEvacuated(r.key.Service)
	if !isCertain && now-t.current.confirmedAt > maxRefusalViewAge {
		t.counters.Dropped[r.reason].Add(1)
		t.log.packetDropped(now, &steer.Packet{Key: r.key}, r.reason, t.current)
		return
	}
	t.counters.Refused.Add(1)
	if r.reason != steer.NoRoute {
		t.counters.RefusedByPriority[min(r.priority, priorityCount-1)].Add(1)
	}
	t.log.flowRefused(now, r, t.current)
	t.sendReset(r.key, 0)
}

// sendReset queues a reset of a flow for the next flush of the writer.
func (t *traffic) sendReset(k steer.Key, sequence uint32) {
	start := len(t.resetBuf)
	if cap(t.resetBuf)-start < t.codec.MaxPacket() {
		t.resetBuf = make([]byte, 0, batch.Size*t.codec.MaxPacket())
		start = 0
	}
	t.resetBuf = t.codec.AppendReset(t.resetBuf, k, sequence)
	to := netip.AddrPortFrom(k.Caller.Addr(), uint16(t.conn.LocalAddr().(*net.UDPAddr).Port))
	t.writer.Add(t.resetBuf[start:], to)
}

package steer

import (
	"math"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
)

const (
	// linkBucket and linkBuckets divide the window over which the load of the host's
	// link counts, 200 ms: about as much as routers and callers queue before
	// they lose packets.
	linkBucket  = 50 * time.Millisecond
	linkBuckets = 4
	// maxLinkLoad is the load of the link from which new flows of heavy routes are
	// held.
	maxLinkLoad = 0.9
	// linkDecay is the factor per bucket by which earlier flows lose weight in the
	// mean size of a route's flows: half in 1.7 s.
	linkDecay = 0.98
)

// link measures the load of the host's own link. It answers bursts of flows that
// carry much data, such as uploads, over a link that is small beside the servers:
// a packet queued there delays the flows of all routes, also those that carry
// little. Only routes whose recent flows are larger than the mean over all flows
// wait. The zero value has no limit.
type link struct {
	// capacity is the number of bytes that the link carries in a window, 0 for no
	// limit.
	capacity float64
	// bucketEnd is the end of the present bucket, at index current.
	bucketEnd time.Duration
	current   int
	// sent holds the bytes forwarded by bucket, and sentTotal those of the window.
	sent      [linkBuckets]float64
	sentTotal float64
	// backlog is the number of bytes that the flows opened so far should still
	// carry, if they do so at maxLinkLoad.
	backlog float64
	// all is the traffic of all routes, and routes that of each.
	all    linkTraffic
	routes map[netip.AddrPort]*linkTraffic
}

// linkTraffic holds the bytes and the new flows of a route, recent ones with more
// weight.
type linkTraffic struct{ bytes, flows float64 }

// meanSize returns the mean size in bytes of recent flows.
func (r *linkTraffic) meanSize() float64 { return r.bytes / max(1, r.flows) }

// setRate sets the rate of the link in bytes per second, 0 for no limit.
func (k *link) setRate(rate float64) {
	k.capacity = rate * (linkBuckets * linkBucket).Seconds()
	k.routes = map[netip.AddrPort]*linkTraffic{}
}

// update starts the buckets up to now.
func (k *link) update(now time.Duration) {
	if now-k.bucketEnd > linkBuckets*linkBucket {
		k.sent, k.backlog = [linkBuckets]float64{}, 0
		k.bucketEnd = now
	}
	for ; now >= k.bucketEnd; k.bucketEnd += linkBucket {
		k.current = (k.current + 1) % linkBuckets
		k.sent[k.current] = 0
		k.backlog = max(0, k.backlog-maxLinkLoad*k.capacity/linkBuckets)
		k.all.decay()
		for _, r := range k.routes {
			r.decay()
		}
	}
	k.sentTotal = 0
	for _, n := range k.sent {
		k.sentTotal += n
	}
}

// decay reduces the weight of the traffic so far.
func (r *linkTraffic) decay() {
	r.bytes *= linkDecay
	r.flows *= linkDecay
}

// recordPacket records that a packet of a route is forwarded.
func (k *link) recordPacket(now time.Duration, route netip.AddrPort, size int) {
	if k.capacity == 0 {
		return
	}
	if now >= k.bucketEnd {
		k.update(now)
	}
	k.sent[k.current] += float64(size)
	k.sentTotal += float64(size)
	k.all.bytes += float64(size)
	k.route(route).bytes += float64(size)
}

// recordFlow records that the SYN of a flow is sent to a server.
func (k *link) recordFlow(now time.Duration, route netip.AddrPort) {
	if k.capacity == 0 {
		return
	}
	if now >= k.bucketEnd {
		k.update(now)
	}
	r := k.route(route)
	k.backlog += r.meanSize()
	k.all.flows++
	r.flows++
}

// route returns the traffic of a route.
func (k *link) route(address netip.AddrPort) *linkTraffic {
	r := k.routes[address]
	if r == nil {
		r = &linkTraffic{}
		k.routes[address] = r
	}
	return r
}

// isFull reports whether flows of heavy routes must wait. The backlog counts like
// the bytes forwarded, so that released flows do not overshoot before their data
// arrives.
func (k *link) isFull() bool {
	return k.capacity > 0 && max(k.sentTotal, k.backlog) >= maxLinkLoad*k.capacity
}

// isHeavy reports whether the recent flows of a route are at least as large as the
// mean over all flows.
func (k *link) isHeavy(address netip.AddrPort) bool {
	r := k.routes[address]
	// The factor allows for rounding if all flows are of one route.
	const rounding = 1.000001
	return r != nil && r.flows > 0 && r.meanSize()*rounding >= k.all.meanSize()
}

// setView deletes the traffic of removed routes.
func (k *link) setView(v *fleet.View) {
	for a := range k.routes {
		if v.Routes[a] == nil {
			delete(k.routes, a)
		}
	}
}

// holdForLink holds the SYN of a new flow of a heavy route if the link is full or
// if SYNs are held that precede it, and reports whether it did.
func (t *Table) holdForLink(now time.Duration, f *flow, route *fleet.RouteState, p *Packet) bool {
	k := &t.link
	if k.capacity == 0 || !k.isHeavy(f.key.Service) {
		return false
	}
	k.update(now)
	f.prepareHold(route, p)
	if !k.isFull() && t.linkQueue.MayPass(&f.held, f.overdue) {
		return false
	}
	f.heldByLink = true
	f.holdDeadline = now + t.limitedHoldTime(route) - p.SinceFirst
	t.startHold(now, f, route)
	return true
}

// linkDeadline returns when NextResend must check the link again: at the end of the
// bucket while SYNs wait for it. Each of them has a timer, too.
func (t *Table) linkDeadline() time.Duration {
	if t.linkQueue.Len() == 0 {
		return math.MaxInt64
	}
	return t.link.bucketEnd
}

// nextFromLink returns a SYN that the link admits now and the limiter of its service
// too; ok is false if there is none. A SYN that the limiter does not admit, or that
// others precede there, is held there.
func (t *Table) nextFromLink(now time.Duration) (Resend, bool) {
	if t.linkQueue.Len() == 0 {
		return Resend{}, false
	}
	t.link.update(now)
	for !t.link.isFull() {
		h := t.linkQueue.Pop(true)
		if h == nil {
			break
		}
		f := h.Owner
		f.heldByLink = false
		l := t.limiter(f.service)
		isFull := l.isFull(f.overdue)
		if isFull || !l.held.MayPass(h, f.overdue) {
			l.heldInWindow = l.heldInWindow || isFull
			l.evictionPending = true
			t.enqueue(now, f)
			continue
		}
		if r, ok := t.release(now, f); ok {
			return r, true
		}
	}
	return Resend{}, false
}

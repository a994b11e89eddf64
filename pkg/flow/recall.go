package flow

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// printBits is the width of a flow's fingerprint in exceptions.
	printBits = 28
	// tellEvery is the period in which exceptions are told.
	tellEvery = time.Second
	// scanPerTell bounds the entries looked at in one period for exceptions
	// that have to be told again.
	scanPerTell = 50_000
	// maxTell bounds the exceptions of one message.
	maxTell = 300
	// maxHeardPerHost bounds the exceptions kept of one host and generation.
	maxHeardPerHost = 200_000
)

// fingerprint returns what names a flow in exceptions.
func fingerprint(hash uint64) uint32 {
	return uint32(hash >> (64 - printBits))
}

// exception says that a flow is not on its first candidate. Server is 0 for
// the second candidate.
type exception struct {
	print  uint32
	server uint64
}

// teller collects exceptions for the hosts that take over after a crash.
type teller struct {
	// queue holds what has to be told, by successor.
	queue  map[uint64][]exception
	nextAt time.Duration
	// since is when views or servers last changed: what was told before has
	// to be looked at again.
	since  time.Duration
	cursor int
	// again holds what was told in the last period. It is told once more,
	// since one lost datagram may hold all exceptions of a change.
	again []Message
}

func newTeller() teller {
	return teller{queue: map[uint64][]exception{}}
}

// restart makes the teller go over all flows again.
func (l *teller) restart(now time.Duration) { l.since = now }

// consider queues an exception if the flow is not on its first candidate.
func (t *Table) consider(now time.Duration, e *entry, hash uint64) {
	e.told = now
	set := t.services[e.key.Service]
	if set == nil {
		return
	}
	first, second := set.candidates(hash)
	if e.peer == first {
		return
	}
	to := t.view.Successor(hash, t.view.Self)
	if to == 0 {
		return
	}
	x := exception{print: fingerprint(hash)}
	if e.peer != second {
		x.server = e.peer
	}
	t.teller.queue[to] = append(t.teller.queue[to], x)
}

// rescan looks again at flows whose exceptions are old or were told before
// the last change.
func (t *Table) rescan(now time.Duration) {
	n := len(t.slab.entries)
	for range min(n, scanPerTell) {
		if t.teller.cursor >= n {
			t.teller.cursor = 0
		}
		e := &t.slab.entries[t.teller.cursor]
		t.teller.cursor++
		if e.state != held {
			continue
		}
		if e.told <= t.teller.since || now-e.told >= t.set.RefreshInterval {
			t.consider(now, e, e.key.Hash())
		}
	}
}

// tell sends queued exceptions within the limit of bytes.
func (t *Table) tell(now time.Duration, out []Action) []Action {
	if now < t.teller.nextAt {
		return out
	}
	t.teller.nextAt = now + tellEvery
	budget := t.set.MaxExceptionBytesPerSecond
	for _, m := range t.teller.again {
		out = append(out, Action{Kind: SendToHost, Message: m})
		budget -= len(m.Payload)
	}
	t.teller.again = t.teller.again[:0]
	queued := 0
	for _, q := range t.teller.queue {
		queued += len(q)
	}
	if queued < budget {
		t.rescan(now)
	}
	for _, to := range t.successors() {
		q := t.teller.queue[to]
		for len(q) > 0 && budget > 0 {
			n := min(len(q), maxTell)
			body := packExceptions(q[:n])
			budget -= len(body)
			q = q[n:]
			m := Message{Kind: Exceptions, From: t.view.Self, To: to, Payload: body}
			out = append(out, Action{Kind: SendToHost, Message: m})
			t.teller.again = append(t.teller.again, m)
		}
		t.teller.queue[to] = q
		if len(q) == 0 || !t.view.IsMember(to) {
			delete(t.teller.queue, to)
		}
	}
	return out
}

// successors returns the hosts with queued exceptions in a fixed order.
func (t *Table) successors() []uint64 {
	out := make([]uint64, 0, len(t.teller.queue))
	for to := range t.teller.queue {
		out = append(out, to)
	}
	slices.Sort(out)
	return out
}

// packExceptions encodes exceptions as the gaps between their sorted
// fingerprints. The low bit of a gap tells whether a server follows. It sorts
// its argument.
func packExceptions(xs []exception) []byte {
	slices.SortFunc(xs, func(a, b exception) int { return int(int64(a.print) - int64(b.print)) })
	body := make([]byte, 0, 4*len(xs))
	var last uint32
	for _, x := range xs {
		gap := uint64(x.print-last) << 1
		last = x.print
		if x.server != 0 {
			gap |= 1
		}
		body = binary.AppendUvarint(body, gap)
		if x.server != 0 {
			body = binary.LittleEndian.AppendUint64(body, x.server)
		}
	}
	return body
}

// unpackExceptions decodes packExceptions. It returns false if the body is
// malformed.
func unpackExceptions(body []byte, yield func(exception)) bool {
	var last uint64
	for len(body) > 0 {
		gap, n := binary.Uvarint(body)
		if n <= 0 {
			return false
		}
		body = body[n:]
		last += gap >> 1
		if last >= 1<<printBits {
			return false
		}
		x := exception{print: uint32(last)}
		if gap&1 == 1 {
			if len(body) < 8 {
				return false
			}
			x.server = binary.LittleEndian.Uint64(body)
			body = body[8:]
		}
		yield(x)
	}
	return true
}

// heard holds the exceptions that other hosts told, by host, in two
// generations.
type heard struct {
	// hosts is in the order in which the hosts were first heard.
	hosts []*generations
}

type generations struct {
	host            uint64
	current, former map[uint32]uint64
	turnedAt        time.Duration
}

func newHeard() heard {
	return heard{}
}

// take stores told exceptions. A generation lasts a little longer than the
// period in which living flows are told again.
func (h *heard) take(now time.Duration, from uint64, body []byte, refresh time.Duration) {
	g := h.of(now, from)
	if now-g.turnedAt > refresh+refresh/4 {
		g.former = g.current
		g.current = map[uint32]uint64{}
		g.turnedAt = now
	}
	unpackExceptions(body, func(x exception) {
		if len(g.current) < maxHeardPerHost {
			g.current[x.print] = x.server
		}
	})
}

// of returns the generations of a host, new ones if it was not heard before.
func (h *heard) of(now time.Duration, host uint64) *generations {
	for _, g := range h.hosts {
		if g.host == host {
			return g
		}
	}
	g := &generations{host: host, current: map[uint32]uint64{}, turnedAt: now}
	h.hosts = append(h.hosts, g)
	return g
}

// server returns the server that exceptions give for a flow, or 0.
func (h *heard) server(hash, second uint64) uint64 {
	p := fingerprint(hash)
	for _, g := range h.hosts {
		for _, m := range [2]map[uint32]uint64{g.current, g.former} {
			s, ok := m[p]
			if !ok {
				continue
			}
			if s == 0 {
				return second
			}
			return s
		}
	}
	return 0
}

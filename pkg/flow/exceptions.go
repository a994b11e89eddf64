package flow

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// fingerprintBits is the width of the fingerprint of a flow.
	fingerprintBits = 28
	// sendInterval is the interval at which exceptions are sent.
	sendInterval = time.Second
	// maxRescanEntries bounds the entries that are checked in one sendInterval
	// for exceptions to be sent again.
	maxRescanEntries = 50_000
	// maxExceptionsPerMessage bounds the exceptions of one message.
	maxExceptionsPerMessage = 300
	// maxReceivedPerHost bounds the exceptions stored per sending host and
	// generation.
	maxReceivedPerHost = 200_000
)

// fingerprint returns the upper bits of a flow's hash, which identify the flow
// in exceptions.
func fingerprint(hash uint64) uint32 {
	return uint32(hash >> (64 - fingerprintBits))
}

// exception records that a flow is not pinned to its first candidate.
type exception struct {
	fingerprint uint32
	// server is the server of the flow, 0 if it is the second candidate.
	server uint64
}

// exceptionSender queues exceptions for the hosts that take over the flows
// after a crash of this host.
type exceptionSender struct {
	// queue holds the exceptions that are not yet sent, by successor.
	queue map[uint64][]exception
	// nextSendAt is when exceptions are sent next.
	nextSendAt time.Duration
	// changedAt is when the view or the servers last changed. Flows that were
	// checked before must be checked again.
	changedAt time.Duration
	// rescanCursor is the next entry to check.
	rescanCursor int
	// resend holds the messages of the last sendInterval. They are sent a
	// second time, since one lost datagram may hold all exceptions of a change.
	resend []Message
}

func newExceptionSender() exceptionSender {
	return exceptionSender{queue: map[uint64][]exception{}}
}

// requestRescan makes rescanEntries check all flows again.
func (s *exceptionSender) requestRescan(now time.Duration) { s.changedAt = now }

// queueException queues an exception for the flow's successor if the flow is
// not pinned to its first candidate.
func (t *Table) queueException(now time.Duration, e *entry, hash uint64) {
	e.exceptionCheckedAt = now
	servers := t.services[e.key.Service]
	if servers == nil {
		return
	}
	first, second := servers.candidates(hash)
	if e.target == first {
		return
	}
	to := t.view.Successor(hash, t.view.Self)
	if to == 0 {
		return
	}
	x := exception{fingerprint: fingerprint(hash)}
	if e.target != second {
		x.server = e.target
	}
	t.sender.queue[to] = append(t.sender.queue[to], x)
}

// rescanEntries queues exceptions again for the flows that were last checked
// before the last change of the view or the servers, or a refresh interval ago.
func (t *Table) rescanEntries(now time.Duration) {
	n := len(t.slab.entries)
	for range min(n, maxRescanEntries) {
		if t.sender.rescanCursor >= n {
			t.sender.rescanCursor = 0
		}
		e := &t.slab.entries[t.sender.rescanCursor]
		t.sender.rescanCursor++
		if e.state != statePinned {
			continue
		}
		if e.exceptionCheckedAt <= t.sender.changedAt || now-e.exceptionCheckedAt >= t.settings.RefreshInterval {
			t.queueException(now, e, e.key.Hash())
		}
	}
}

// sendExceptions sends the messages of the last sendInterval again and then
// queued exceptions, until MaxExceptionBytesPerSecond is used up. While the queue
// is short, it also rescans entries.
func (t *Table) sendExceptions(now time.Duration, out []Action) []Action {
	if now < t.sender.nextSendAt {
		return out
	}
	t.sender.nextSendAt = now + sendInterval
	budget := t.settings.MaxExceptionBytesPerSecond
	for _, m := range t.sender.resend {
		out = append(out, Action{Kind: SendToHost, Message: m})
		budget -= len(m.Payload)
	}
	t.sender.resend = t.sender.resend[:0]
	queueLen := 0
	for _, q := range t.sender.queue {
		queueLen += len(q)
	}
	if queueLen < budget {
		t.rescanEntries(now)
	}
	for _, to := range t.queuedSuccessors() {
		q := t.sender.queue[to]
		for len(q) > 0 && budget > 0 {
			n := min(len(q), maxExceptionsPerMessage)
			payload := packExceptions(q[:n])
			budget -= len(payload)
			q = q[n:]
			m := Message{Kind: Exceptions, From: t.view.Self, To: to, Payload: payload}
			out = append(out, Action{Kind: SendToHost, Message: m})
			t.sender.resend = append(t.sender.resend, m)
		}
		t.sender.queue[to] = q
		if len(q) == 0 || !t.view.IsMember(to) {
			delete(t.sender.queue, to)
		}
	}
	return out
}

// queuedSuccessors returns the hosts for which exceptions are queued, sorted.
func (t *Table) queuedSuccessors() []uint64 {
	out := make([]uint64, 0, len(t.sender.queue))
	for to := range t.sender.queue {
		out = append(out, to)
	}
	slices.Sort(out)
	return out
}

// packExceptions encodes exceptions as the varint gaps between their sorted
// fingerprints. The low bit of a varint is set if a server follows. It sorts
// xs.
func packExceptions(xs []exception) []byte {
	slices.SortFunc(xs, func(a, b exception) int { return int(int64(a.fingerprint) - int64(b.fingerprint)) })
	payload := make([]byte, 0, 4*len(xs))
	var last uint32
	for _, x := range xs {
		gap := uint64(x.fingerprint-last) << 1
		last = x.fingerprint
		if x.server != 0 {
			gap |= 1
		}
		payload = binary.AppendUvarint(payload, gap)
		if x.server != 0 {
			payload = binary.LittleEndian.AppendUint64(payload, x.server)
		}
	}
	return payload
}

// unpackExceptions decodes the output of packExceptions and calls visit for
// each exception. It returns false if the payload is malformed.
func unpackExceptions(payload []byte, visit func(exception)) bool {
	var last uint64
	for len(payload) > 0 {
		gap, n := binary.Uvarint(payload)
		if n <= 0 {
			return false
		}
		payload = payload[n:]
		last += gap >> 1
		if last >= 1<<fingerprintBits {
			return false
		}
		x := exception{fingerprint: uint32(last)}
		if gap&1 == 1 {
			if len(payload) < 8 {
				return false
			}
			x.server = binary.LittleEndian.Uint64(payload)
			payload = payload[8:]
		}
		visit(x)
	}
	return true
}

// receivedExceptions stores the exceptions that other hosts sent, by host.
type receivedExceptions struct {
	// hosts is in the order in which the hosts first sent exceptions.
	hosts []*hostExceptions
}

// hostExceptions holds the exceptions of one host by fingerprint, in two
// generations. Exceptions that the host no longer sends are dropped with the
// previous generation. The generations rotate only when the host sends
// exceptions, so those of a crashed host are kept.
type hostExceptions struct {
	host              uint64
	current, previous map[uint32]uint64
	rotatedAt         time.Duration
}

func newReceivedExceptions() receivedExceptions {
	return receivedExceptions{}
}

// add stores the exceptions of a message. A generation lasts a quarter longer
// than the refresh interval, in which the exceptions of all live flows are sent
// again.
func (r *receivedExceptions) add(now time.Duration, from uint64, payload []byte, refresh time.Duration) {
	e := r.forHost(now, from)
	if now-e.rotatedAt > refresh+refresh/4 {
		e.previous = e.current
		e.current = map[uint32]uint64{}
		e.rotatedAt = now
	}
	unpackExceptions(payload, func(x exception) {
		if len(e.current) < maxReceivedPerHost {
			e.current[x.fingerprint] = x.server
		}
	})
}

// forHost returns the exceptions of a host. It creates an empty record for a
// host that has not sent any.
func (r *receivedExceptions) forHost(now time.Duration, host uint64) *hostExceptions {
	for _, e := range r.hosts {
		if e.host == host {
			return e
		}
	}
	e := &hostExceptions{host: host, current: map[uint32]uint64{}, rotatedAt: now}
	r.hosts = append(r.hosts, e)
	return e
}

// lookup returns the server that the exceptions give for a flow with the given
// hash and second candidate, 0 if there is no exception.
func (r *receivedExceptions) lookup(hash, second uint64) uint64 {
	fp := fingerprint(hash)
	for _, e := range r.hosts {
		for _, generation := range [2]map[uint32]uint64{e.current, e.previous} {
			server, ok := generation[fp]
			if !ok {
				continue
			}
			if server == 0 {
				return second
			}
			return server
		}
	}
	return 0
}

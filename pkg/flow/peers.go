package flow

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

const (
	// sweepTime is the time of a pass over all entries for expiry.
	sweepTime = 3 * time.Second
	// sweepLeast is the least number of entries looked at in a tick.
	sweepLeast = 64
)

// Message takes a message of another host. It appends what to do to out and
// returns it.
func (t *Table) HandleMessage(now time.Duration, m *Message, out []Action) []Action {
	switch m.Kind {
	case Forward:
		return t.datagram(now, m, out)
	case Bounce:
		return t.bounced(now, m, out)
	case Query:
		return t.asked(now, m, out)
	case QueryReply:
		return t.answer(now, m, out)
	case Exceptions:
		t.heard.take(now, m.From, m.Payload, t.set.RefreshInterval)
	}
	return out
}

// bounced handles a datagram that came back: the redirect was wrong.
func (t *Table) bounced(now time.Duration, m *Message, out []Action) []Action {
	i, ok := t.slab.index[m.Key]
	if ok && t.slab.entries[i].state == redirected && t.slab.entries[i].peer == m.From {
		t.slab.remove(i)
	}
	again := *m
	again.From = 0
	again.Redirected = false
	again.Hops++
	if again.Hops > maxHops {
		return append(out, Action{Kind: Dropped, Key: m.Key, Reason: ReasonHops})
	}
	return t.datagram(now, &again, out)
}

// asked answers an Ask. Without an entry of its own the host sends later
// datagrams of the flow to the asker.
func (t *Table) asked(now time.Duration, m *Message, out []Action) []Action {
	reply := Message{Kind: QueryReply, From: t.view.Self, To: m.From, Key: m.Key}
	i, known := t.slab.index[m.Key]
	if !known {
		reply.Server = t.recalled(m.Key)
		if len(t.slab.index) < t.set.MaxEntries {
			t.redirect(now, t.slab.add(m.Key), m.From)
		}
		return append(out, Action{Kind: SendToHost, Key: m.Key, Message: reply})
	}
	e := &t.slab.entries[i]
	switch e.state {
	case held:
		reply.Holder = t.view.Self
	case redirected:
		if e.peer != m.From && t.believes(now, e) {
			reply.Holder = e.peer
		} else {
			t.redirect(now, i, m.From)
		}
	case asking:
		if rendez.Score(m.Key.Hash(), m.From) < rendez.Score(m.Key.Hash(), t.view.Self) {
			reply.Holder = t.view.Self
		} else {
			out = t.yield(now, i, m.From, out)
		}
	}
	return append(out, Action{Kind: SendToHost, Key: m.Key, Message: reply})
}

// recalled returns the server that told exceptions give for a flow.
func (t *Table) recalled(key Key) uint64 {
	set := t.services[key.Service]
	if set == nil {
		return 0
	}
	hash := key.Hash()
	_, second := set.candidates(hash)
	return t.heard.server(hash, second)
}

// redirect makes an entry point to a holder.
func (t *Table) redirect(now time.Duration, i int32, holder uint64) {
	e := &t.slab.entries[i]
	e.state = redirected
	e.peer = holder
	e.since = now
	e.lastIn = now
}

// yield turns an ask under way into a redirect and passes on what it kept.
func (t *Table) yield(now time.Duration, i int32, holder uint64, out []Action) []Action {
	s := t.pending[i]
	delete(t.pending, i)
	t.redirect(now, i, holder)
	e := &t.slab.entries[i]
	for _, d := range s.stash {
		m := Message{Key: e.key, Hint: d.hint, Ingress: e.ingress, Payload: d.payload}
		out = t.pass(&m, holder, true, out)
	}
	return out
}

// answer handles an Answer to an ask under way.
func (t *Table) answer(now time.Duration, m *Message, out []Action) []Action {
	i, known := t.slab.index[m.Key]
	if !known || t.slab.entries[i].state != asking {
		return out
	}
	if m.Holder != 0 && m.Holder != t.view.Self {
		return t.yield(now, i, m.Holder, out)
	}
	s := t.pending[i]
	if m.Server != 0 {
		s.server = m.Server
	}
	for j, h := range s.asked {
		if h == m.From {
			s.asked = append(s.asked[:j], s.asked[j+1:]...)
			break
		}
	}
	if len(s.asked) > 0 {
		return out
	}
	return t.settle(now, i, out)
}

// settle opens a flow that no other host holds and delivers what was kept.
func (t *Table) settle(now time.Duration, i int32, out []Action) []Action {
	s := t.pending[i]
	delete(t.pending, i)
	e := &t.slab.entries[i]
	ingress := e.ingress
	key := e.key
	for n, d := range s.stash {
		m := Message{Key: key, Hint: d.hint, Ingress: ingress, Payload: d.payload}
		if n > 0 {
			out = t.datagram(now, &m, out)
			continue
		}
		out = t.open(now, i, &m, s.server, out)
		if j, ok := t.slab.index[key]; !ok || j != i {
			return out
		}
	}
	return out
}

// Tick does what is due: it asks again, gives up asking, ends idle flows and
// tells exceptions. It should be called about every AskTimeout. It appends
// what to do to out and returns it.
func (t *Table) Tick(now time.Duration, out []Action) []Action {
	for len(t.due) > 0 && t.due[0].retryAt <= now {
		s := t.due[0]
		t.due = t.due[1:]
		if t.pending[s.entry] != s {
			continue
		}
		if s.tries >= t.set.MaxQueryAttempts {
			out = t.settle(now, s.entry, out)
			continue
		}
		s.tries++
		s.retryAt = now + t.set.QueryTimeout
		t.due = append(t.due, s)
		out = t.ask(s.entry, out)
	}
	out = t.expire(now, out)
	return t.tell(now, out)
}

// expire looks at a part of the entries and ends those that are idle. A pass
// over all entries takes about sweepTime.
func (t *Table) expire(now time.Duration, out []Action) []Action {
	n := len(t.slab.entries)
	part := min(n, n*int(t.set.QueryTimeout)/int(sweepTime)+sweepLeast)
	for range part {
		if t.sweep >= n {
			t.sweep = 0
		}
		i := int32(t.sweep)
		t.sweep++
		e := &t.slab.entries[i]
		quiet := now - max(e.lastIn, e.lastOut)
		switch {
		case e.state == free || e.state == asking:
		case e.closing && quiet >= t.set.CloseLinger:
			out = t.end(i, ReasonClosed, out)
		case quiet >= t.idle(e.key.Service):
			out = t.end(i, ReasonIdle, out)
		}
	}
	return out
}

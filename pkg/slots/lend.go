package slots

import (
	"slices"
	"time"
)

// Need asks another host for slots, if none is asked already. It should be
// called while requests wait and no slot is free.
func (b *Pool) Borrow(now time.Duration, need int, out []Message) []Message {
	if need <= 0 || len(b.homes) == 0 || now < b.askAt {
		return out
	}
	if b.asking != 0 {
		if now-b.askedAt < b.set.BorrowTimeout {
			return out
		}
		b.wasRefused(now)
		if now < b.askAt {
			return out
		}
	}
	b.serial++
	b.asking = b.serial
	b.askedAt = now
	m := b.message(BorrowRequest, b.homes[b.askNext%len(b.homes)])
	m.Serial = b.serial
	m.MaxSlots = need
	return append(out, m)
}

// wasRefused moves on to the next home, and pauses after a whole round.
func (b *Pool) wasRefused(now time.Duration) {
	b.asking = 0
	b.askNext++
	b.refused++
	if b.refused >= len(b.homes) {
		b.refused = 0
		b.askAt = now + b.set.RefusalBackoff
	}
}

// Receive handles a message of another host. The spare is how many free slots
// this host does not need itself.
func (b *Pool) Receive(now time.Duration, m *Message, spare int, out []Message) []Message {
	switch m.Kind {
	case BorrowRequest:
		return append(out, b.grant(now, m, spare))
	case BorrowReply:
		return b.granted(now, m, out)
	case Return:
		for _, id := range m.Slots {
			if o := b.lentTo(id, m.From); o != nil {
				o.use = idle
			}
		}
	case Handover:
		b.handedOver(now, m)
	case Renew:
		for _, id := range m.Slots {
			if o := b.lentTo(id, m.From); o != nil {
				o.renewed = now
			}
		}
	}
	return out
}

// Rest keeps a slot of this host from use for a while, after its server shed a
// request: somebody else uses it. The slot must have been released.
func (b *Pool) Suspend(now time.Duration, id ID) {
	for i := range b.own {
		if o := &b.own[i]; o.id == id && o.use == idle {
			o.usableAt = max(o.usableAt, now+b.set.ShedBackoff)
		}
	}
}

// handedOver ends the rest of slots whose former home does not use them.
func (b *Pool) handedOver(now time.Duration, m *Message) {
	for i := range b.own {
		o := &b.own[i]
		if o.former == m.From && slices.Contains(m.Slots, o.id) {
			o.usableAt = min(o.usableAt, now)
		}
	}
}

func (b *Pool) lentTo(id ID, borrower uint64) *own {
	for i := range b.own {
		o := &b.own[i]
		if o.id == id && o.use == lent && o.borrower == borrower {
			return o
		}
	}
	return nil
}

// grant lends up to half of the spare slots, at least one.
func (b *Pool) grant(now time.Duration, m *Message, spare int) Message {
	g := b.message(BorrowReply, m.From)
	g.Serial = m.Serial
	most := min(m.MaxSlots, (spare+1)/2)
	for i := range b.own {
		o := &b.own[i]
		if len(g.Slots) >= most {
			break
		}
		if o.use != idle || now < o.usableAt {
			continue
		}
		o.use = lent
		o.borrower = m.From
		o.renewed = now
		g.Slots = append(g.Slots, o.id)
	}
	return g
}

// granted takes borrowed slots. Slots that come too late are given back.
func (b *Pool) granted(now time.Duration, m *Message, out []Message) []Message {
	if m.Serial != b.asking {
		if len(m.Slots) > 0 {
			out = append(out, b.message(Return, m.From, m.Slots...))
		}
		return out
	}
	if len(m.Slots) == 0 {
		b.wasRefused(now)
		return out
	}
	b.asking = 0
	b.refused = 0
	for _, id := range m.Slots {
		b.loans = append(b.loans, loan{id: id, lender: m.From, since: now})
	}
	return out
}

// Tick renews loans, returns idle ones and takes back those whose borrower
// fell silent. Waiting tells whether requests wait here.
func (b *Pool) Tick(now time.Duration, waiting bool, out []Message) []Message {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		if l.busy || waiting && now-l.since < b.set.MaxBorrowTime {
			return false
		}
		out = append(out, b.message(Return, l.lender, l.id))
		return true
	})
	for i := range b.own {
		o := &b.own[i]
		if o.use == lent && now-o.renewed > reclaimAfter*b.set.RenewInterval {
			o.use = idle
		}
	}
	if now < b.renewAt {
		return out
	}
	b.renewAt = now + b.set.RenewInterval
	return b.renew(out)
}

// renew tells each lender which of its slots are still borrowed.
func (b *Pool) renew(out []Message) []Message {
	first := len(out)
	for _, l := range b.loans {
		at := slices.IndexFunc(out[first:], func(m Message) bool { return m.To == l.lender })
		if at < 0 {
			out = append(out, b.message(Renew, l.lender, l.id))
			continue
		}
		m := &out[first+at]
		m.Slots = append(m.Slots, l.id)
	}
	return out
}

package slots

import (
	"slices"
	"time"
)

// Need requests up to maxSlots slots from another owner, unless such a request
// is pending. Callers call it while requests wait and no slot is free.
func (b *Book) Need(now time.Duration, maxSlots int, out []Message) []Message {
	if maxSlots <= 0 || len(b.otherOwners) == 0 || now < b.nextRequestAt {
		return out
	}
	if b.pendingSerial != 0 {
		if now-b.requestedAt < b.settings.AskTimeout {
			return out
		}
		b.recordRefusal(now)
		if now < b.nextRequestAt {
			return out
		}
	}
	b.lastSerial++
	b.pendingSerial = b.lastSerial
	b.requestedAt = now
	m := b.newMessage(Want, b.otherOwners[b.ownerIndex%len(b.otherOwners)])
	m.Serial = b.lastSerial
	m.Need = maxSlots
	return append(out, m)
}

// recordRefusal selects the next owner. After every other owner has refused or
// timed out, it delays the next request by Settings.AskPause.
func (b *Book) recordRefusal(now time.Duration) {
	b.pendingSerial = 0
	b.ownerIndex++
	b.refusals++
	if b.refusals >= len(b.otherOwners) {
		b.refusals = 0
		b.nextRequestAt = now + b.settings.AskPause
	}
}

// Receive handles a message from another host. The argument spare is the number
// of free slots that this host does not need itself. Receive appends replies to
// out and returns it.
func (b *Book) Receive(now time.Duration, m *Message, spare int, out []Message) []Message {
	switch m.Kind {
	case Want:
		return append(out, b.lend(now, m, spare))
	case Grant:
		return b.receiveReply(now, m, out)
	case Return:
		for _, id := range m.Slots {
			if o := b.findLent(id, m.From); o != nil {
				o.state = idle
			}
		}
	case Handover:
		b.receiveHandover(now, m)
	case Renew:
		for _, id := range m.Slots {
			if o := b.findLent(id, m.From); o != nil {
				o.renewedAt = now
			}
		}
	}
	return out
}

// Rest makes an idle slot that this host owns unusable for Settings.Pushback.
// Callers use it after the server has shed a request, which shows that another
// host uses the slot. The slot must have been released before.
func (b *Book) Rest(now time.Duration, id ID) {
	for i := range b.owned {
		if o := &b.owned[i]; o.id == id && o.state == idle {
			o.usableAt = max(o.usableAt, now+b.settings.Pushback)
		}
	}
}

// receiveHandover makes slots usable that their former owner hands over.
func (b *Book) receiveHandover(now time.Duration, m *Message) {
	for i := range b.owned {
		o := &b.owned[i]
		if o.formerOwner == m.From && slices.Contains(m.Slots, o.id) {
			o.usableAt = min(o.usableAt, now)
		}
	}
}

// findLent returns the owned slot that is lent to a borrower, or nil.
func (b *Book) findLent(id ID, borrower uint64) *ownedSlot {
	for i := range b.owned {
		o := &b.owned[i]
		if o.id == id && o.state == lent && o.borrower == borrower {
			return o
		}
	}
	return nil
}

// lend replies to a Want. It lends at most half of the spare slots, rounded up.
func (b *Book) lend(now time.Duration, m *Message, spare int) Message {
	reply := b.newMessage(Grant, m.From)
	reply.Serial = m.Serial
	limit := min(m.Need, (spare+1)/2)
	for i := range b.owned {
		o := &b.owned[i]
		if len(reply.Slots) >= limit {
			break
		}
		if o.state != idle || now < o.usableAt {
			continue
		}
		o.state = lent
		o.borrower = m.From
		o.renewedAt = now
		reply.Slots = append(reply.Slots, o.id)
	}
	return reply
}

// receiveReply handles a Grant. It gives the slots of an outdated Grant back.
func (b *Book) receiveReply(now time.Duration, m *Message, out []Message) []Message {
	if m.Serial != b.pendingSerial {
		if len(m.Slots) > 0 {
			out = append(out, b.newMessage(Return, m.From, m.Slots...))
		}
		return out
	}
	if len(m.Slots) == 0 {
		b.recordRefusal(now)
		return out
	}
	b.pendingSerial = 0
	b.refusals = 0
	for _, id := range m.Slots {
		b.borrowed = append(b.borrowed, borrowedSlot{id: id, lender: m.From, borrowedAt: now})
	}
	return out
}

// Tick returns idle borrowed slots to their lenders, reclaims lent slots whose
// lease has expired, and renews the leases of borrowed slots. As in Release, an
// idle borrowed slot is kept for Settings.Hold if requests wait (hasWaiting).
func (b *Book) Tick(now time.Duration, hasWaiting bool, out []Message) []Message {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(s borrowedSlot) bool {
		if s.inUse || hasWaiting && now-s.borrowedAt < b.settings.Hold {
			return false
		}
		out = append(out, b.newMessage(Return, s.lender, s.id))
		return true
	})
	for i := range b.owned {
		o := &b.owned[i]
		if o.state == lent && now-o.renewedAt > leaseIntervals*b.settings.RenewEvery {
			o.state = idle
		}
	}
	if now < b.nextRenewAt {
		return out
	}
	b.nextRenewAt = now + b.settings.RenewEvery
	return b.appendRenewals(out)
}

// appendRenewals appends one Renew for each lender, with all slots borrowed from
// it.
func (b *Book) appendRenewals(out []Message) []Message {
	first := len(out)
	for _, s := range b.borrowed {
		i := slices.IndexFunc(out[first:], func(m Message) bool { return m.To == s.lender })
		if i < 0 {
			out = append(out, b.newMessage(Renew, s.lender, s.id))
			continue
		}
		m := &out[first+i]
		m.Slots = append(m.Slots, s.id)
	}
	return out
}

package slots

import (
	"slices"
	"time"
)

// Borrow requests up to maxSlots slots from another owner, unless such a
// request is pending. It must be called while requests wait and no slot is
// free, also to detect that a pending request has timed out.
func (p *Pool) Borrow(now time.Duration, maxSlots int, out []Message) []Message {
	if maxSlots <= 0 || len(p.otherOwners) == 0 || now < p.nextRequestAt {
		return out
	}
	if p.pendingSerial != 0 {
		if now-p.requestedAt < p.settings.BorrowTimeout {
			return out
		}
		p.recordRefusal(now)
		if now < p.nextRequestAt {
			return out
		}
	}
	p.lastSerial++
	p.pendingSerial = p.lastSerial
	p.requestedAt = now
	m := p.newMessage(BorrowRequest, p.otherOwners[p.ownerIndex%len(p.otherOwners)])
	m.Serial = p.lastSerial
	m.MaxSlots = maxSlots
	return append(out, m)
}

// recordRefusal selects the next owner. After every other owner has refused or
// timed out, it delays the next request by Settings.RefusalBackoff.
func (p *Pool) recordRefusal(now time.Duration) {
	p.pendingSerial = 0
	p.ownerIndex++
	p.refusals++
	if p.refusals >= len(p.otherOwners) {
		p.refusals = 0
		p.nextRequestAt = now + p.settings.RefusalBackoff
	}
}

// Receive handles a message from another host. The argument spare is the number
// of free slots that this host does not need itself. Receive appends replies to
// out and returns it.
func (p *Pool) Receive(now time.Duration, m *Message, spare int, out []Message) []Message {
	switch m.Kind {
	case BorrowRequest:
		return append(out, p.lend(now, m, spare))
	case BorrowReply:
		return p.receiveReply(now, m, out)
	case Return:
		for _, id := range m.Slots {
			if o := p.findLent(id, m.From); o != nil {
				o.state = idle
			}
		}
	case Handover:
		p.receiveHandover(now, m)
	case Renew:
		for _, id := range m.Slots {
			if o := p.findLent(id, m.From); o != nil {
				o.renewedAt = now
			}
		}
	}
	return out
}

// Suspend makes an idle slot that this host owns unusable for
// Settings.ShedBackoff. It is for a slot whose server has shed a request, which
// shows that the slot is in use elsewhere. The slot must have been released
// before.
func (p *Pool) Suspend(now time.Duration, id ID) {
	for i := range p.owned {
		if o := &p.owned[i]; o.id == id && o.state == idle {
			o.usableAt = max(o.usableAt, now+p.settings.ShedBackoff)
		}
	}
}

// receiveHandover makes slots usable that their former owner hands over.
func (p *Pool) receiveHandover(now time.Duration, m *Message) {
	for i := range p.owned {
		o := &p.owned[i]
		if o.formerOwner == m.From && slices.Contains(m.Slots, o.id) {
			o.usableAt = min(o.usableAt, now)
		}
	}
}

// findLent returns the owned slot that is lent to a borrower, or nil.
func (p *Pool) findLent(id ID, borrower uint64) *ownedSlot {
	for i := range p.owned {
		o := &p.owned[i]
		if o.id == id && o.state == lent && o.borrower == borrower {
			return o
		}
	}
	return nil
}

// lend replies to a BorrowRequest. It lends at most half of the spare slots,
// rounded up.
func (p *Pool) lend(now time.Duration, m *Message, spare int) Message {
	reply := p.newMessage(BorrowReply, m.From)
	reply.Serial = m.Serial
	limit := min(m.MaxSlots, (spare+1)/2)
	for i := range p.owned {
		o := &p.owned[i]
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

// receiveReply handles a BorrowReply. It gives the slots of an outdated
// BorrowReply back, and ignores further copies of an accepted one.
func (p *Pool) receiveReply(now time.Duration, m *Message, out []Message) []Message {
	if m.Serial == p.acceptedSerial {
		return out
	}
	if m.Serial != p.pendingSerial {
		if len(m.Slots) > 0 {
			out = append(out, p.newMessage(Return, m.From, m.Slots...))
		}
		return out
	}
	if len(m.Slots) == 0 {
		p.recordRefusal(now)
		return out
	}
	p.pendingSerial = 0
	p.acceptedSerial = m.Serial
	p.refusals = 0
	for _, id := range m.Slots {
		p.borrowed = append(p.borrowed, borrowedSlot{id: id, lender: m.From, borrowedAt: now, renewedAt: p.requestedAt})
	}
	return out
}

// Tick returns idle borrowed slots to their lenders, reclaims lent slots whose
// lease has expired, and renews the leases of borrowed slots. As in Release, an
// idle borrowed slot is kept for up to Settings.MaxBorrowTime if requests wait
// (hasWaiting).
func (p *Pool) Tick(now time.Duration, hasWaiting bool, out []Message) []Message {
	p.borrowed = slices.DeleteFunc(p.borrowed, func(s borrowedSlot) bool {
		if s.inUse {
			return false
		}
		if p.isExpired(now, &s) {
			return true // The lender has reclaimed it.
		}
		if hasWaiting && now-s.borrowedAt < p.settings.MaxBorrowTime {
			return false
		}
		out = append(out, p.newMessage(Return, s.lender, s.id))
		return true
	})
	for i := range p.owned {
		o := &p.owned[i]
		if o.state == lent && now-o.renewedAt > leaseIntervals*p.settings.RenewInterval {
			o.state = idle
		}
	}
	if now < p.nextRenewAt {
		return out
	}
	p.nextRenewAt = now + p.settings.RenewInterval
	return p.appendRenewals(now, out)
}

// appendRenewals appends one Renew for each lender, with all slots borrowed from it
// whose leases have not expired.
func (p *Pool) appendRenewals(now time.Duration, out []Message) []Message {
	first := len(out)
	for j := range p.borrowed {
		s := &p.borrowed[j]
		if p.isExpired(now, s) {
			continue
		}
		s.renewedAt = now
		i := slices.IndexFunc(out[first:], func(m Message) bool { return m.To == s.lender })
		if i < 0 {
			out = append(out, p.newMessage(Renew, s.lender, s.id))
			continue
		}
		m := &out[first+i]
		m.Slots = append(m.Slots, s.id)
	}
	return out
}

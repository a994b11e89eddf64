package slots

import (
	"slices"
	"time"
)

// Server is a backend server and its number of slots.
type Server struct {
	ID    uint64
	Slots int
}

// slotState is the state of an owned slot.
type slotState uint8

const (
	idle slotState = iota
	inUse
	lent
)

// ownedSlot is a slot that this host owns.
type ownedSlot struct {
	id    ID
	state slotState
	// usableAt is the time before which the slot is neither used nor lent.
	usableAt time.Duration
	borrower uint64
	// renewedAt is when the borrower received or last renewed its lease.
	renewedAt time.Duration
	// formerOwner is the host that owned the slot before, or 0.
	formerOwner uint64
}

// borrowedSlot is a slot borrowed from another host.
type borrowedSlot struct {
	id         ID
	lender     uint64
	borrowedAt time.Duration
	// renewedAt is when the slot was requested or its lease last renewed. The
	// lender counts the lease from a later time, the arrival of the message.
	renewedAt time.Duration
	inUse     bool
}

// Slot is an acquired slot.
type Slot struct {
	ID ID
	// Lender is the host that lent the slot, or 0 if this host owns it.
	Lender uint64
}

// Pool manages the slots of one service at one host.
type Pool struct {
	settings Settings
	service  uint64
	self     uint64
	owned    []ownedSlot
	borrowed []borrowedSlot
	// otherOwners lists the other hosts that own slots, in ascending order.
	otherOwners []uint64
	// pendingSerial is the serial of the pending BorrowRequest, or 0, and
	// acceptedSerial that of the latest BorrowReply that lent slots.
	pendingSerial, acceptedSerial uint64
	lastSerial                    uint64
	// requestedAt is when the last BorrowRequest was sent, and nextRequestAt
	// the time before which none is sent.
	requestedAt   time.Duration
	nextRequestAt time.Duration
	// ownerIndex, modulo the number of other owners, selects the owner that
	// receives the next request.
	ownerIndex int
	// refusals is the number of consecutive refusals and timeouts.
	refusals    int
	nextRenewAt time.Duration
	// movedInUse counts this host's running requests by slot, for slots that
	// now belong to another host or to none.
	movedInUse map[ID]int
	// hasHosts is whether the current list of hosts is not empty.
	hasHosts bool
	// owners maps every slot to its owner.
	owners map[ID]uint64
}

// NewPool returns a Pool without slots.
func NewPool(service, self uint64, settings Settings) *Pool {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&settings.HandoverTimeout, defaultHandoverTimeout},
		{&settings.LostHostDelay, defaultLostHostDelay},
		{&settings.MaxBorrowTime, defaultMaxBorrowTime},
		{&settings.RenewInterval, defaultRenewInterval},
		{&settings.BorrowTimeout, defaultBorrowTimeout},
		{&settings.RefusalBackoff, defaultRefusalBackoff},
		{&settings.ShedBackoff, defaultShedBackoff},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	return &Pool{settings: settings, service: service, self: self, movedInUse: map[ID]int{}}
}

// Total returns the number of slots that this host owns and has not lent, plus
// those that it has borrowed.
func (p *Pool) Total() int {
	n := len(p.borrowed)
	for i := range p.owned {
		if p.owned[i].state != lent {
			n++
		}
	}
	return n
}

// InUse returns the number of requests of this host that use a slot.
func (p *Pool) InUse() int {
	n := 0
	for i := range p.owned {
		if p.owned[i].state == inUse {
			n++
		}
	}
	for i := range p.borrowed {
		if p.borrowed[i].inUse {
			n++
		}
	}
	for _, r := range p.movedInUse {
		n += r
	}
	return n
}

// EachFree calls yield for servers with free slots at this host. It reports
// each borrowed slot by a call of its own.
func (p *Pool) EachFree(now time.Duration, yield func(server uint64, free int)) {
	var server uint64
	free := 0
	flush := func() {
		if free > 0 {
			yield(server, free)
		}
		free = 0
	}
	for i := range p.owned {
		o := &p.owned[i]
		if o.id.Server != server {
			flush()
			server = o.id.Server
		}
		if o.state == idle && now >= o.usableAt {
			free++
		}
	}
	flush()
	for i := range p.borrowed {
		if s := &p.borrowed[i]; !s.inUse && !p.isExpired(now, s) {
			yield(p.borrowed[i].id.Server, 1)
		}
	}
}

// Acquire takes a free slot of a server, preferably one that this host owns. It
// returns false if there is none.
func (p *Pool) Acquire(now time.Duration, server uint64) (Slot, bool) {
	for i := range p.owned {
		o := &p.owned[i]
		if o.id.Server == server && o.state == idle && now >= o.usableAt {
			o.state = inUse
			return Slot{ID: o.id}, true
		}
	}
	for i := range p.borrowed {
		borrowed := &p.borrowed[i]
		if borrowed.id.Server == server && !borrowed.inUse && !p.isExpired(now, borrowed) {
			borrowed.inUse = true
			return Slot{ID: borrowed.id, Lender: borrowed.lender}, true
		}
	}
	return Slot{}, false
}

// isExpired reports whether the lease of a borrowed slot has expired, because this
// host was paused for too long to renew it.
func (p *Pool) isExpired(now time.Duration, s *borrowedSlot) bool {
	return now-s.renewedAt >= leaseIntervals*p.settings.RenewInterval
}

// Release frees a slot after its request has ended. A borrowed slot returns to
// its lender, unless requests wait at this host (hasWaiting) and it was
// borrowed less than Settings.MaxBorrowTime ago. Release appends messages for
// other hosts to out and returns it.
func (p *Pool) Release(now time.Duration, s Slot, hasWaiting bool, out []Message) []Message {
	if s.Lender == 0 {
		return p.releaseOwned(s.ID, out)
	}
	for i := range p.borrowed {
		borrowed := &p.borrowed[i]
		if borrowed.id != s.ID || borrowed.lender != s.Lender {
			continue
		}
		borrowed.inUse = false
		expired := p.isExpired(now, borrowed)
		if hasWaiting && !expired && now-borrowed.borrowedAt < p.settings.MaxBorrowTime {
			return out
		}
		p.borrowed = slices.Delete(p.borrowed, i, i+1)
		if expired {
			return out // The lender has reclaimed it.
		}
		return append(out, p.newMessage(Return, s.Lender, s.ID))
	}
	return out
}

// releaseOwned frees a slot that this host owns, or owned when the request
// started. In the latter case it hands the slot over to the new owner.
func (p *Pool) releaseOwned(id ID, out []Message) []Message {
	if p.movedInUse[id] > 0 {
		p.movedInUse[id]--
		if p.movedInUse[id] == 0 {
			delete(p.movedInUse, id)
		}
		if owner := p.owners[id]; owner != 0 && owner != p.self {
			out = append(out, p.newMessage(Handover, owner, id))
		}
		return out
	}
	for i := range p.owned {
		if p.owned[i].id == id && p.owned[i].state == inUse {
			p.owned[i].state = idle
		}
	}
	return out
}

func (p *Pool) newMessage(kind MessageKind, to uint64, ids ...ID) Message {
	return Message{Kind: kind, From: p.self, To: to, Service: p.service, Slots: ids}
}

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
	inUse      bool
}

// Slot is an acquired slot.
type Slot struct {
	ID ID
	// Lender is the host that lent the slot, or 0 if this host owns it.
	Lender uint64
}

// Book manages the slots of one service at one host.
type Book struct {
	settings Settings
	service  uint64
	self     uint64
	owned    []ownedSlot
	borrowed []borrowedSlot
	// otherOwners lists the other hosts that own slots, in ascending order.
	otherOwners []uint64
	// pendingSerial is the serial of the pending Want, or 0.
	pendingSerial uint64
	lastSerial    uint64
	// requestedAt is when the last Want was sent, and nextRequestAt the time
	// before which none is sent.
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

// NewBook returns a Book without slots.
func NewBook(service, self uint64, settings Settings) *Book {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&settings.Rest, defaultHandoverTimeout},
		{&settings.RestLost, defaultLostHostDelay},
		{&settings.Hold, defaultMaxBorrowTime},
		{&settings.RenewEvery, defaultRenewInterval},
		{&settings.AskTimeout, defaultBorrowTimeout},
		{&settings.AskPause, defaultRefusalBackoff},
		{&settings.Pushback, defaultShedBackoff},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	return &Book{settings: settings, service: service, self: self, movedInUse: map[ID]int{}}
}

// Total returns the number of slots that this host owns and has not lent, plus
// those that it has borrowed.
func (b *Book) Total() int {
	n := len(b.borrowed)
	for i := range b.owned {
		if b.owned[i].state != lent {
			n++
		}
	}
	return n
}

// Busy returns the number of requests of this host that use a slot.
func (b *Book) Busy() int {
	n := 0
	for i := range b.owned {
		if b.owned[i].state == inUse {
			n++
		}
	}
	for i := range b.borrowed {
		if b.borrowed[i].inUse {
			n++
		}
	}
	for _, r := range b.movedInUse {
		n += r
	}
	return n
}

// Free calls yield for servers with free slots at this host. It reports each
// borrowed slot by a call of its own.
func (b *Book) Free(now time.Duration, yield func(server uint64, free int)) {
	var server uint64
	free := 0
	flush := func() {
		if free > 0 {
			yield(server, free)
		}
		free = 0
	}
	for i := range b.owned {
		o := &b.owned[i]
		if o.id.Server != server {
			flush()
			server = o.id.Server
		}
		if o.state == idle && now >= o.usableAt {
			free++
		}
	}
	flush()
	for i := range b.borrowed {
		if !b.borrowed[i].inUse {
			yield(b.borrowed[i].id.Server, 1)
		}
	}
}

// Acquire takes a free slot of a server, preferably one that this host owns. It
// returns false if there is none.
func (b *Book) Acquire(now time.Duration, server uint64) (Slot, bool) {
	for i := range b.owned {
		o := &b.owned[i]
		if o.id.Server == server && o.state == idle && now >= o.usableAt {
			o.state = inUse
			return Slot{ID: o.id}, true
		}
	}
	for i := range b.borrowed {
		borrowed := &b.borrowed[i]
		if borrowed.id.Server == server && !borrowed.inUse {
			borrowed.inUse = true
			return Slot{ID: borrowed.id, Lender: borrowed.lender}, true
		}
	}
	return Slot{}, false
}

// Release frees a slot after its request has ended. A borrowed slot returns to
// its lender, unless requests wait at this host (hasWaiting) and it was
// borrowed less than Settings.Hold ago. Release appends messages for other
// hosts to out and returns it.
func (b *Book) Release(now time.Duration, s Slot, hasWaiting bool, out []Message) []Message {
	if s.Lender == 0 {
		return b.releaseOwned(s.ID, out)
	}
	for i := range b.borrowed {
		borrowed := &b.borrowed[i]
		if borrowed.id != s.ID || borrowed.lender != s.Lender {
			continue
		}
		borrowed.inUse = false
		if hasWaiting && now-borrowed.borrowedAt < b.settings.Hold {
			return out
		}
		b.borrowed = slices.Delete(b.borrowed, i, i+1)
		return append(out, b.newMessage(Return, s.Lender, s.ID))
	}
	return out
}

// releaseOwned frees a slot that this host owns, or owned when the request
// started. In the latter case it hands the slot over to the new owner.
func (b *Book) releaseOwned(id ID, out []Message) []Message {
	if b.movedInUse[id] > 0 {
		b.movedInUse[id]--
		if b.movedInUse[id] == 0 {
			delete(b.movedInUse, id)
		}
		if owner := b.owners[id]; owner != 0 && owner != b.self {
			out = append(out, b.newMessage(Handover, owner, id))
		}
		return out
	}
	for i := range b.owned {
		if b.owned[i].id == id && b.owned[i].state == inUse {
			b.owned[i].state = idle
		}
	}
	return out
}

func (b *Book) newMessage(kind MessageKind, to uint64, ids ...ID) Message {
	return Message{Kind: kind, From: b.self, To: to, Service: b.service, Slots: ids}
}

package slots

import (
	"slices"
	"time"
)

// Server is a backend server with its slots.
type Server struct {
	ID    uint64
	Slots int
}

type use uint8

const (
	idle use = iota
	busy
	lent
)

// own is a slot whose home is this host.
type own struct {
	id       ID
	use      use
	usableAt time.Duration
	borrower uint64
	renewed  time.Duration
	// former is the home that the slot had before it rested here.
	former uint64
}

// loan is a slot borrowed from another host.
type loan struct {
	id     ID
	lender uint64
	since  time.Duration
	busy   bool
}

// Slot is a slot in use, as Acquire returns it.
type Slot struct {
	ID ID
	// Lender is the host it was borrowed from, 0 for an own slot.
	Lender uint64
}

// Book keeps the slots of one service for one host.
type Pool struct {
	set     Settings
	service uint64
	self    uint64
	own     []own
	loans   []loan
	// homes lists the other hosts that are home to slots.
	homes []uint64
	// asking is the serial of a Want under way, 0 if there is none.
	asking  uint64
	serial  uint64
	askedAt time.Duration
	askAt   time.Duration
	askNext int
	refused int
	renewAt time.Duration
	// retired counts requests that run on slots whose home has changed.
	retired map[ID]int
	started bool
	// all holds the home of every slot.
	all map[ID]uint64
}

// NewBook returns a book without slots.
func NewPool(service, self uint64, set Settings) *Pool {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&set.HandoverTimeout, defaultRest},
		{&set.LostHostDelay, defaultRestLost},
		{&set.MaxBorrowTime, defaultHold},
		{&set.RenewInterval, defaultRenewEvery},
		{&set.BorrowTimeout, defaultAskTimeout},
		{&set.RefusalBackoff, defaultAskPause},
		{&set.ShedBackoff, defaultPushback},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	return &Pool{set: set, service: service, self: self, retired: map[ID]int{}}
}

// Total returns how many slots this host may use now, borrowed ones included.
func (b *Pool) Total() int {
	n := len(b.loans)
	for i := range b.own {
		if b.own[i].use != lent {
			n++
		}
	}
	return n
}

// Busy returns how many requests hold slots.
func (b *Pool) InUse() int {
	n := 0
	for i := range b.own {
		if b.own[i].use == busy {
			n++
		}
	}
	for i := range b.loans {
		if b.loans[i].busy {
			n++
		}
	}
	for _, r := range b.retired {
		n += r
	}
	return n
}

// Free calls yield with each server that has a free slot here and how many.
func (b *Pool) EachFree(now time.Duration, yield func(server uint64, free int)) {
	var last uint64
	count := 0
	flush := func() {
		if count > 0 {
			yield(last, count)
		}
		count = 0
	}
	for i := range b.own {
		o := &b.own[i]
		if o.id.Server != last {
			flush()
			last = o.id.Server
		}
		if o.use == idle && now >= o.usableAt {
			count++
		}
	}
	flush()
	for i := range b.loans {
		if !b.loans[i].busy {
			yield(b.loans[i].id.Server, 1)
		}
	}
}

// Acquire takes a free slot of a server.
func (b *Pool) Acquire(now time.Duration, server uint64) (Slot, bool) {
	for i := range b.own {
		o := &b.own[i]
		if o.id.Server == server && o.use == idle && now >= o.usableAt {
			o.use = busy
			return Slot{ID: o.id}, true
		}
	}
	for i := range b.loans {
		l := &b.loans[i]
		if l.id.Server == server && !l.busy {
			l.busy = true
			return Slot{ID: l.id, Lender: l.lender}, true
		}
	}
	return Slot{}, false
}

// Release gives a slot back after its request ended. Waiting tells whether
// requests wait here, so that a borrowed slot may be kept for a while.
func (b *Pool) Release(now time.Duration, s Slot, waiting bool, out []Message) []Message {
	if s.Lender == 0 {
		return b.releaseOwn(s.ID, out)
	}
	for i := range b.loans {
		l := &b.loans[i]
		if l.id != s.ID || l.lender != s.Lender {
			continue
		}
		l.busy = false
		if waiting && now-l.since < b.set.MaxBorrowTime {
			return out
		}
		b.loans = slices.Delete(b.loans, i, i+1)
		return append(out, b.message(Return, s.Lender, s.ID))
	}
	return out
}

func (b *Pool) releaseOwn(id ID, out []Message) []Message {
	if b.retired[id] > 0 {
		b.retired[id]--
		if b.retired[id] == 0 {
			delete(b.retired, id)
		}
		if home := b.all[id]; home != 0 && home != b.self {
			out = append(out, b.message(Handover, home, id))
		}
		return out
	}
	for i := range b.own {
		if b.own[i].id == id && b.own[i].use == busy {
			b.own[i].use = idle
		}
	}
	return out
}

func (b *Pool) message(kind MessageKind, to uint64, ids ...ID) Message {
	return Message{Kind: kind, From: b.self, To: to, Service: b.service, Slots: ids}
}

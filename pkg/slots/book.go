package slots

import (
	"cmp"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Settings of a Book. The zero value is usable.
type Settings struct {
	// Rest is how long a slot with a new home is not used unless its former
	// home hands it over. The default is 2 s.
	Rest time.Duration
	// RestLost is the same for a slot whose former home or borrower is lost,
	// which was noticed late anyway. The default is 200 ms.
	RestLost time.Duration
	// Hold is how long a borrowed slot may be used for one request after the
	// other. The default is 500 ms.
	Hold time.Duration
	// RenewEvery is how often a borrower renews. The default is 500 ms; a
	// lender takes a slot back after three times as long.
	RenewEvery time.Duration
	// AskTimeout is the wait for a Grant. The default is 20 ms.
	AskTimeout time.Duration
	// Pushback is how long a slot rests after its server shed a request. The
	// default is 20 ms.
	Pushback time.Duration
	// AskPause is the pause after all homes refused. The default is 100 ms.
	AskPause time.Duration
}

const (
	defaultRest       = 2 * time.Second
	defaultRestLost   = 200 * time.Millisecond
	defaultHold       = 500 * time.Millisecond
	defaultRenewEvery = 500 * time.Millisecond
	defaultAskTimeout = 20 * time.Millisecond
	defaultAskPause   = 100 * time.Millisecond
	defaultPushback   = 20 * time.Millisecond
	// reclaimAfter times RenewEvery without a Renew ends a loan.
	reclaimAfter = 3
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
type Book struct {
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
func NewBook(service, self uint64, set Settings) *Book {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&set.Rest, defaultRest},
		{&set.RestLost, defaultRestLost},
		{&set.Hold, defaultHold},
		{&set.RenewEvery, defaultRenewEvery},
		{&set.AskTimeout, defaultAskTimeout},
		{&set.AskPause, defaultAskPause},
		{&set.Pushback, defaultPushback},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	return &Book{set: set, service: service, self: self, retired: map[ID]int{}}
}

// Homes returns the home of each slot. Every host that passes the same lists
// gets the same result.
func Homes(service uint64, hosts []uint64, servers []Server) map[ID]uint64 {
	out := map[ID]uint64{}
	if len(hosts) == 0 {
		return out
	}
	var ids []ID
	for _, s := range servers {
		for i := range s.Slots {
			ids = append(ids, ID{s.ID, i})
		}
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Server, b.Server))
	})
	limit := (len(ids) + len(hosts) - 1) / len(hosts)
	load := make(map[uint64]int, len(hosts))
	for _, id := range ids {
		key := rendez.Score(service^uint64(id.Index), id.Server)
		var best, top uint64
		for _, h := range hosts {
			if load[h] >= limit {
				continue
			}
			if s := rendez.Score(key, h); best == 0 || s > top {
				best, top = h, s
			}
		}
		load[best]++
		out[id] = best
	}
	return out
}

// Set puts lists of hosts and servers in force. The hosts may lack this one,
// if it is leaving. Slots that this host loses are handed over at once if they
// are idle, else when their request ends.
func (b *Book) Set(now time.Duration, hosts []uint64, servers []Server, out []Message) []Message {
	was := b.all
	b.all = Homes(b.service, hosts, servers)
	var next []own
	for _, o := range b.own {
		switch home := b.all[o.id]; {
		case home == b.self:
			if o.use == lent && !slices.Contains(hosts, o.borrower) {
				o.use = idle // The borrower is lost.
				o.usableAt = now + b.set.RestLost
			}
			next = append(next, o)
		case o.use == busy:
			b.retired[o.id]++
		case o.use == idle && home != 0:
			out = append(out, b.message(Handover, home, o.id))
		}
	}
	for id, h := range b.all {
		if h == b.self && !slices.ContainsFunc(next, func(o own) bool { return o.id == id }) {
			rest := b.set.Rest
			if !slices.Contains(hosts, was[id]) {
				rest = b.set.RestLost
			}
			next = append(next, b.gain(now, id, was[id], rest))
		}
	}
	slices.SortFunc(next, func(x, y own) int {
		return cmp.Or(cmp.Compare(x.id.Server, y.id.Server), cmp.Compare(x.id.Index, y.id.Index))
	})
	b.own = next
	b.listHomes()
	b.started = len(hosts) > 0
	b.refused = 0
	return out
}

// gain returns a slot that this host is the new home of. It rests, unless the
// slot is new or this host has just started.
func (b *Book) gain(now time.Duration, id ID, former uint64, rest time.Duration) own {
	o := own{id: id, former: former}
	if b.started && former != 0 {
		o.usableAt = now + rest
	}
	if b.retired[id] > 0 {
		b.retired[id]--
		o.use = busy
	}
	return o
}

// listHomes notes the other hosts that are home to slots.
func (b *Book) listHomes() {
	b.homes = b.homes[:0]
	for _, h := range b.all {
		if h != b.self && !slices.Contains(b.homes, h) {
			b.homes = append(b.homes, h)
		}
	}
	slices.Sort(b.homes)
}

// Total returns how many slots this host may use now, borrowed ones included.
func (b *Book) Total() int {
	n := len(b.loans)
	for i := range b.own {
		if b.own[i].use != lent {
			n++
		}
	}
	return n
}

// Busy returns how many requests hold slots.
func (b *Book) Busy() int {
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
func (b *Book) Free(now time.Duration, yield func(server uint64, free int)) {
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
func (b *Book) Acquire(now time.Duration, server uint64) (Slot, bool) {
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
func (b *Book) Release(now time.Duration, s Slot, waiting bool, out []Message) []Message {
	if s.Lender == 0 {
		return b.releaseOwn(s.ID, out)
	}
	for i := range b.loans {
		l := &b.loans[i]
		if l.id != s.ID || l.lender != s.Lender {
			continue
		}
		l.busy = false
		if waiting && now-l.since < b.set.Hold {
			return out
		}
		b.loans = slices.Delete(b.loans, i, i+1)
		return append(out, b.message(Return, s.Lender, s.ID))
	}
	return out
}

func (b *Book) releaseOwn(id ID, out []Message) []Message {
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

func (b *Book) message(kind MessageKind, to uint64, ids ...ID) Message {
	return Message{Kind: kind, From: b.self, To: to, Service: b.service, Slots: ids}
}

// Need asks another host for slots, if none is asked already. It should be
// called while requests wait and no slot is free.
func (b *Book) Need(now time.Duration, need int, out []Message) []Message {
	if need <= 0 || len(b.homes) == 0 || now < b.askAt {
		return out
	}
	if b.asking != 0 {
		if now-b.askedAt < b.set.AskTimeout {
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
	m := b.message(Want, b.homes[b.askNext%len(b.homes)])
	m.Serial = b.serial
	m.Need = need
	return append(out, m)
}

// wasRefused moves on to the next home, and pauses after a whole round.
func (b *Book) wasRefused(now time.Duration) {
	b.asking = 0
	b.askNext++
	b.refused++
	if b.refused >= len(b.homes) {
		b.refused = 0
		b.askAt = now + b.set.AskPause
	}
}

// Receive handles a message of another host. The spare is how many free slots
// this host does not need itself.
func (b *Book) Receive(now time.Duration, m *Message, spare int, out []Message) []Message {
	switch m.Kind {
	case Want:
		return append(out, b.grant(now, m, spare))
	case Grant:
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
func (b *Book) Rest(now time.Duration, id ID) {
	for i := range b.own {
		if o := &b.own[i]; o.id == id && o.use == idle {
			o.usableAt = max(o.usableAt, now+b.set.Pushback)
		}
	}
}

// handedOver ends the rest of slots whose former home does not use them.
func (b *Book) handedOver(now time.Duration, m *Message) {
	for i := range b.own {
		o := &b.own[i]
		if o.former == m.From && slices.Contains(m.Slots, o.id) {
			o.usableAt = min(o.usableAt, now)
		}
	}
}

func (b *Book) lentTo(id ID, borrower uint64) *own {
	for i := range b.own {
		o := &b.own[i]
		if o.id == id && o.use == lent && o.borrower == borrower {
			return o
		}
	}
	return nil
}

// grant lends up to half of the spare slots, at least one.
func (b *Book) grant(now time.Duration, m *Message, spare int) Message {
	g := b.message(Grant, m.From)
	g.Serial = m.Serial
	most := min(m.Need, (spare+1)/2)
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
func (b *Book) granted(now time.Duration, m *Message, out []Message) []Message {
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
func (b *Book) Tick(now time.Duration, waiting bool, out []Message) []Message {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool {
		if l.busy || waiting && now-l.since < b.set.Hold {
			return false
		}
		out = append(out, b.message(Return, l.lender, l.id))
		return true
	})
	for i := range b.own {
		o := &b.own[i]
		if o.use == lent && now-o.renewed > reclaimAfter*b.set.RenewEvery {
			o.use = idle
		}
	}
	if now < b.renewAt {
		return out
	}
	b.renewAt = now + b.set.RenewEvery
	return b.renew(out)
}

// renew tells each lender which of its slots are still borrowed.
func (b *Book) renew(out []Message) []Message {
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

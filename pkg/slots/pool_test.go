package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

func hosts(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("host-%d", i))
	}
	return out
}

func servers(n, each int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{ID: rendez.Hash(fmt.Sprintf("server-%d", i)), Slots: each}
	}
	return out
}

// The 42 slots must be spread evenly over the 7 hosts.
func TestOwnersBalanceLoad(t *testing.T) {
	is := is.New(t)
	load := map[uint64]int{}
	for _, h := range Owners(1, hosts(7), servers(14, 3)) {
		load[h]++
	}
	for _, n := range load {
		is.Equal(n, 6)
	}
}

// cluster simulates the pools of several hosts. A fraction loss of the messages
// between them is lost.
type cluster struct {
	now      time.Duration
	rng      *rand.Rand
	pools    map[uint64]*Pool
	inbox    []Message
	loss     float64
	acquired map[uint64][]Slot
	// inUse counts the running requests at each server.
	inUse map[uint64]int
}

func (w *cluster) send(out []Message) {
	for _, m := range out {
		if w.rng.Float64() >= w.loss {
			w.inbox = append(w.inbox, m)
		}
	}
}

// step delivers the messages sent in the last step. Then every host ends and
// starts requests at random.
func (w *cluster) step(ids []uint64) {
	w.now += 5 * time.Millisecond
	inbox := w.inbox
	w.inbox = nil
	for _, m := range inbox {
		if p := w.pools[m.To]; p != nil {
			c := m
			w.send(p.Receive(w.now, &c, p.Total()-p.InUse(), nil))
		}
	}
	for _, h := range ids {
		p := w.pools[h]
		if acquired := w.acquired[h]; len(acquired) > 0 && w.rng.IntN(3) == 0 {
			s := acquired[0]
			w.acquired[h] = acquired[1:]
			w.inUse[s.ID.Server]--
			w.send(p.Release(w.now, s, w.rng.IntN(2) == 0, nil))
		}
		var free []uint64
		p.EachFree(w.now, func(server uint64, _ int) { free = append(free, server) })
		if len(free) > 0 && w.rng.IntN(2) == 0 {
			s, ok := p.Acquire(w.now, free[w.rng.IntN(len(free))])
			if ok {
				w.acquired[h] = append(w.acquired[h], s)
				w.inUse[s.ID.Server]++
			}
		} else if len(free) == 0 {
			w.send(p.Borrow(w.now, 2, nil))
		}
		w.send(p.Tick(w.now, len(free) == 0, nil))
	}
}

// TestSlotLimitWithMessageLoss checks that a server never runs more requests
// than it has slots while the hosts have equal lists, although messages are
// lost, and that all slots of some server are in use at some time.
func TestSlotLimitWithMessageLoss(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			ids := hosts(7)
			w := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), pools: map[uint64]*Pool{}, loss: 0.05,
				acquired: map[uint64][]Slot{}, inUse: map[uint64]int{}}
			for _, h := range ids {
				w.pools[h] = NewPool(1, h, Settings{})
				w.pools[h].Reconfigure(0, ids, servers(4, 3), nil)
			}
			peak := 0
			for range 4000 {
				w.step(ids)
				for _, n := range w.inUse {
					is.True(n <= 3)
					peak = max(peak, n)
				}
			}
			is.Equal(peak, 3) // All slots of some server were in use.
		})
	}
}

// A lender must reclaim its slots if the borrower fails and neither renews nor
// returns them.
func TestLeaseExpiresWithoutRenewal(t *testing.T) {
	is := is.New(t)
	ids := hosts(2)
	a, b := NewPool(1, ids[0], Settings{}), NewPool(1, ids[1], Settings{})
	a.Reconfigure(0, ids, servers(2, 2), nil)
	b.Reconfigure(0, ids, servers(2, 2), nil)
	request := a.Borrow(0, 1, nil)
	reply := b.Receive(0, &request[0], 2, nil)
	is.Equal(len(reply[0].Slots), 1)
	is.Equal(b.Total(), 1)
	b.Tick(time.Second, false, nil)
	is.Equal(b.Total(), 1)
	b.Tick(2*time.Second, false, nil)
	is.Equal(b.Total(), 2)
}

// A host must not use newly owned slots immediately, since requests of their
// former owner may still run on them. Without a handover it waits for the
// timeout.
func TestNewOwnerWaitsForTimeout(t *testing.T) {
	is := is.New(t)
	ids := hosts(3)
	p := NewPool(1, ids[0], Settings{})
	p.Reconfigure(0, ids, servers(3, 2), nil)
	before := p.Total()
	p.Reconfigure(time.Second, ids[:2], servers(3, 2), nil)
	is.True(p.Total() > before)
	free := 0
	count := func(_ uint64, n int) { free += n }
	p.EachFree(time.Second, count)
	is.Equal(free, before)
	free = 0
	p.EachFree(4*time.Second, count)
	is.Equal(free, p.Total())
}

// A handover makes a slot usable before the timeout. An idle slot is handed over
// immediately, one in use when its request ends.
func TestHandoverMakesSlotsUsable(t *testing.T) {
	is := is.New(t)
	ids := hosts(3)
	a, b := NewPool(1, ids[0], Settings{}), NewPool(1, ids[1], Settings{})
	a.Reconfigure(0, ids[:1], servers(3, 2), nil) // The first host is the only one.
	b.Reconfigure(0, ids[:1], servers(3, 2), nil)
	s, ok := a.Acquire(0, serverOwnedBy(b, ids[:2]))
	is.True(ok)
	out := a.Reconfigure(time.Second, ids[:2], servers(3, 2), nil)
	b.Reconfigure(time.Second, ids[:2], servers(3, 2), nil)
	free := 0
	count := func(_ uint64, n int) { free += n }
	b.EachFree(time.Second, count)
	is.Equal(free, 0)
	for _, m := range out {
		is.Equal(m.Kind, Handover)
		b.Receive(time.Second, &m, 0, nil)
	}
	free = 0
	b.EachFree(time.Second, count)
	is.Equal(free, b.Total()-1) // One slot is in use at its former owner.
	for _, m := range a.Release(time.Second, s, false, nil) {
		b.Receive(time.Second, &m, 0, nil)
	}
	free = 0
	b.EachFree(time.Second, count)
	is.Equal(free, b.Total())
}

// serverOwnedBy returns a server whose slot 0 is owned by p's host.
func serverOwnedBy(p *Pool, hosts []uint64) uint64 {
	for _, s := range servers(3, 2) {
		if Owners(1, hosts, servers(3, 2))[ID{s.ID, 0}] == p.self {
			return s.ID
		}
	}
	return 0
}

// A host that loses a slot and gets it back while its request still runs must
// not use the slot for a second request.
func TestRequestOutlivesOwnership(t *testing.T) {
	is := is.New(t)
	ids := hosts(1)
	p := NewPool(1, ids[0], Settings{})
	srv := servers(1, 1)
	p.Reconfigure(0, ids, srv, nil)
	s, ok := p.Acquire(0, srv[0].ID)
	is.True(ok)
	p.Reconfigure(time.Second, nil, srv, nil)
	is.Equal(p.InUse(), 1)
	p.Reconfigure(2*time.Second, ids, srv, nil)
	_, ok = p.Acquire(10*time.Second, srv[0].ID)
	is.True(!ok) // The request still runs.
	p.Release(10*time.Second, s, false, nil)
	_, ok = p.Acquire(10*time.Second, srv[0].ID)
	is.True(ok)
}

// borrowOne returns a pool that borrows slots, its lender's, and the lender's
// reply, which the pool has not received yet.
func borrowOne(t *testing.T) (borrower, lender *Pool, reply Message) {
	t.Helper()
	is := is.New(t)
	ids := hosts(2)
	borrower, lender = NewPool(1, ids[0], Settings{}), NewPool(1, ids[1], Settings{})
	borrower.Reconfigure(0, ids, servers(2, 2), nil)
	lender.Reconfigure(0, ids, servers(2, 2), nil)
	request := borrower.Borrow(time.Second, 1, nil)
	is.Equal(len(request), 1)
	replies := lender.Receive(time.Second, &request[0], 2, nil)
	is.Equal(len(replies), 1)
	is.Equal(len(replies[0].Slots), 1)
	return borrower, lender, replies[0]
}

// TestDoubledReplyReturnsNoBorrowedSlot guards against a lender that uses a slot
// which a borrower still uses, because the lender's reply arrived twice.
func TestDoubledReplyReturnsNoBorrowedSlot(t *testing.T) {
	is := is.New(t)
	borrower, lender, reply := borrowOne(t)
	is.Equal(borrower.Receive(time.Second, &reply, 0, nil), nil)
	for _, m := range borrower.Receive(time.Second, &reply, 0, nil) {
		lender.Receive(time.Second, &m, 0, nil)
	}
	is.Equal(lender.Total(), 1) // One of its two slots is lent.
}

func TestOutdatedReplyReturnsSlots(t *testing.T) {
	is := is.New(t)
	borrower, lender, reply := borrowOne(t)
	borrower.Borrow(2*time.Second, 1, nil) // The first request has timed out.
	for _, m := range borrower.Receive(2*time.Second, &reply, 0, nil) {
		lender.Receive(2*time.Second, &m, 0, nil)
	}
	is.Equal(lender.Total(), 2)
}

// TestSlotInHandoverIsNotHandedOverAgain guards against a slot that is handed
// over although its former owner may still use it, because the list of hosts
// changed twice in a short time.
func TestSlotInHandoverIsNotHandedOverAgain(t *testing.T) {
	is := is.New(t)
	ids := hosts(3)
	list := servers(6, 1)
	moved := 0
	for _, self := range ids {
		p := NewPool(1, self, Settings{})
		p.Reconfigure(0, ids[:2], list, nil)
		first := Owners(1, ids[:2], list)
		second := Owners(1, ids, list)
		p.Reconfigure(time.Second, ids, list, nil)
		for _, m := range p.Reconfigure(time.Second+50*time.Millisecond, ids[:2], list, nil) {
			for _, id := range m.Slots {
				moved++
				is.True(first[id] == self || second[id] != self) // Its former owner has not handed it over.
			}
		}
	}
	t.Logf("%d slots handed over", moved)
}

// TestPausedBorrowerUsesNoExpiredSlot guards against a host that was paused for
// longer than a lease and then uses a slot that its lender has reclaimed.
func TestPausedBorrowerUsesNoExpiredSlot(t *testing.T) {
	is := is.New(t)
	borrower, lender, reply := borrowOne(t)
	borrower.Receive(time.Second, &reply, 0, nil)
	server := reply.Slots[0].Server
	slot, ok := borrower.Acquire(time.Second, server)
	for ok && slot.Lender == 0 { // Its own slots go first, and stay in use.
		slot, ok = borrower.Acquire(time.Second, server)
	}
	is.True(ok)
	is.Equal(borrower.Release(time.Second, slot, true, nil), nil) // It is kept while requests wait.
	expired := time.Second + leaseIntervals*defaultRenewInterval + time.Millisecond
	lender.Tick(expired, false, nil)
	is.Equal(lender.Total(), 2) // The lender has reclaimed the slot.
	_, ok = borrower.Acquire(expired, server)
	is.True(!ok)
	borrower.EachFree(expired, func(free uint64, _ int) { is.True(free != server) })
}

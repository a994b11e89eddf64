package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// testHeld returns a SYN of a priority, a route and a caller, each by number.
func testHeld(priority, route, caller, owner int) *HeldSYN[int] {
	return &HeldSYN[int]{
		Owner: owner, Priority: priority,
		Route:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(route)}), 443),
		Caller: netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}),
	}
}

// popOwners returns the owners of the next n SYNs.
func popOwners(o *Order[int], n int) []int {
	var out []int
	for range n {
		if h := o.Pop(true); h != nil {
			out = append(out, h.Owner)
		}
	}
	return out
}

// TestOrderOfOneRouteIsNewestFirst guards against a change of the order where no
// priorities, routes or callers compete. The reference is two stacks.
func TestOrderOfOneRouteIsNewestFirst(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		o := &Order[int]{}
		stacks := [2][]*HeldSYN[int]{}
		drop := func(s, i int) *HeldSYN[int] {
			h := stacks[s][i]
			stacks[s] = append(stacks[s][:i:i], stacks[s][i+1:]...)
			return h
		}
		for n := range 2000 {
			s := rng.IntN(2)
			switch rng.IntN(5) {
			case 0, 1: // A new SYN.
				h := testHeld(0, 1, n, n)
				o.Push(h, s == 1)
				stacks[s] = append(stacks[s], h)
			case 2: // The oldest fresh one becomes overdue.
				if len(stacks[0]) > 0 {
					h := drop(0, 0)
					o.Push(h, true)
					stacks[1] = append(stacks[1], h)
				}
			case 3: // One is answered elsewhere.
				if len(stacks[s]) > 0 {
					o.Remove(drop(s, rng.IntN(len(stacks[s]))))
				}
			case 4:
				want := (*HeldSYN[int])(nil)
				for i := range 1 + s {
					if k := len(stacks[i]); k > 0 && want == nil {
						want = drop(i, k-1)
					}
				}
				is.Equal(o.Pop(s == 1), want)
			}
			is.True(o.MayPass(testHeld(0, 1, n+1, 0), s == 1))
			is.Equal(o.Len(), len(stacks[0])+len(stacks[1]))
		}
	}
}

// TestPrioritiesRoutesAndCallersTakeTurns checks each rule of the order by itself.
// A held SYN is written as priority, route, caller, and 1 if it is overdue. Its
// owner is its index, the newest last.
func TestPrioritiesRoutesAndCallersTakeTurns(t *testing.T) {
	for _, c := range []struct {
		name string
		held [][4]int
		want []int
	}{
		{"the most urgent first", [][4]int{{2, 1, 1}, {1, 2, 2}, {0, 3, 3}, {1, 2, 4}}, []int{2, 3, 1, 0}},
		{"routes take turns", [][4]int{{1, 1, 1}, {1, 1, 2}, {1, 1, 3}, {1, 2, 4}, {1, 2, 5}}, []int{2, 4, 1, 3, 0}},
		{"callers take turns", [][4]int{{0, 1, 1}, {0, 1, 2}, {0, 1, 9}, {0, 1, 9}, {0, 1, 9}}, []int{4, 1, 0, 3, 2}},
		{"fresh before overdue of any priority", [][4]int{{0, 1, 1, 1}, {1, 2, 2, 0}, {0, 1, 3, 0}, {1, 2, 4, 1}}, []int{2, 1, 0, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &Order[int]{}
			for i, h := range c.held {
				o.Push(testHeld(h[0], h[1], h[2], i), h[3] == 1)
			}
			is.New(t).Equal(popOwners(o, len(c.held)+1), c.want)
		})
	}
}

// TestLowerPrioritiesAreNotStarved checks the bounds on starvation with an endless
// supply of each priority: of 8 releases in a row, one goes to a lower priority
// than 0, and of 64 one to a lower one than 1.
func TestLowerPrioritiesAreNotStarved(t *testing.T) {
	is := is.New(t)
	o := &Order[int]{}
	for n := range 3000 {
		o.Push(testHeld(n%3, n%3, n, n%3), n%3 == 2) // Also if the lowest one is overdue.
	}
	since := [3]int{}
	for range 900 {
		got := o.Pop(true).Owner
		for p := 1; p < 3; p++ {
			since[p]++
			if got >= p {
				since[p] = 0
			}
		}
		is.True(since[1] < lowerInterval && since[2] < lowerInterval*lowerInterval)
	}
}

// TestOrderLosesNoSYN guards against SYNs that are released twice or never, on
// random input in which all kinds compete.
func TestOrderLosesNoSYN(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 2))
			o := &Order[int]{}
			held := map[*HeldSYN[int]]bool{}
			for n := range 3000 {
				switch rng.IntN(8) {
				case 0, 1, 2, 3:
					h := testHeld(rng.IntN(3), rng.IntN(4), rng.IntN(6), n)
					o.Push(h, rng.IntN(4) == 0)
					held[h] = true
				case 4:
					if h := o.Evictable(func(*HeldSYN[int]) bool { return true }); h != nil {
						o.Push(h, true)
					}
				case 5:
					if h := o.Evictable(func(h *HeldSYN[int]) bool { return h.Owner%2 == 0 }); h != nil {
						o.Remove(h)
						delete(held, h)
					}
				default:
					if h := o.Pop(rng.IntN(2) == 0); h != nil {
						is.True(held[h])
						delete(held, h)
					}
				}
				is.Equal(o.Len(), len(held))
			}
			is.Equal(len(popOwners(o, 4000)), len(held))
		})
	}
}

// TestOrderReusesItsRecords guards against an allocation for each held SYN, which
// would slow the host down when it is busiest.
func TestOrderReusesItsRecords(t *testing.T) {
	is := is.New(t)
	o := &Order[int]{}
	var syns []*HeldSYN[int]
	for n := range 600 {
		syns = append(syns, testHeld(n%3, n%5, n%37, n))
	}
	cycle := func() {
		for i, h := range syns {
			o.Push(h, i%4 == 0)
		}
		for o.Pop(true) != nil {
		}
	}
	for range 20 { // Until each record is as large as any route needs.
		cycle()
	}
	is.Equal(testing.AllocsPerRun(20, cycle), 0.0)
}

// BenchmarkOrder holds and releases a SYN while a number of callers have one.
func BenchmarkOrder(b *testing.B) {
	for _, callers := range []int{10, 1000, 20_000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			o := &Order[int]{}
			for n := range callers {
				o.Push(testHeld(n%2, n%3, n, n), false)
			}
			h := o.Pop(true)
			for b.Loop() {
				o.Push(h, false)
				h = o.Pop(true)
			}
		})
	}
}

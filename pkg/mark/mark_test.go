package mark

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// collidingMark returns marks that collide often.
func collidingMark(id string) uint32 { return Of(id)%13 + 1 }

// TestNoTwoServersShareAMark guards against packets that reach the wrong server
// because two servers hold the same mark. Servers come and go at random, and
// the table is compared with a simple reference model: a mark belongs to one
// server from its arrival until one flow lifetime after it left.
func TestNoTwoServersShareAMark(t *testing.T) {
	const retain = 10 * time.Second
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			table := NewTable(retain)
			table.markOf = collidingMark
			holder := map[uint32]string{}
			missingSince := map[uint32]time.Duration{}
			for now := time.Duration(0); now < 2*time.Minute; now += time.Second {
				present := map[string]bool{}
				var ids []string
				for range 5 {
					id := fmt.Sprintf("s%d", rng.IntN(30))
					if !present[id] {
						present[id] = true
						ids = append(ids, id)
					}
				}
				got := table.Update(now, ids)
				for m, id := range holder {
					if present[id] {
						delete(missingSince, m)
						continue
					}
					if _, ok := missingSince[m]; !ok {
						missingSince[m] = now
					}
					if now-missingSince[m] >= retain {
						delete(holder, m)
						delete(missingSince, m)
					}
				}
				for id, m := range got {
					is.True(m != 0)
					is.True(holder[m] == "" || holder[m] == id) // The mark belongs to another server.
					holder[m] = id
				}
				for m, id := range holder {
					is.Equal(table.Holder(m), id)
				}
			}
		})
	}
}

func TestMarkSurvivesServerRestart(t *testing.T) {
	is := is.New(t)
	table := NewTable(time.Minute)
	first := table.Update(0, []string{"i-1"})["i-1"]
	table.Update(time.Second, nil)
	is.Equal(table.Holder(first), "i-1")
	is.Equal(table.Update(2*time.Second, []string{"i-1"})["i-1"], first)
}

func TestHostsAgreeWithoutCoordination(t *testing.T) {
	is := is.New(t)
	a, b := NewTable(time.Minute), NewTable(time.Minute)
	a.Update(0, []string{"x"})
	is.Equal(a.Update(time.Second, []string{"x", "y", "z"}), b.Update(5*time.Second, []string{"z", "y", "x"}))
}

func ExampleTable() {
	t := NewTable(time.Minute)
	marks := t.Update(0, []string{"i-7f3a"})
	t.Update(time.Second, nil) // The server left; its flows may still be open.
	fmt.Println(t.Holder(marks["i-7f3a"]))
	// Output: i-7f3a
}

func BenchmarkUpdate(b *testing.B) {
	ids := make([]string, 4500)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%08x", i)
	}
	t := NewTable(time.Minute)
	for b.Loop() {
		t.Update(0, ids)
	}
}

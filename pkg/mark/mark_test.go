package mark

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const lifetime = 10 * time.Second

// collidingMark returns marks that collide often.
func collidingMark(id string) uint32 { return Of(id)%13 + 1 }

// newTestTable returns a table with marks that all collide.
func newTestTable() *Table {
	t := NewTable(lifetime)
	t.markOf = func(string) uint32 { return 7 }
	return t
}

// claim returns the claim of a server that started at a Unix time.
func claim(id string, started int64) Claim { return Claim{ID: id, Started: time.Unix(started, 0)} }

// assertHolder checks the holder of mark 7 and whether it gets new flows.
func assertHolder(is *is.I, t *Table, now time.Duration, id string, acceptsFlows bool) {
	is.Helper()
	is.Equal(t.Holder(7), id)
	is.Equal(t.AcceptsFlows(now, id), acceptsFlows)
}

// TestNoTwoServersShareAMark guards against packets that reach the wrong server
// because two servers hold the same mark. Servers come, restart and go at random. A
// mark belongs to one server until two flow lifetimes after another one precedes it, or
// until its claim is gone, once the table has learned what other hosts know.
func TestNoTwoServersShareAMark(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			table := NewTable(lifetime)
			table.markOf = collidingMark
			// lastFlowAt is when each server was last allowed new flows.
			lastFlowAt := map[string]time.Duration{}
			claims := map[string]Claim{}
			changes := 0
			for now := time.Duration(0); now < 5*time.Minute; now += time.Second {
				id := fmt.Sprintf("s%d", rng.IntN(30))
				if _, ok := claims[id]; ok && rng.IntN(3) == 0 {
					delete(claims, id)
				} else if !ok || rng.IntN(3) == 0 {
					claims[id] = claim(id, int64(now/time.Second))
				}
				before := map[uint32]string{}
				for m := range uint32(14) {
					before[m] = table.Holder(m)
				}
				var all []Claim
				for _, c := range claims {
					all = append(all, c)
				}
				got := table.Update(now, all)
				holders := map[uint32]string{}
				for id, m := range got {
					is.Equal(table.Holder(m), id)
					is.Equal(holders[m], "") // Another server has the mark.
					holders[m] = id
					if old := before[m]; old != "" && old != id {
						_, isPresent := claims[old]
						is.True(now < learningTime || !isPresent || now-lastFlowAt[old] > holdLifetimes*lifetime)
						is.True(!table.AcceptsFlows(now, id))
						changes++
					}
				}
				for id := range claims {
					if table.AcceptsFlows(now, id) {
						is.Equal(table.Holder(collidingMark(id)), id)
						lastFlowAt[id] = now
					}
				}
			}
			is.True(changes > 0)
		})
	}
}

func TestMarkSurvivesServerRestart(t *testing.T) {
	is := is.New(t)
	table := NewTable(time.Minute)
	first := table.Update(0, []Claim{claim("i-1", 1)})["i-1"]
	table.Update(time.Second, nil)
	is.Equal(table.Holder(first), "i-1")
	is.Equal(table.Update(2*time.Second, []Claim{claim("i-1", 2)})["i-1"], first)
	is.True(table.AcceptsFlows(2*time.Second, "i-1"))
}

// TestHostsAgreeWhateverTheyLearnFirst guards against hosts that resolve a mark to
// different servers because they learned of these in different orders at their start.
func TestHostsAgreeWhateverTheyLearnFirst(t *testing.T) {
	claims := []Claim{claim("b", 5), claim("a", 5), claim("c", 9), {ID: "d", Started: time.Unix(1, 0), Departed: true}}
	var learn func(order []Claim, rest []Claim)
	learn = func(order []Claim, rest []Claim) {
		if len(rest) == 0 {
			table := newTestTable()
			for n := range order {
				table.Update(time.Duration(n)*time.Second, order[:n+1])
			}
			is.New(t).Equal(table.Holder(7), "a")
			return
		}
		for i := range rest {
			remaining := append(append([]Claim{}, rest[:i]...), rest[i+1:]...)
			learn(append(append([]Claim{}, order...), rest[i]), remaining)
		}
	}
	learn(nil, claims)
}

// TestHolderKeepsItsMarkForOpenFlows checks the times of a change of the holder.
func TestHolderKeepsItsMarkForOpenFlows(t *testing.T) {
	const (
		joined  = learningTime
		changed = joined + holdLifetimes*lifetime
		settled = changed + quietLifetimes*lifetime
	)
	is := is.New(t)
	table := newTestTable()
	table.Update(0, []Claim{claim("a", 5)})
	assertHolder(is, table, 0, "a", true)
	both := []Claim{claim("a", 5), claim("b", 9)}
	table.Update(joined-1, both) // It started later.
	assertHolder(is, table, joined-1, "a", true)
	both[0] = claim("a", 20) // The holder restarts.
	table.Update(joined, both)
	assertHolder(is, table, joined, "a", false)
	is.Equal(table.NextChange(), changed)
	table.Update(changed-1, both)
	assertHolder(is, table, changed-1, "a", false)
	table.Update(changed, both)
	assertHolder(is, table, changed, "b", false)
	is.Equal(table.NextChange(), settled)
	table.Update(settled, both)
	assertHolder(is, table, settled, "b", true)
	is.Equal(table.NextChange(), time.Duration(0))
	is.True(!table.AcceptsFlows(settled, "a"))
}

// TestStartedHostAdoptsHolder guards against a host that starts while a holder is to
// change, and resolves the mark by the entries alone. It reads the entries in parts.
func TestStartedHostAdoptsHolder(t *testing.T) {
	is := is.New(t)
	old := newTestTable()
	old.Update(0, []Claim{claim("a", 5), claim("b", 9)})
	old.Update(time.Minute, []Claim{claim("a", 20), claim("b", 9)})
	is.Equal(newTestTable().Report(0), Report{}) // It knows nothing yet.
	report := old.Report(time.Minute + time.Second)
	is.Equal(report, Report{Known: true, Holdings: []Holding{{ID: "a", ChallengedFor: time.Second}}})
	for _, readFirst := range []Claim{claim("a", 20), claim("b", 9)} {
		fresh := newTestTable()
		fresh.Update(0, []Claim{readFirst})
		fresh.Adopt(0, report)
		fresh.Adopt(0, Report{Known: true, Holdings: []Holding{{ID: "b"}}}) // Later than the first report.
		fresh.Update(0, []Claim{readFirst})
		fresh.Update(time.Second, []Claim{claim("a", 20), claim("b", 9)})
		assertHolder(is, fresh, time.Second, "a", false)
		const changed = holdLifetimes*lifetime - time.Second
		fresh.Update(changed, []Claim{claim("a", 20), claim("b", 9)})
		assertHolder(is, fresh, changed, "b", false)
	}
}

// TestReportWithoutChallengerEnds guards against a server without new flows for two
// flow lifetimes because another host reported a challenger, or a holder, that the
// started host never sees. NextChange must ask for an update when it has learned.
func TestReportWithoutChallengerEnds(t *testing.T) {
	for _, reported := range []Holding{{ID: "a", ChallengedFor: 1}, {ID: "b"}} {
		is := is.New(t)
		table := newTestTable()
		table.Adopt(0, Report{Known: true, Holdings: []Holding{reported}})
		alone := []Claim{claim("a", 5)}
		table.Update(0, alone)
		is.True(!table.AcceptsFlows(0, "a"))
		is.Equal(table.NextChange(), learningTime)
		table.Update(learningTime, alone)
		is.Equal(table.Holder(7), "a")
	}
}

func ExampleTable() {
	t := NewTable(time.Minute)
	marks := t.Update(0, []Claim{{ID: "i-7f3a"}})
	t.Update(time.Second, nil) // The server left; its flows may still be open.
	fmt.Println(t.Holder(marks["i-7f3a"]))
	// Output: i-7f3a
}

func BenchmarkUpdate(b *testing.B) {
	claims := make([]Claim, 4500)
	for i := range claims {
		claims[i].ID = fmt.Sprintf("i-%08x", i)
	}
	t := NewTable(time.Minute)
	for b.Loop() {
		t.Update(0, claims)
	}
}

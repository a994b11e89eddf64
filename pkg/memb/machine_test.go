package memb

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeGroup runs machines in virtual time in steps of one tick. Messages
// arrive in the next step unless the network loses them.
type fakeGroup struct {
	now   time.Duration
	rng   *rand.Rand
	nodes map[string]*Machine
	down  map[string]bool
	// slow nodes handle messages late.
	slow  map[string]bool
	cut   func(a, b string) bool
	loss  float64
	mail  []letter
	sent  map[string]int
	flaps int
}

type letter struct {
	at       time.Duration
	from, to string
	msg      Message
}

const tick = 50 * time.Millisecond

func newGroup(seed uint64, n int) *fakeGroup {
	g := &fakeGroup{
		rng:   rand.New(rand.NewPCG(seed, 9)),
		nodes: map[string]*Machine{},
		down:  map[string]bool{},
		slow:  map[string]bool{},
		cut:   func(string, string) bool { return false },
		sent:  map[string]int{},
	}
	for i := range n {
		g.start(i, 1)
	}
	return g
}

func nodeName(i int) string { return fmt.Sprintf("h%03d", i) }

func (g *fakeGroup) start(i int, incarnation uint64) {
	name := nodeName(i)
	m := New(Member{Name: name, Address: name, Incarnation: incarnation}, Settings{}, rand.New(rand.NewPCG(uint64(i), incarnation)))
	m.Seed(g.now, []Member{{Name: nodeName(0), Address: nodeName(0)}, {Name: nodeName(1), Address: nodeName(1)}})
	g.nodes[name] = m
	g.down[name] = false
}

func (g *fakeGroup) names() []string {
	var out []string
	for n := range g.nodes {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (g *fakeGroup) run(d time.Duration) {
	names := g.names()
	for end := g.now + d; g.now < end; {
		g.now += tick
		mail := g.mail
		g.mail = nil
		for _, l := range mail {
			if l.at > g.now {
				g.mail = append(g.mail, l)
				continue
			}
			if n := g.nodes[l.to]; n != nil && !g.down[l.to] {
				g.post(l.to, n.Receive(g.now, &l.msg))
			}
		}
		for _, name := range names {
			if g.down[name] {
				continue
			}
			g.post(name, g.nodes[name].Tick(g.now))
			for _, e := range g.nodes[name].Events() {
				if e.Member.Health == Dead && !g.down[e.Member.Name] {
					g.flaps++
				}
			}
		}
	}
}

func (g *fakeGroup) post(from string, sends []Envelope) {
	for _, s := range sends {
		g.sent[from]++
		if g.rng.Float64() < g.loss || g.cut(from, s.Address) {
			continue
		}
		at := g.now
		if g.slow[from] {
			at += time.Duration(g.rng.IntN(400)) * time.Millisecond
		}
		g.mail = append(g.mail, letter{at: at, from: from, to: s.Address, msg: s.Message})
	}
}

// alive returns the names that a node takes for alive, itself included.
func (g *fakeGroup) alive(name string) []string {
	out := []string{name}
	for _, m := range g.nodes[name].Members() {
		if m.Health == Alive || m.Health == Suspect {
			out = append(out, m.Name)
		}
	}
	slices.Sort(out)
	return out
}

// agreed reports whether all running nodes see exactly the running nodes.
func (g *fakeGroup) agreed() bool {
	var up []string
	for _, n := range g.names() {
		if !g.down[n] {
			up = append(up, n)
		}
	}
	for _, n := range up {
		if !slices.Equal(g.alive(n), up) {
			return false
		}
	}
	return true
}

func TestGroupFormsAndNoticesDeath(t *testing.T) {
	is := is.New(t)
	g := newGroup(1, 7)
	g.run(5 * time.Second)
	is.True(g.agreed())
	g.down[nodeName(3)] = true
	g.run(6 * time.Second)
	is.True(g.agreed())
	is.Equal(g.flaps, 0)
}

func TestRestartUnderTheOldName(t *testing.T) {
	is := is.New(t)
	g := newGroup(2, 7)
	g.run(5 * time.Second)
	g.down[nodeName(3)] = true
	g.run(500 * time.Millisecond)
	g.start(3, 100)
	g.run(5 * time.Second)
	is.True(g.agreed())
	for _, m := range g.nodes[nodeName(0)].Members() {
		if m.Name == nodeName(3) {
			is.True(m.Incarnation >= 100)
		}
	}
}

func TestSlowHostsDoNotFlap(t *testing.T) {
	is := is.New(t)
	g := newGroup(3, 30)
	g.loss = 0.02
	g.run(20 * time.Second)
	is.True(g.agreed())
	for i := range 3 {
		g.slow[nodeName(5+i)] = true
	}
	g.flaps = 0
	g.run(2 * time.Minute)
	is.Equal(g.flaps, 0)
}

func TestRackAtOnceAndCutHeals(t *testing.T) {
	is := is.New(t)
	g := newGroup(4, 40)
	g.run(20 * time.Second)
	is.True(g.agreed())
	for i := 10; i < 20; i++ {
		g.down[nodeName(i)] = true
	}
	g.run(20 * time.Second)
	is.True(g.agreed())
	side := func(n string) bool { return n < nodeName(25) }
	g.cut = func(a, b string) bool { return side(a) != side(b) }
	g.run(60 * time.Second)
	is.Equal(len(g.alive(nodeName(0))), 15)
	is.Equal(len(g.alive(nodeName(30))), 15)
	g.cut = func(string, string) bool { return false }
	g.run(30 * time.Second)
	is.True(g.agreed())
}

func TestPausedHostComesBack(t *testing.T) {
	is := is.New(t)
	g := newGroup(5, 7)
	g.run(5 * time.Second)
	g.down[nodeName(2)] = true // Paused: it keeps its state.
	g.run(10 * time.Second)
	is.True(g.agreed())
	g.down[nodeName(2)] = false
	g.flaps = 0
	g.run(10 * time.Second)
	is.True(g.agreed())
	is.Equal(g.flaps, 0) // It accuses nobody when it wakes.
}

func TestLeaveAndGoodbye(t *testing.T) {
	is := is.New(t)
	g := newGroup(6, 7)
	g.run(5 * time.Second)
	leaver := g.nodes[nodeName(4)]
	leaver.StartLeaving()
	g.run(2 * time.Second)
	for _, m := range g.nodes[nodeName(0)].Members() {
		is.Equal(m.Leaving, m.Name == nodeName(4))
	}
	g.post(nodeName(4), leaver.AnnounceLeft())
	g.down[nodeName(4)] = true
	g.run(time.Second)
	is.True(g.agreed())
}

func TestCostDoesNotGrowWithTheGroup(t *testing.T) {
	is := is.New(t)
	rate := func(n int) float64 {
		g := newGroup(7, n)
		g.run(30 * time.Second)
		g.sent = map[string]int{}
		g.run(30 * time.Second)
		sum := 0
		for _, s := range g.sent {
			sum += s
		}
		return float64(sum) / float64(n) / 30
	}
	small, large := rate(8), rate(96)
	is.True(large < small*1.5)
}

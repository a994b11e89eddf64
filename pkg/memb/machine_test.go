package memb

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simGroup simulates a group of hosts in virtual time, in steps of
// tickInterval. A message arrives in the next step unless it is lost or its
// sender is slow.
type simGroup struct {
	now   time.Duration
	rng   *rand.Rand
	nodes map[string]*Machine
	down  map[string]bool
	// slow nodes send their messages with a random delay.
	slow        map[string]bool
	partitioned func(a, b string) bool
	lossRate    float64
	inFlight    []delivery
	sent        map[string]int
	falseDeaths int
}

type delivery struct {
	deliverAt time.Duration
	from, to  string
	msg       Message
}

const tickInterval = 50 * time.Millisecond

func newSimGroup(seed uint64, n int) *simGroup {
	g := &simGroup{
		rng:         rand.New(rand.NewPCG(seed, 9)),
		nodes:       map[string]*Machine{},
		down:        map[string]bool{},
		slow:        map[string]bool{},
		partitioned: func(string, string) bool { return false },
		sent:        map[string]int{},
	}
	for i := range n {
		g.start(i, 1)
	}
	return g
}

func nodeName(i int) string { return fmt.Sprintf("h%03d", i) }

func (g *simGroup) start(i int, incarnation uint64) {
	name := nodeName(i)
	m := New(Member{Name: name, Address: name, Incarnation: incarnation}, Settings{}, rand.New(rand.NewPCG(uint64(i), incarnation)))
	m.Seed(g.now, []Member{{Name: nodeName(0), Address: nodeName(0)}, {Name: nodeName(1), Address: nodeName(1)}})
	g.nodes[name] = m
	g.down[name] = false
}

func (g *simGroup) names() []string {
	var out []string
	for n := range g.nodes {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (g *simGroup) run(duration time.Duration) {
	names := g.names()
	for end := g.now + duration; g.now < end; {
		g.now += tickInterval
		pending := g.inFlight
		g.inFlight = nil
		for _, d := range pending {
			if d.deliverAt > g.now {
				g.inFlight = append(g.inFlight, d)
				continue
			}
			if n := g.nodes[d.to]; n != nil && !g.down[d.to] {
				g.send(d.to, n.Receive(g.now, &d.msg))
			}
		}
		for _, name := range names {
			if g.down[name] {
				continue
			}
			g.send(name, g.nodes[name].Tick(g.now))
			for _, e := range g.nodes[name].Events() {
				if e.Member.Health == Dead && !g.down[e.Member.Name] {
					g.falseDeaths++
				}
			}
		}
	}
}

func (g *simGroup) send(from string, sends []Envelope) {
	for _, s := range sends {
		g.sent[from]++
		if g.rng.Float64() < g.lossRate || g.partitioned(from, s.Address) {
			continue
		}
		deliverAt := g.now
		if g.slow[from] {
			deliverAt += time.Duration(g.rng.IntN(400)) * time.Millisecond
		}
		g.inFlight = append(g.inFlight, delivery{deliverAt: deliverAt, from: from, to: s.Address, msg: s.Message})
	}
}

// aliveFrom returns the names of the hosts that a node considers alive, itself
// included.
func (g *simGroup) aliveFrom(name string) []string {
	out := []string{name}
	for _, m := range g.nodes[name].Members() {
		if m.Health == Alive || m.Health == Suspect {
			out = append(out, m.Name)
		}
	}
	slices.Sort(out)
	return out
}

// converged reports whether each running node considers exactly the running
// nodes alive.
func (g *simGroup) converged() bool {
	var up []string
	for _, n := range g.names() {
		if !g.down[n] {
			up = append(up, n)
		}
	}
	for _, n := range up {
		if !slices.Equal(g.aliveFrom(n), up) {
			return false
		}
	}
	return true
}

func TestGroupFormsAndDetectsFailure(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(1, 7)
	g.run(5 * time.Second)
	is.True(g.converged())
	g.down[nodeName(3)] = true
	g.run(6 * time.Second)
	is.True(g.converged())
	is.Equal(g.falseDeaths, 0)
}

// TestRestartUnderSameName restarts a host before it is declared dead. Its
// higher incarnation must replace the former one on every host.
func TestRestartUnderSameName(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(2, 7)
	g.run(5 * time.Second)
	g.down[nodeName(3)] = true
	g.run(500 * time.Millisecond)
	g.start(3, 100)
	g.run(5 * time.Second)
	is.True(g.converged())
	for _, m := range g.nodes[nodeName(0)].Members() {
		if m.Name == nodeName(3) {
			is.True(m.Incarnation >= 100)
		}
	}
}

// TestSlowHostsAreNotDeclaredDead guards against hosts that are declared dead
// although they run: three of 30 delay their messages by up to 400 ms and 2% of
// all messages are lost.
func TestSlowHostsAreNotDeclaredDead(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(3, 30)
	g.lossRate = 0.02
	g.run(20 * time.Second)
	is.True(g.converged())
	for i := range 3 {
		g.slow[nodeName(5+i)] = true
	}
	g.falseDeaths = 0
	g.run(2 * time.Minute)
	is.Equal(g.falseDeaths, 0)
}

// TestRackFailureAndHealedPartition stops ten of 40 hosts at once, then
// partitions the network and heals it. The two sides declare each other dead
// and must find each other again.
func TestRackFailureAndHealedPartition(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(4, 40)
	g.run(20 * time.Second)
	is.True(g.converged())
	for i := 10; i < 20; i++ {
		g.down[nodeName(i)] = true
	}
	g.run(20 * time.Second)
	is.True(g.converged())
	side := func(n string) bool { return n < nodeName(25) }
	g.partitioned = func(a, b string) bool { return side(a) != side(b) }
	g.run(60 * time.Second)
	is.Equal(len(g.aliveFrom(nodeName(0))), 15)
	is.Equal(len(g.aliveFrom(nodeName(30))), 15)
	g.partitioned = func(string, string) bool { return false }
	g.run(30 * time.Second)
	is.True(g.converged())
}

// TestPausedHostRejoins pauses a host until the others have declared it dead.
// After the pause it must rejoin, and must not declare others dead because of
// timeouts that passed during the pause.
func TestPausedHostRejoins(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(5, 7)
	g.run(5 * time.Second)
	g.down[nodeName(2)] = true // Paused: it keeps its state.
	g.run(10 * time.Second)
	is.True(g.converged())
	g.down[nodeName(2)] = false
	g.falseDeaths = 0
	g.run(10 * time.Second)
	is.True(g.converged())
	is.Equal(g.falseDeaths, 0) // The resumed host declares no live host dead.
}

func TestDrainAndLeave(t *testing.T) {
	is := is.New(t)
	g := newSimGroup(6, 7)
	g.run(5 * time.Second)
	leaver := g.nodes[nodeName(4)]
	leaver.StartLeaving()
	g.run(2 * time.Second)
	for _, m := range g.nodes[nodeName(0)].Members() {
		is.Equal(m.Leaving, m.Name == nodeName(4))
	}
	g.send(nodeName(4), leaver.AnnounceLeft())
	g.down[nodeName(4)] = true
	g.run(time.Second)
	is.True(g.converged())
}

// TestMessageRateIndependentOfGroupSize compares the messages per host and
// second of a group of 8 with those of a group of 96.
func TestMessageRateIndependentOfGroupSize(t *testing.T) {
	is := is.New(t)
	rate := func(n int) float64 {
		g := newSimGroup(7, n)
		g.run(30 * time.Second)
		g.sent = map[string]int{}
		g.run(30 * time.Second)
		total := 0
		for _, s := range g.sent {
			total += s
		}
		return float64(total) / float64(n) / 30
	}
	small, large := rate(8), rate(96)
	is.True(large < small*1.5)
}

package steer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/vtime"
	"lagoonramp.org/lagoonramp/pkg/fleet"
)

// openFlowSim simulates a host and callers that keep flows open for many
// requests while the servers of one data centre are cut off.
type openFlowSim struct {
	vtime.Clock
	table    *Table
	rng      *rand.Rand
	probing  bool
	nextPort int
	// served counts the requests that were answered before their deadline, of
	// total.
	served, total int
}

const (
	openFlowCutFrom  = 2 * time.Second
	openFlowCutTo    = 8 * time.Second
	openFlowDeadline = 2 * time.Second
)

// openFlowCaller is a caller with an open flow to a server.
type openFlowCaller struct {
	sim      *openFlowSim
	port     int
	mark     uint32
	sequence uint32
	// pending is the time at which the pending request began, 0 for none.
	pending time.Duration
	request int
}

func newOpenFlowSim(probing bool) *openFlowSim {
	s := &openFlowSim{table: newIdempotentTable("a", "a", "b", "b", "c", "c", "b", "a"), rng: rand.New(rand.NewPCG(3, 9)), probing: probing}
	for range 48 {
		c := &openFlowCaller{sim: s}
		s.After(time.Duration(s.rng.IntN(900))*ms, c.startRequest)
	}
	s.Every(5*ms, s.tick)
	return s
}

// isCut reports whether a server is cut off.
func (s *openFlowSim) isCut(v *fleet.Server) bool {
	return v.DataCentre == "b" && s.Now() >= openFlowCutFrom && s.Now() < openFlowCutTo
}

func (s *openFlowSim) tick() bool {
	s.table.testResendAll(s.Now())
	if s.probing {
		for _, p := range s.table.TakeProbes() {
			if !s.isCut(p.Server) {
				s.table.RecordProbe(s.Now(), p, ProbeAnswered)
				continue
			}
			s.After(120*ms, func() { s.table.RecordProbe(s.Now(), p, ProbeFailed) })
		}
	}
	for r, ok := s.table.NextReset(s.Now()); ok; r, ok = s.table.NextReset(s.Now()) {
		openFlowCallers[int(r.Key.Caller.Port())-1024].handleReset()
	}
	return s.Now() < 12*time.Second
}

var openFlowCallers = map[int]*openFlowCaller{}

func (c *openFlowCaller) startRequest() {
	if c.sim.Now() > 10*time.Second {
		return
	}
	c.sim.total++
	c.pending = c.sim.Now()
	c.request++
	if c.port == 0 {
		c.open()
	}
	c.transmit(c.request, 200*ms)
	request := c.request
	c.sim.After(openFlowDeadline, func() {
		if c.request == request && c.pending != 0 {
			c.pending, c.port = 0, 0
			c.startRequest()
		}
	})
}

// open opens a flow to the first server that answers.
func (c *openFlowCaller) open() {
	c.sim.nextPort++
	c.port, c.sequence = c.sim.nextPort, 1
	openFlowCallers[c.port] = c
	v := c.sim.table.testSYN(c.sim.Now(), c.port, 0)
	for c.sim.isCut(v.Server) {
		// The handshake timeout is simulated without its delay.
		f := c.sim.table.flows[key(c.port)]
		v.Server = c.sim.table.failOver(c.sim.Now(), f)
	}
	c.mark = v.Server.Mark
	c.sim.table.testData(c.sim.Now(), c.port, c.mark, 1, 0)
}

// transmit sends the pending request, and again after a timeout that doubles.
func (c *openFlowCaller) transmit(request int, timeout time.Duration) {
	if c.request != request || c.pending == 0 {
		return
	}
	v := c.sim.table.testRequest(c.sim.Now(), c.port, c.mark, c.sequence)
	if v.Action == ResetFlow {
		c.handleReset()
		return
	}
	if !c.sim.isCut(v.Server) {
		c.sim.After(40*ms, func() { c.finish(request, v.Server) })
		return
	}
	c.sim.After(timeout, func() { c.transmit(request, 2*timeout) })
}

// handleReset repeats the pending request on a new flow.
func (c *openFlowCaller) handleReset() {
	c.port = 0
	if c.pending != 0 {
		c.open()
		c.transmit(c.request, 200*ms)
	}
}

func (c *openFlowCaller) finish(request int, s *fleet.Server) {
	if c.request != request || c.pending == 0 || c.sim.isCut(s) {
		return
	}
	c.sim.served++
	c.pending = 0
	c.sequence += 100
	c.sim.table.testData(c.sim.Now(), c.port, c.mark, c.sequence, 0)
	c.sim.After(time.Duration(500+c.sim.rng.IntN(500))*ms, c.startRequest)
}

// TestOpenFlowsSurviveLossOfDataCentre replays a data centre that is cut off
// under open flows. All requests but those of the first moments must be served,
// which fails without probes.
func TestOpenFlowsSurviveLossOfDataCentre(t *testing.T) {
	is := is.New(t)
	with := newOpenFlowSim(true)
	with.RunUntil(15 * time.Second)
	is.Equal(with.served, with.total)
	without := newOpenFlowSim(false)
	without.RunUntil(15 * time.Second)
	is.True(without.served < without.total)
}

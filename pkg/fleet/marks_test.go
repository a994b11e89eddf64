package fleet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// collidingIDs returns two server IDs with the same mark, the smaller one first.
var collidingIDs = sync.OnceValues(func() (low, high string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		id := fmt.Sprintf("i-%08x", i)
		if other, ok := seen[mark.Of(id)]; ok {
			return other, id
		}
		seen[mark.Of(id)] = id
	}
})

const (
	// markSimStep is the interval at which hosts build their views.
	markSimStep = time.Second
	// markSimEnd is how long a simulation continues after the last event.
	markSimEnd = 250 * time.Second
	// lateLag is the time after which the host that is cut off learns of changes.
	lateLag = 20 * time.Second
	// restartInterval is the interval between the restarts of the third host.
	restartInterval = 13 * time.Second
)

// markSim simulates two servers whose IDs have the same mark and three hosts: one
// learns of changes after a step, one after lateLag, and one is restarted again and
// again.
type markSim struct {
	t *testing.T
	// name is that of the case.
	name string
	now  time.Duration
	// processes maps the IDs of the servers that run to their start times.
	processes map[string]time.Duration
	// states holds the state of the store after each step.
	states []map[string]*Server
	hosts  [3]*markHost
	// opened maps processes to the times at which flows were last opened to them.
	opened map[process]time.Duration
}

type process struct {
	id      string
	started time.Duration
}

type markHost struct {
	builder   *Builder
	startedAt time.Duration
	lag       time.Duration
	view      *View
}

func newMarkSim(t *testing.T) *markSim {
	s := &markSim{t: t, processes: map[string]time.Duration{}, opened: map[process]time.Duration{}}
	s.states = append(s.states, nil)
	for i, lag := range []time.Duration{markSimStep, lateLag, 0} {
		s.hosts[i] = &markHost{builder: NewBuilder(Settings{}), lag: lag}
	}
	return s
}

// run advances the simulation with a number of servers' entries absent from the
// store.
func (s *markSim) run(d time.Duration, absent ...string) {
	for end := s.now + d; s.now < end; s.now += markSimStep {
		state := map[string]*Server{}
		for i, id := range slices.Sorted(slices.Values([]string{lowID(), highID()})) {
			if started, runs := s.processes[id]; runs && !slices.Contains(absent, id) {
				state[id] = server(id, "desk", fmt.Sprintf("10.0.0.%d:80", i+1), Ready)
				state[id].Started = time.Unix(0, 0).Add(started)
			}
		}
		s.states = append(s.states, state)
		if s.now%restartInterval == 0 {
			s.restartHost()
		}
		for _, h := range s.hosts {
			s.build(h)
		}
		s.checkFlows()
	}
}

func lowID() string  { low, _ := collidingIDs(); return low }
func highID() string { _, high := collidingIDs(); return high }

// restartHost restarts the third host, which fetches the retained state of the
// others.
func (s *markSim) restartHost() {
	h := &markHost{builder: NewBuilder(Settings{}), startedAt: s.now}
	for i := range 2 {
		if other := s.hosts[(int(s.now/restartInterval)+i)%2]; other.view != nil {
			h.builder.MergeRetainedState(0, other.builder.RetainedState(s.now-other.startedAt))
		}
	}
	s.hosts[2] = h
}

// build builds the view of a host, which opens a flow to each usable server.
func (s *markSim) build(h *markHost) {
	at := max(0, (s.now-h.lag)/markSimStep+1)
	servers := map[string]*Server{}
	for id, entry := range s.states[at] {
		e := *entry
		servers[id] = &e
	}
	local := s.now - h.startedAt
	h.view = h.builder.Build(local, local, uint64(at), document(1, "desk"), servers)
	for _, usable := range h.view.Usable["desk"] {
		if started, runs := s.processes[usable.ID]; runs {
			s.opened[process{usable.ID, started}] = s.now
		}
	}
}

// checkFlows checks that all hosts send the packets of each open flow to its server.
func (s *markSim) checkFlows() {
	for p, at := range s.opened {
		if started, runs := s.processes[p.id]; !runs || started != p.started || s.now-at >= defaultFlowLifetime {
			delete(s.opened, p)
			continue
		}
		for i, h := range s.hosts {
			if resolved := h.view.ServersByMark[mark.Of(p.id)]; resolved != nil && resolved.ID != p.id {
				s.t.Fatalf("%s: %v: host %d sends the packets of flows of %s, opened at %v, to %s", s.name, s.now, i, p.id, at, resolved.ID)
			}
		}
	}
}

// TestServersWithOneMarkKeepTheirFlows guards against a flow that changes its server
// because two servers have IDs with the same mark. It goes through the orders in
// which these start, restart and stop, and in which their entries are absent from the
// store for a time. At the end, all hosts use the same one.
func TestServersWithOneMarkKeepTheirFlows(t *testing.T) {
	events := map[byte]func(s *markSim, id string){
		's': func(s *markSim, id string) { s.processes[id] = s.now },
		'x': func(s *markSim, id string) { delete(s.processes, id) },
		'e': func(s *markSim, id string) { s.run(5*time.Second, id) },
	}
	for _, first := range []string{lowID(), highID()} {
		second := lowID()
		if first == second {
			second = highID()
		}
		for n := range 6 * 6 * 6 {
			order := "s"
			for ; len(order) < 2*4-1; n /= 6 {
				order += "12"[n%2:n%2+1] + "sxe"[n%6/2:n%6/2+1]
			}
			order = "1" + order
			for _, interval := range []time.Duration{3 * time.Second, 70 * time.Second} {
				s := newMarkSim(t)
				s.name = fmt.Sprintf("%s, every %v", order, interval)
				s.run(restartInterval) // The hosts have learned what others know.
				for i := 0; i < len(order); i += 2 {
					id := first
					if order[i] == '2' {
						id = second
					}
					events[order[i+1]](s, id)
					s.run(interval)
				}
				s.run(markSimEnd)
				for i, h := range s.hosts {
					if got := len(h.view.Usable["desk"]); got != min(1, len(s.processes)) {
						t.Fatalf("%s: host %d uses %d servers", s.name, i, got)
					}
				}
			}
		}
	}
}

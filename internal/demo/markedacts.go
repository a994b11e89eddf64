package demo

import (
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// edit adds a route and waits until every host has it.
func (s *markedScene) edit() error {
	began := time.Now()
	s.configure(
		stub.Route{Address: markedDesk, Service: "entry-desk"}, stub.Route{Address: markedPress, Service: "catalogue-press"},
		stub.Route{Address: markedLive, Service: "entry-desk"},
	)
	inForce := map[string]float64{}
	all := within(readyIn, func() bool {
		for _, h := range s.hosts {
			if _, ok := inForce[h.name]; !ok && h.DocumentVersion() == uint64(s.version) {
				inForce[h.name] = time.Since(began).Seconds()
			}
		}
		return len(inForce) == len(s.hosts)
	})
	took := time.Since(began).Seconds()
	if !all {
		took = -1
	}
	s.callers.count(func(r *Report) { r.InForce, r.InForceSeconds = inForce, took })
	s.say("an operator's edit is in force on %d of %d hosts after %.2f s", len(inForce), len(s.hosts), took)
	return nil
}

// replaceServer starts a server and drains another one. What the drained one
// gets later than noNewAfter is counted.
func (s *markedScene) replaceServer() error {
	if err := s.addServer("entry-desk"); err != nil {
		return err
	}
	old := s.servers[0]
	old.Drain()
	s.Store.Put(old.Key(), old.Entry("draining"))
	late := time.Now().Add(noNewAfter)
	s.Ledger.OnSYN(func(v *stub.Server, at time.Time) {
		if v == old && at.After(late) {
			s.callers.count(func(r *Report) { r.NewAfterDrain++ })
		}
	})
	s.say("%s drains, a new server has registered itself", old.ID)
	return nil
}

func (s *markedScene) join() error {
	if err := s.addHost(); err != nil {
		return err
	}
	s.say("%s joins", s.hosts[len(s.hosts)-1].name)
	return nil
}

func (s *markedScene) leave() error {
	h := s.hosts[1]
	s.say("%s is asked to stop", h.name)
	h.soft()
	return nil
}

func (s *markedScene) loseStore() error {
	s.say("the store is away for %v", storeAwayFor)
	s.Store.SetFault(stub.Unresponsive)
	time.Sleep(storeAwayFor)
	s.Store.SetFault(stub.Healthy)
	return nil
}

func (s *markedScene) kill() error {
	h := s.hosts[2]
	open := s.callers.BeginCrashPhase()
	s.callers.count(func(r *Report) { r.OpenAtKill = open })
	s.say("%s is killed", h.name)
	h.kill()
	return nil
}

package demo

import (
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// edit adds a route to the operators' document and measures how long each host
// takes to adopt it.
func (s *markedScenario) edit() error {
	start := time.Now()
	s.putDocument(
		stub.Route{Address: markedDeskAddress, Service: "entry-desk"}, stub.Route{Address: markedPressAddress, Service: "catalogue-press"},
		stub.Route{Address: markedLiveAddress, Service: "entry-desk"},
	)
	inForce := map[string]float64{}
	everywhere := waitFor(markedWaitTimeout, func() bool {
		for _, h := range s.hosts {
			if _, ok := inForce[h.name]; !ok && h.DocumentVersion() == uint64(s.documentVersion) {
				inForce[h.name] = time.Since(start).Seconds()
			}
		}
		return len(inForce) == len(s.hosts)
	})
	took := time.Since(start).Seconds()
	if !everywhere {
		took = -1
	}
	s.callers.update(func(r *Report) { r.InForce, r.InForceSeconds = inForce, took })
	s.progressf("an operator's edit is in force on %d of %d hosts after %.2f s", len(inForce), len(s.hosts), took)
	return nil
}

// replaceServer starts a server and drains another one. Flows that reach the
// draining server later than drainDelay are counted as a violation.
func (s *markedScenario) replaceServer() error {
	if err := s.addServer("entry-desk"); err != nil {
		return err
	}
	old := s.servers[0]
	old.Drain()
	s.Store.Put(old.Key(), old.Entry("draining"))
	cutoff := time.Now().Add(drainDelay)
	s.Ledger.OnSYN(func(v *stub.Server, at time.Time) {
		if v == old && at.After(cutoff) {
			s.callers.update(func(r *Report) { r.NewAfterDrain++ })
		}
	})
	s.progressf("%s drains, a new server has registered itself", old.ID)
	return nil
}

// join starts another host.
func (s *markedScenario) join() error {
	if err := s.addHost(); err != nil {
		return err
	}
	s.progressf("%s joins", s.hosts[len(s.hosts)-1].name)
	return nil
}

// leave starts the graceful shutdown of a host.
func (s *markedScenario) leave() error {
	h := s.hosts[1]
	s.progressf("%s is asked to stop", h.name)
	h.shutdown()
	return nil
}

// interruptStore makes the store unresponsive for storeOutage.
func (s *markedScenario) interruptStore() error {
	s.progressf("the store is unresponsive for %v", storeOutage)
	s.Store.SetFault(stub.Unresponsive)
	time.Sleep(storeOutage)
	s.Store.SetFault(stub.Healthy)
	return nil
}

// kill stops a host as a crash would and begins the callers' crash phase.
func (s *markedScenario) kill() error {
	h := s.hosts[2]
	open := s.callers.BeginCrashPhase()
	s.callers.update(func(r *Report) { r.OpenAtKill = open })
	s.progressf("%s is killed", h.name)
	h.kill()
	return nil
}

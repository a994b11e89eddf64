package soak

import (
	"slices"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// coldReleases is the name of the fault that releases several servers.
	coldReleases = "release cold servers"
	// releasedServers is the number of servers that are replaced at intervals of
	// releaseInterval.
	releasedServers = 3
	releaseInterval = 400 * time.Millisecond
)

// randomServer returns a random server that is not leaving.
func (t *testbed) randomServer() *testServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.servers {
		if s.leavingAt.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return t.servers[ids[t.rng.IntN(len(ids))]]
}

// expireRegistrations simulates an outage of the store during which the
// registrations of all servers expire. The servers register again afterwards.
func (t *testbed) expireRegistrations(d time.Duration) {
	t.Store.SetFault(stub.Unavailable)
	time.Sleep(d)
	t.mu.Lock()
	var expired []*testServer
	for _, s := range t.servers {
		if s.leavingAt.IsZero() {
			t.Store.Delete(s.Key())
			expired = append(expired, s)
		}
	}
	t.mu.Unlock()
	t.Store.SetFault(stub.Healthy)
	time.Sleep(maxReregisterDelay * time.Duration(t.randomIntN(100)) / 100)
	for _, s := range expired {
		t.mu.Lock()
		if t.servers[s.ID] == s && s.leavingAt.IsZero() {
			t.Publish(s.Server, "ready")
		}
		t.mu.Unlock()
	}
}

// replaceServer starts a new server, drains an old one of the same service, and
// removes it once it has drained.
func (t *testbed) replaceServer(time.Duration) {
	old := t.randomServer()
	if err := t.addServer(old.Service, old.DataCentre, ""); err != nil {
		t.recordFinding("a server does not start: %v", err)
		return
	}
	old.Drain() // Without t.mu, since checkNewFlow locks t.mu while the server is locked.
	t.mu.Lock()
	t.Publish(old.Server, "draining")
	old.leavingAt, old.drain = time.Now(), newOrder(maxDrainDelay)
	t.mu.Unlock()
	time.Sleep(maxDrainDelay + quietPeriod)
	t.removeServer(old)
	t.Store.Delete(old.Key())
}

// removeServer stops a server permanently.
func (t *testbed) removeServer(s *testServer) {
	t.mu.Lock()
	t.lastServerLoss = time.Now()
	delete(t.servers, s.ID)
	t.departed = append(t.departed, s.Key())
	t.mu.Unlock()
	s.Crash() // Without t.mu, since checkNewFlow locks t.mu while the server is locked.
}

// crashServer stops a server without draining it. A server of the same service
// replaces it at a new address, and a server of the other service reuses its
// address while its registration still exists.
func (t *testbed) crashServer(time.Duration) {
	s := t.randomServer()
	t.mu.Lock()
	s.leavingAt = time.Now().Add(time.Hour) // Excludes the server from randomServer.
	t.mu.Unlock()
	t.removeServer(s)
	if err := t.addServer(s.Service, s.DataCentre, ""); err != nil {
		t.recordFinding("a server does not start: %v", err)
	}
	time.Sleep(addressReuseDelay)
	otherService := "catalogue-press"
	if s.Service == otherService {
		otherService = "entry-desk"
	}
	if err := t.addServer(otherService, s.DataCentre, s.address); err != nil {
		t.logf("the address %s cannot be reused: %v", s.address, err)
	}
	time.Sleep(time.Second)
	t.Store.Delete(s.Key())
}

// freezeServer makes a server unresponsive for a duration.
func (t *testbed) freezeServer(d time.Duration) {
	s := t.randomServer()
	s.SetMuted(true)
	t.mu.Lock()
	t.lastServerLoss = time.Now().Add(d)
	t.mu.Unlock()
	time.Sleep(d)
	s.SetMuted(false)
}

// releaseServers replaces several servers at short intervals.
func (t *testbed) releaseServers(d time.Duration) {
	var group sync.WaitGroup
	for range releasedServers {
		group.Go(func() { t.replaceServer(d) })
		time.Sleep(releaseInterval)
	}
	group.Wait()
}

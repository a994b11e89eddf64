package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

func hostIDs(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendez.Hash(fmt.Sprintf("host-%d", i))
	}
	return out
}

func TestFewHostsWatch(t *testing.T) {
	is := is.New(t)
	hosts := hostIDs(90)
	watchers := 0
	for _, h := range hosts {
		m := New(h, Settings{}, rand.New(rand.NewPCG(1, h)))
		m.SetHosts(hosts)
		if m.ShouldWatch() {
			watchers++
		}
	}
	is.Equal(watchers, 2)
}

func TestFailedFetchIsRetriedFromAnotherPeer(t *testing.T) {
	is := is.New(t)
	hosts := hostIDs(3)
	m := New(hosts[0], Settings{}, rand.New(rand.NewPCG(1, 1)))
	m.SetHosts(hosts)
	f := m.ObserveRevision(time.Second, hosts[1], 5)
	is.Equal(f.Peer, hosts[1])
	is.True(m.ObserveRevision(time.Second, hosts[2], 5) == nil) // Only one fetch at a time.
	m.FetchFailed(2*time.Second, *f)
	is.True(m.Tick(2*time.Second) == nil)
	f = m.Tick(3 * time.Second)
	is.Equal(f.Peer, hosts[2])
	f = m.Tick(5 * time.Second) // The fetch has timed out.
	is.True(f == nil)
	f = m.Tick(6 * time.Second)
	is.Equal(f.Peer, hosts[1])
	m.SetRevision(5)
	is.True(m.Tick(20*time.Second) == nil)
}

// TestHigherEraIsFetched guards against a host that stays at a state which the store
// lost, since the revision after a restore is lower.
func TestHigherEraIsFetched(t *testing.T) {
	is := is.New(t)
	hosts := hostIDs(3)
	m := New(hosts[0], Settings{}, rand.New(rand.NewPCG(1, 1)))
	m.SetHosts(hosts)
	m.SetVersion(mirror.Version{Revision: 9})
	restored := mirror.Version{Era: 1, Revision: 4}
	f := m.ObserveVersion(time.Second, hosts[1], restored)
	is.Equal(f.Version, restored)
	is.Equal(len(m.SetVersion(restored)), 1) // The peer that reported it need not be notified.
	is.True(m.ObserveRevision(time.Second, hosts[2], 99) == nil)
}

// TestRevisionReachesAllHostsWithinGoal simulates the dissemination of a
// revision from two watchers to 90 hosts with 5% message loss, in virtual time
// and in steps of 10 ms. Every host has to adopt the revision within 4 s.
func TestRevisionReachesAllHostsWithinGoal(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			is.True(propagationTime(seed, 90, 0.05) < 4*time.Second)
		})
	}
}

// propagationTime returns how long a revision takes to reach n hosts if messages
// and fetches are lost with the probability loss.
func propagationTime(seed uint64, n int, loss float64) time.Duration {
	const step = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 5))
	hosts := hostIDs(n)
	index := map[uint64]int{}
	machines := make([]*Machine, n)
	for i, h := range hosts {
		index[h] = i
		machines[i] = New(h, Settings{}, rand.New(rand.NewPCG(seed, h)))
		machines[i].SetHosts(hosts)
	}
	revision := make([]uint64, n)
	type event struct {
		at  time.Duration
		run func(now time.Duration)
	}
	var pending []event
	var adopt func(now time.Duration, i int)
	fetch := func(now time.Duration, i int, f *Fetch) {
		if f == nil {
			return
		}
		pending = append(pending, event{now + 2*step, func(now time.Duration) {
			if rng.Float64() < loss {
				machines[i].FetchFailed(now, *f)
				return
			}
			adopt(now, i)
		}})
	}
	adopt = func(now time.Duration, i int) {
		revision[i] = 1
		for _, to := range machines[i].SetRevision(1) {
			if rng.Float64() < loss {
				continue
			}
			pending = append(pending, event{now + step, func(now time.Duration) {
				fetch(now, index[to], machines[index[to]].ObserveRevision(now, hosts[i], 1))
			}})
		}
	}
	for i := range machines {
		if machines[i].ShouldWatch() {
			adopt(0, i)
		}
	}
	for now := step; now < time.Minute; now += step {
		scheduled := pending
		pending = nil
		for _, e := range scheduled {
			if e.at <= now {
				e.run(now)
			} else {
				pending = append(pending, e)
			}
		}
		allAdopted := true
		for i := range machines {
			fetch(now, i, machines[i].Tick(now))
			if now%(500*time.Millisecond) == 0 && rng.Float64() >= loss {
				j := rng.IntN(n) // The revision on a membership message.
				fetch(now, i, machines[i].ObserveRevision(now, hosts[j], revision[j]))
			}
			allAdopted = allAdopted && revision[i] == 1
		}
		if allAdopted {
			return now
		}
	}
	return time.Minute
}

package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

func TestRepeatedRequestJoinsThenReplays(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1, Settings{})
	v, _ := l.Begin(0, "k", 7)
	is.Equal(v, Proceed)
	v, r := l.Begin(time.Second, "k", 7)
	is.Equal(v, Join)
	done := r.Done()
	v, _ = l.Begin(time.Second, "k", 8)
	is.Equal(v, Mismatch)
	l.Finish(2*time.Second, "k", &Answer{Status: 201})
	<-done
	v, r = l.Begin(3*time.Second, "k", 7)
	is.Equal(v, Replay)
	is.Equal(r.Answer.Status, 201)
	l.Begin(20*time.Minute, "other", 1)
	is.Equal(l.Len(), 1) // The old record has expired.
}

func TestStoredAnswerBytesAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1, Settings{MaxBytes: 25})
	for i := range 5 {
		key := fmt.Sprint(i)
		l.Begin(0, key, 7)
		l.Finish(0, key, &Answer{Status: 201, Body: make([]byte, 10)})
	}
	is.Equal(l.answerBytes, 20)
	v, r := l.Begin(time.Second, "4", 7)
	is.Equal(v, Replay) // The record remains without its body.
	is.True(r.Answer.Truncated)
	l.Begin(20*time.Minute, "new", 7)
	is.Equal(l.answerBytes, 0)
}

func TestUnansweredRequestIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1, Settings{})
	l.Begin(0, "k", 7)
	l.MarkUnanswered(time.Second, "k")
	v, _ := l.Begin(2*time.Second, "k", 7)
	is.Equal(v, OutcomeUnknown)
}

func TestReserveAndRelease(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1, Settings{})
	existing, ok := l.Reserve(0, "k", 7, 2, 1)
	is.True(ok && existing == nil)
	existing, _ = l.Reserve(0, "k", 7, 2, 1) // A duplicated message.
	is.True(existing == nil)
	existing, _ = l.Reserve(0, "k", 7, 2, 2) // The owner restarted.
	is.Equal(existing.AttemptID, uint64(1))
	existing, _ = l.Reserve(0, "k", 7, 3, 1)
	is.Equal(existing.Host, uint64(2))
	v, _ := l.Begin(0, "k", 7)
	is.Equal(v, Forward)
	l.Release("k", 3, 1) // Reserved by another host.
	is.Equal(l.Len(), 1)
	l.Release("k", 2, 1)
	v, _ = l.Begin(0, "k", 7)
	is.Equal(v, Proceed)
}

func TestMakePlan(t *testing.T) {
	const window = 10 * time.Minute
	now := time.Hour
	stablePeers := func() ([]Peer, []uint64) {
		var peers []Peer
		for i := range 7 {
			peers = append(peers, Peer{ID: rendez.Hash(fmt.Sprint("host-", i))})
		}
		return peers, rankOf(5, peers)
	}
	t.Run("stable membership", func(t *testing.T) {
		is := is.New(t)
		peers, rank := stablePeers()
		p := MakePlan(now, 5, rank[0], peers, window)
		is.Equal(p.Owner, rank[0])
		is.Equal(p.Replicas, rank[1:3])
		is.True(!p.HasQuorum(0))
		is.True(p.HasQuorum(1))
	})
	t.Run("owner joined recently", func(t *testing.T) {
		is := is.New(t)
		peers, rank := stablePeers()
		updatePeer(peers, rank[0], func(m *Peer) { m.FirstSeen = now })
		p := MakePlan(now, 5, rank[0], peers, window)
		is.Equal(p.Replicas, rank[1:4])
		is.True(!p.HasQuorum(1))
		is.True(p.HasQuorum(2))
	})
	t.Run("one host of the group lost", func(t *testing.T) {
		is := is.New(t)
		peers, rank := stablePeers()
		updatePeer(peers, rank[0], func(m *Peer) { m.Lost = true })
		p := MakePlan(now, 5, rank[1], peers, window)
		is.Equal(p.Owner, rank[1])
		is.Equal(p.Replicas, rank[2:3])
		is.True(!p.HasQuorum(0))
		is.True(p.HasQuorum(1))
	})
	t.Run("two hosts of the group lost", func(t *testing.T) {
		is := is.New(t)
		peers, rank := stablePeers()
		updatePeer(peers, rank[0], func(m *Peer) { m.Lost = true })
		updatePeer(peers, rank[1], func(m *Peer) { m.Lost = true })
		p := MakePlan(now, 5, rank[2], peers, window)
		is.True(!p.HasQuorum(len(p.Replicas)))
	})
	t.Run("owner restarted", func(t *testing.T) {
		is := is.New(t)
		peers, rank := stablePeers()
		updatePeer(peers, rank[0], func(m *Peer) { m.RecordsLost = true })
		p := MakePlan(now, 5, rank[0], peers, window)
		is.True(!p.HasQuorum(1))
		is.True(p.HasQuorum(2))
	})
	t.Run("single host", func(t *testing.T) {
		is := is.New(t)
		p := MakePlan(now, 5, 9, []Peer{{ID: 9}}, window)
		is.True(p.HasQuorum(0))
	})
	t.Run("two hosts", func(t *testing.T) {
		is := is.New(t)
		p := MakePlan(now, 5, 9, []Peer{{ID: 9}, {ID: 8}}, window)
		is.True(!p.HasQuorum(0))
		is.True(p.HasQuorum(1))
	})
}

// rankOf returns the IDs of the peers in rendezvous order for a key.
func rankOf(key uint64, peers []Peer) []uint64 {
	var ids []uint64
	for _, p := range peers {
		ids = append(ids, p.ID)
	}
	slices.SortFunc(ids, func(a, b uint64) int {
		if rendez.Score(key, a) > rendez.Score(key, b) {
			return -1
		}
		return 1
	})
	return ids
}

// updatePeer applies change to the peer with the given ID.
func updatePeer(peers []Peer, id uint64, change func(*Peer)) {
	for i := range peers {
		if peers[i].ID == id {
			change(&peers[i])
		}
	}
}

// TestAtMostOnceUnderChurn guards against a key that runs twice because its
// records are lost or its owner changes. Hosts crash, restart and are
// partitioned while keys are submitted repeatedly, each time to the owner
// according to a view that may be stale.
//
// The test also requires that enough keys run, so that refusing every request
// does not pass. This is checked over all seeds, because in a single one two of
// seven hosts can be down most of the time.
func TestAtMostOnceUnderChurn(t *testing.T) {
	ran, keys := 0, 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(seed)
			for range 6000 {
				s.step()
			}
			for key, runs := range s.runs {
				if runs > 1 {
					t.Errorf("%s ran %d times", key, runs)
				}
			}
			ran += s.totalRuns
			keys += s.keyCount
		})
	}
	is.New(t).True(ran > keys/5)
}

// simulation runs ledgers of several hosts under churn.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	hosts     []*simHost
	runs      map[string]int
	totalRuns int
	keyCount  int
	// partitionEnd is when the current network partition ends.
	partitionEnd time.Duration
}

// simHost is a host of the simulation.
type simHost struct {
	id     uint64
	up     bool
	ledger *Ledger
	// view is the host's possibly stale view of the peers.
	view    map[uint64]Peer
	started time.Duration
	// side is the side of the network partition that the host is on.
	side int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), runs: map[string]int{}, now: time.Hour}
	for i := range 7 {
		s.hosts = append(s.hosts, &simHost{id: rendez.Hash(fmt.Sprint("h", i)), view: map[uint64]Peer{}})
	}
	for _, h := range s.hosts {
		s.startHost(h, 0)
	}
	return s
}

// startHost starts a host with an empty ledger. The views of running hosts are
// updated immediately, whereas crashes show only in a later updateView.
func (s *simulation) startHost(h *simHost, since time.Duration) {
	h.up = true
	h.ledger = NewLedger(h.id, Settings{})
	h.started = since
	h.view = map[uint64]Peer{}
	for _, o := range s.hosts {
		h.view[o.id] = Peer{ID: o.id, FirstSeen: since, Lost: !o.up}
		if p := o.view[h.id]; o.up && o != h {
			// A restart keeps the time since which the others know the host.
			o.view[h.id] = Peer{ID: h.id, FirstSeen: p.FirstSeen}
		}
	}
}

// step advances the time and lets one random event happen: a crash, a start, a
// partition, an update of a view or the submission of a key.
func (s *simulation) step() {
	s.now += time.Duration(s.rng.IntN(400)) * time.Millisecond
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch n := s.rng.IntN(400); {
	case n == 0 && h.up && s.upCount() > 3:
		h.up = false
	case n == 1 && !h.up:
		s.startHost(h, s.now)
	case n == 2 && s.now > s.partitionEnd:
		s.startPartition()
	case n < 40:
		s.updateView(h)
	default:
		if h.up {
			key := fmt.Sprint(max(0, s.keyCount-s.rng.IntN(30)))
			if s.rng.IntN(4) == 0 {
				s.keyCount++
			}
			s.submit(key)
		}
	}
}

// startPartition splits the hosts at random into two sides for up to a minute.
func (s *simulation) startPartition() {
	s.partitionEnd = s.now + time.Duration(s.rng.IntN(60))*time.Second
	for _, h := range s.hosts {
		h.side = s.rng.IntN(2)
	}
}

// upCount returns the number of running hosts.
func (s *simulation) upCount() int {
	n := 0
	for _, h := range s.hosts {
		if h.up {
			n++
		}
	}
	return n
}

// updateView updates which other hosts a host considers lost.
func (s *simulation) updateView(h *simHost) {
	for _, o := range s.hosts {
		p := h.view[o.id]
		p.Lost = !o.up || o.side != h.side && s.now < s.partitionEnd
		h.view[o.id] = p
	}
}

// submit sends a key from a random host to the owner according to its view, and
// counts a run if the owner may run the request.
func (s *simulation) submit(key string) {
	from := s.hosts[s.rng.IntN(len(s.hosts))]
	if !from.up {
		return
	}
	hash := rendez.Hash(key)
	plan := MakePlan(s.now, hash, from.id, s.peersOf(from), defaultWindow)
	owner := s.byID(plan.Owner)
	if owner == nil || !owner.up || owner.side != from.side && s.now < s.partitionEnd {
		return
	}
	plan = MakePlan(s.now, hash, owner.id, s.peersOf(owner), defaultWindow)
	if plan.Owner != owner.id {
		return
	}
	decision, _ := owner.ledger.Begin(s.now, key, 1)
	if decision != Proceed {
		return
	}
	confirmed := 0
	for _, id := range plan.Replicas {
		peer := s.byID(id)
		if !peer.up || peer.side != owner.side && s.now < s.partitionEnd {
			continue
		}
		existing, ok := peer.ledger.Reserve(s.now, key, 1, owner.id, uint64(s.now))
		if existing != nil {
			owner.ledger.MarkUnanswered(s.now, key)
			return
		}
		if ok && !s.hasLostRecords(peer) {
			confirmed++
		}
	}
	if !plan.HasQuorum(confirmed) {
		owner.ledger.MarkUnanswered(s.now, key)
		return
	}
	s.runs[key]++
	s.totalRuns++
	if s.rng.IntN(2) == 0 {
		owner.ledger.Finish(s.now, key, &Answer{Status: 201})
	}
}

func (s *simulation) byID(id uint64) *simHost {
	for _, h := range s.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// hasLostRecords reports whether a host restarted within the window.
func (s *simulation) hasLostRecords(h *simHost) bool {
	return h.started > 0 && s.now-h.started < defaultWindow
}

// peersOf returns the host's view, sorted by ID. RecordsLost is exact, since
// hosts announce it themselves.
func (s *simulation) peersOf(h *simHost) []Peer {
	var out []Peer
	for _, p := range h.view {
		o := s.byID(p.ID)
		p.RecordsLost = s.hasLostRecords(o)
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

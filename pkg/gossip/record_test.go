package gossip

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

func TestFewHostsNeedRecords(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 50, 300} {
		is := is.New(t)
		hosts := hostIDs(n)
		writers := 0
		for _, h := range hosts {
			if NeedsRecord(h, without(hosts, h), nil) {
				writers++
			}
		}
		is.Equal(writers, min(n, RecordsPerGroup))
	}
}

// without returns the hosts other than h.
func without(hosts []uint64, h uint64) []uint64 {
	var out []uint64
	for _, other := range hosts {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

func TestLostRecordsAreReplaced(t *testing.T) {
	is := is.New(t)
	hosts := hostIDs(20)
	recorded := map[uint64]bool{hosts[4]: true, hosts[7]: true, rendez.Hash("dead"): true}
	writers := 0
	for _, h := range hosts {
		if NeedsRecord(h, without(hosts, h), recorded) {
			is.True(!recorded[h])
			writers++
		}
	}
	is.Equal(writers, RecordsPerGroup-2) // The record of a dead host does not count.
}

// TestRecordsWithPartialKnowledge checks that hosts which each know a few others
// write far fewer records than there are hosts, and enough of them.
func TestRecordsWithPartialKnowledge(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	hosts := hostIDs(300)
	recorded := map[uint64]bool{}
	for _, h := range hosts {
		var known []uint64
		for _, i := range rng.Perm(len(hosts))[:40] {
			known = append(known, hosts[i])
		}
		if NeedsRecord(h, without(known, h), nil) {
			recorded[h] = true
		}
	}
	is.True(len(recorded) >= RecordsPerGroup)
	is.True(len(recorded) < len(hosts)/8)
}

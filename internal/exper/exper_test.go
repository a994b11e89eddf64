package exper

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestPromisesHoldUnderEverything runs the experiment with all faults, with
// fewer flows, on seeds of its own.
func TestPromisesHoldUnderEverything(t *testing.T) {
	for seed := uint64(101); seed <= 104; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f, r, _ := plans("everything", DefaultSize)
			f.rate = 60
			x := figures(seed, f, r, newOwnerNet, newDesks)
			is.Equal(x.BrokenFlowsPlanned, 0)
			is.Equal(x.CrossService, 0)
			is.Equal(x.Duplicated, 0)
			is.Equal(x.AnsweredWithoutRun, 0)
			is.Equal(x.FalseNotRun, 0)
			is.Equal(x.FalseAlarms, 0)
			is.True(x.Requests > 10_000 && x.Flows > 1000)
		})
	}
}

func TestBaselinesCanFail(t *testing.T) {
	is := is.New(t)
	f, r, _ := plans("churn", DefaultSize)
	f.rate = 60
	x := figures(1, f, r, newHashNet, newHashes)
	is.True(x.BrokenFlowsPlanned > 0)
	is.True(x.Duplicated > 0)
}

func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	f, r, _ := plans("cut", DefaultSize)
	f.rate = 60
	is.Equal(figures(5, f, r, newOwnerNet, newDesks), figures(5, f, r, newOwnerNet, newDesks))
}

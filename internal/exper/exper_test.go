package exper

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestGuaranteesHoldUnderAllFaults injects all faults on several seeds. It guards
// against planned changes that break flows, datagrams that reach a server of
// another service, keyed requests that run twice, are lost or are wrongly
// reported as not run, and responsive flows that are ended as unresponsive. The
// rate of new flows is reduced.
func TestGuaranteesHoldUnderAllFaults(t *testing.T) {
	for seed := uint64(101); seed <= 104; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			f, r, _ := experimentPlans("everything", DefaultSize)
			f.openRate = 60
			m := runStrategy(seed, f, r, newOwnerBalancer, newDispatcherBalancer)
			is.Equal(m.BrokenFlowsPlanned, 0)
			is.Equal(m.CrossService, 0)
			is.Equal(m.Duplicated, 0)
			is.Equal(m.AnsweredWithoutRun, 0)
			is.Equal(m.FalseNotRun, 0)
			is.Equal(m.FalseAlarms, 0)
			is.True(m.Requests > 10_000 && m.Flows > 1000)
		})
	}
}

// TestBaselinesViolateGuarantees guards against an experiment that injects no
// effective faults: the hash baseline must break flows and run requests twice.
func TestBaselinesViolateGuarantees(t *testing.T) {
	is := is.New(t)
	f, r, _ := experimentPlans("churn", DefaultSize)
	f.openRate = 60
	m := runStrategy(1, f, r, newHashBalancer, newImmediateHash)
	is.True(m.BrokenFlowsPlanned > 0)
	is.True(m.Duplicated > 0)
}

// TestRunsAreReproducible guards against real time or unseeded randomness in the
// simulations.
func TestRunsAreReproducible(t *testing.T) {
	is := is.New(t)
	f, r, _ := experimentPlans("cut", DefaultSize)
	f.openRate = 60
	is.Equal(runStrategy(5, f, r, newOwnerBalancer, newDispatcherBalancer), runStrategy(5, f, r, newOwnerBalancer, newDispatcherBalancer))
}

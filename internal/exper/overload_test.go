package exper

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// smallOverload is a size at which the overload experiment is quick.
var smallOverload = Size{Hosts: 3, Servers: 12, Slots: 2}

// TestOverloadPolicies guards against an experiment that shows no difference
// between the policies: at twice the load, newest first misses urgent requests and
// treats all callers alike, and at 8 times strict priority starves a class.
func TestOverloadPolicies(t *testing.T) {
	is := is.New(t)
	byPolicy := map[float64]map[string]OverloadMetrics{}
	for _, m := range RunOverload(smallOverload, 1) {
		if byPolicy[m.Load] == nil {
			byPolicy[m.Load] = map[string]OverloadMetrics{}
		}
		byPolicy[m.Load][m.Policy] = m
	}
	twice, eight := byPolicy[2], byPolicy[8]
	is.True(twice["lagoonramp"].ClassInTime["bookings"] > 0.98)
	is.True(twice["newestFirst"].ClassInTime["bookings"] < 0.6)
	is.True(twice["lagoonramp"].Jain > 2*twice["newestFirst"].Jain)
	is.True(twice["lagoonramp"].CallerInTime["ordinary"] > twice["strictPriority"].CallerInTime["ordinary"])
	is.True(eight["lagoonramp"].ClassInTime["reads"] > 0)
	is.Equal(eight["strictPriority"].ClassInTime["reads"], 0.0)
}

// TestOverloadIsReproducible guards against real time or unseeded randomness.
func TestOverloadIsReproducible(t *testing.T) {
	is := is.New(t)
	var tables [2]bytes.Buffer
	for i := range tables {
		WriteOverloadTable(&tables[i], RunOverloadSeeds(smallOverload, 7, 2, 2))
	}
	is.Equal(tables[0].String(), tables[1].String())
}

// TestJainIndex checks the index against allocations with known indices.
func TestJainIndex(t *testing.T) {
	is := is.New(t)
	is.Equal(jainIndex([]overloadCaller{{sent: 2, inTime: 2}, {sent: 90, inTime: 4}, {sent: 50, inTime: 4}}), 1.0)
	is.Equal(jainIndex([]overloadCaller{{sent: 8, inTime: 8}, {sent: 8, inTime: 0}}), 0.5)
}

package spread_test

import (
	"fmt"

	"lagoonramp.org/lagoonramp/pkg/spread"
)

// A host tells eight others by two delegates, each of which tells the rest of
// its part.
func ExampleRange_Split() {
	hosts := []uint64{10, 20, 30, 40, 60, 70, 80, 90}
	first := func(some []uint64) uint64 { return some[0] }
	for _, d := range spread.FullRange.Split(50, hosts, 2, first) {
		rest := d.Range.Split(d.Host, hosts, 4, first)
		fmt.Println(d.Host, len(rest))
	}
	// Output:
	// 10 3
	// 60 3
}

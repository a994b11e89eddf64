package gossip_test

import (
	"fmt"

	"lagoonramp.org/lagoonramp/pkg/gossip"
)

// Host 50 broadcasts a message to the eight others through two delegates, each
// of which forwards it to the other hosts of its range.
func ExampleRange_Split() {
	hosts := []uint64{10, 20, 30, 40, 60, 70, 80, 90}
	first := func(candidates []uint64) uint64 { return candidates[0] }
	for _, d := range gossip.FullRange.Split(50, hosts, 2, first) {
		rest := d.Range.Split(d.Host, hosts, 4, first)
		fmt.Println(d.Host, len(rest))
	}
	// Output:
	// 10 3
	// 60 3
}

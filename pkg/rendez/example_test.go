package rendez_test

import (
	"fmt"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// The owner of a key follows from the list of nodes alone.
func ExampleFirst() {
	names := []string{"host-1", "host-2", "host-3"}
	var nodes []uint64
	for _, n := range names {
		nodes = append(nodes, rendez.Hash(n))
	}
	key := rendez.Hash("a caller")
	owner := rendez.Owner(key, nodes)
	var order [3]int
	top := rendez.Top(key, nodes, 3, order[:0])
	fmt.Println("the owner ranks first:", top[0] == owner)
	// Output: the owner ranks first: true
}

package turns_test

import (
	"fmt"
	"time"

	"lagoonramp.org/lagoonramp/pkg/turns"
)

// Two of three hosts are asked to stop. The second one waits for the first.
func ExampleQueue() {
	ready := turns.Report{ReadyFor: time.Hour}
	leaving := turns.Report{ReadyFor: time.Hour, AskedFor: time.Second}
	first, second := turns.NewQueue(1, turns.Settings{}), turns.NewQueue(2, turns.Settings{})
	now := time.Minute
	for _, q := range []*turns.Queue{first, second} {
		q.Heard(now, 3, ready)
	}
	first.Heard(now, 2, ready)
	second.Heard(now, 1, leaving)
	fmt.Println(first.MayLeave(now, now-time.Second), second.MayLeave(now, now))
	// Output: true false
}

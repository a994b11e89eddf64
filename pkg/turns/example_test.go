package turns_test

import (
	"fmt"
	"time"

	"lagoonramp.org/lagoonramp/pkg/turns"
)

// Two of three hosts are asked to stop: the second one waits for the first.
func ExampleQueue() {
	ready := turns.Report{ReadyFor: time.Hour}
	leaving := turns.Report{ReadyFor: time.Hour, SinceStopRequest: time.Second}
	first, second := turns.NewCoordinator(1, turns.Settings{}), turns.NewCoordinator(2, turns.Settings{})
	now := time.Minute
	for _, q := range []*turns.Coordinator{first, second} {
		q.RecordReport(now, 3, ready)
	}
	first.RecordReport(now, 2, ready)
	second.RecordReport(now, 1, leaving)
	fmt.Println(first.MayBecomeUnready(now, now-time.Second), second.MayBecomeUnready(now, now))
	// Output: true false
}

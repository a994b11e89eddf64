package drain_test

import (
	"fmt"
	"time"

	"lagoonramp.org/lagoonramp/pkg/drain"
)

// Two of three hosts are asked to stop. The second one waits for the first.
func ExampleCoordinator() {
	ready := drain.Report{ReadyFor: time.Hour}
	leaving := drain.Report{ReadyFor: time.Hour, SinceStopRequest: time.Second}
	first, second := drain.NewCoordinator(1, drain.Settings{}), drain.NewCoordinator(2, drain.Settings{})
	now := time.Minute
	for _, c := range []*drain.Coordinator{first, second} {
		c.RecordReport(now, 3, ready)
	}
	first.RecordReport(now, 2, ready)
	second.RecordReport(now, 1, leaving)
	fmt.Println(first.MayBecomeUnready(now, now-time.Second), second.MayBecomeUnready(now, now))
	// Output: true false
}

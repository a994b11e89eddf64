package warmup_test

import (
	"fmt"

	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// A server that takes 10 flows per second when it is cold may get 20 in one
// second. Of the 180 hosts of its data centre, 15 feed it.
func ExampleSettings_Share() {
	s := warmup.Settings{Overage: 1.5, Slack: 5}
	feeders, spacing := s.Share(10, 180)
	fmt.Println(feeders, spacing)
	// Output: 15 1.578947369s
}

package demo

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMarkedDemoMeetsGuarantees runs the scenario on the path where packets
// carry marks for a short time, and checks that no guarantee is violated, such
// as that no planned change breaks a flow.
func TestMarkedDemoMeetsGuarantees(t *testing.T) {
	is := is.New(t)
	r, err := RunMarked(context.Background(), Settings{Duration: 8 * time.Second})
	is.NoErr(err)
	if violations := r.Violations(); len(violations) > 0 {
		t.Fatal(violations, r.Breaks)
	}
}

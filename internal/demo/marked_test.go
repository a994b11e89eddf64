package demo

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMarkedDemoKeepsItsPromises runs the demo of the path with marks for a
// short time.
func TestMarkedDemoKeepsItsPromises(t *testing.T) {
	is := is.New(t)
	r, err := RunMarked(context.Background(), Settings{Duration: 8 * time.Second})
	is.NoErr(err)
	if broken := r.Violations(); len(broken) > 0 {
		t.Fatal(broken, r.Breaks)
	}
}

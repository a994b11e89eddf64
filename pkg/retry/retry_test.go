package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestMay(t *testing.T) {
	cases := []struct {
		method  string
		outcome Outcome
		want    bool
	}{
		{"GET", Unknown, true},
		{"GET", NotRun, true},
		{"GET", Answered, false},
		{"POST", Unknown, false},
		{"POST", NotRun, true},
		{"PATCH", Unknown, false},
		{"PUT", Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.method+" "+string(c.outcome), func(t *testing.T) {
			is := is.New(t)
			is.Equal(Allowed(c.method, c.outcome), c.want)
		})
	}
}

func TestRetriesStayAShareOfRequests(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Settings{})
	retries := 0
	for range 1000 {
		b.AddRequest()
		for range 3 { // Every request fails three times.
			if b.TakeRetry() {
				retries++
			}
		}
	}
	is.True(retries <= 20+100)
}

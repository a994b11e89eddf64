package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func request(caller uint64, kind string, long bool) *Request {
	return &Request{Caller: caller, Kind: kind, Long: long, Deadline: time.Hour}
}

// A caller with 100 waiting requests must not delay the request of another.
func TestCallersAreServedInRoundRobin(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	for range 100 {
		is.Equal(q.Offer(0, request(1, "GET /", false)), Accepted)
	}
	is.Equal(q.Offer(0, request(2, "GET /", false)), Accepted)
	first, _ := q.Next(0)
	second, _ := q.Next(0)
	is.Equal(first.Caller, uint64(1))
	is.Equal(second.Caller, uint64(2)) // It does not wait for the other 99.
}

// Once the queue is half full, further requests of a caller that has used up its
// share are refused, so that other callers can still queue theirs.
func TestCallerLimit(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{MaxWaiting: 100}, NewDurationTracker())
	refused := 0
	for range 200 {
		if q.Offer(0, request(1, "GET /", false)) != Accepted {
			refused++
		}
	}
	is.Equal(refused, 150)
	is.Equal(q.Offer(0, request(2, "GET /", false)), Accepted)
}

// Long requests use at most half of the slots, so that a short request starts
// although more long ones wait.
func TestLongRequestLimit(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	q.SetSlots(6)
	for range 10 {
		q.Offer(0, request(1, "GET /export", true))
	}
	started := 0
	for range 6 {
		if r, _ := q.Next(0); r != nil {
			started++
		}
	}
	is.Equal(started, 3)
	q.Offer(0, request(2, "GET /status", false))
	r, _ := q.Next(0)
	is.Equal(r.Kind, "GET /status")
}

// Long requests must not starve although short ones take precedence.
func TestLongRequestsAreNotStarved(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	q.SetSlots(4)
	for range 50 {
		q.Offer(0, request(1, "GET /status", false))
	}
	q.Offer(0, request(2, "GET /export", true))
	q.Next(0)
	r, _ := q.Next(0)
	is.True(r.Long)
}

func TestDeadlines(t *testing.T) {
	is := is.New(t)
	durations := NewDurationTracker()
	q := NewQueue(Settings{}, durations)
	expired := request(1, "GET /", false)
	expired.Deadline = time.Second
	is.Equal(q.Offer(2*time.Second, expired), TooLate)
	for range 10 {
		durations.Record("GET /slow", 10*time.Second)
	}
	slow := request(1, "GET /slow", false)
	slow.Deadline = 5 * time.Second
	is.Equal(q.Offer(0, slow), TooLate) // Its expected duration exceeds the deadline.
	feasible := request(1, "GET /", false)
	feasible.Deadline = time.Minute
	is.Equal(q.Offer(0, feasible), Accepted)
	is.Equal(len(q.Expire(2*time.Minute)), 1)
	r, _ := q.Next(2 * time.Minute)
	is.True(r == nil)
	is.Equal(q.Len(), 0)
}

func TestWithdraw(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	a, b := request(1, "GET /", false), request(1, "GET /", false)
	q.Offer(0, a)
	q.Offer(0, b)
	q.Withdraw(a)
	q.Withdraw(a)
	r, _ := q.Next(0)
	is.True(r == b)
	q.Withdraw(b) // It is running.
	is.Equal(q.Len(), 0)
}

func TestClassification(t *testing.T) {
	is := is.New(t)
	durations := NewDurationTracker()
	for i := range 300 {
		durations.Record("GET /status", 10*time.Millisecond)
		if i%30 == 0 {
			durations.Record("GET /export", 500*time.Millisecond)
		}
	}
	long, known := durations.IsLong("GET /export")
	is.True(long && known)
	long, known = durations.IsLong("GET /status")
	is.True(!long && known)
	_, known = durations.IsLong("GET /new")
	is.True(!known)
}

func TestKind(t *testing.T) {
	is := is.New(t)
	is.Equal(Kind("GET", "/entries/7781/sheet"), "GET /entries/*/sheet")
	is.Equal(Kind("POST", "/"), "POST /")
}

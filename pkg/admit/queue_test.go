package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func request(caller uint64, kind string, long bool) *Request {
	return &Request{Caller: caller, Kind: kind, Long: long, Deadline: time.Hour}
}

func TestCallersTakeTurns(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	for range 100 {
		is.Equal(q.Offer(0, request(1, "GET /", false)), Accepted)
	}
	is.Equal(q.Offer(0, request(2, "GET /", false)), Accepted)
	first, _ := q.Next(0)
	second, _ := q.Next(0)
	is.Equal(first.Caller, uint64(1))
	is.Equal(second.Caller, uint64(2)) // The flood does not stand before it.
}

func TestFloodIsRefusedBeforeOthers(t *testing.T) {
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

func TestLongKeepsToItsShare(t *testing.T) {
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

func TestLongIsNotStarved(t *testing.T) {
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
	l := NewDurationTracker()
	q := NewQueue(Settings{}, l)
	late := request(1, "GET /", false)
	late.Deadline = time.Second
	is.Equal(q.Offer(2*time.Second, late), TooLate)
	for range 10 {
		l.Record("GET /slow", 10*time.Second)
	}
	slow := request(1, "GET /slow", false)
	slow.Deadline = 5 * time.Second
	is.Equal(q.Offer(0, slow), TooLate) // It could not end in time.
	soon := request(1, "GET /", false)
	soon.Deadline = time.Minute
	is.Equal(q.Offer(0, soon), Accepted)
	is.Equal(len(q.Expire(2*time.Minute)), 1)
	r, _ := q.Next(2 * time.Minute)
	is.True(r == nil)
	is.Equal(q.Len(), 0)
}

func TestWithdrawnRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Settings{}, NewDurationTracker())
	a, b := request(1, "GET /", false), request(1, "GET /", false)
	q.Offer(0, a)
	q.Offer(0, b)
	q.Withdraw(a)
	q.Withdraw(a)
	r, _ := q.Next(0)
	is.True(r == b)
	q.Withdraw(b) // It runs already.
	is.Equal(q.Len(), 0)
}

func TestLearnerTellsLongFromShort(t *testing.T) {
	is := is.New(t)
	l := NewDurationTracker()
	for i := range 300 {
		l.Record("GET /status", 10*time.Millisecond)
		if i%30 == 0 {
			l.Record("GET /export", 500*time.Millisecond)
		}
	}
	long, known := l.IsLong("GET /export")
	is.True(long && known)
	long, known = l.IsLong("GET /status")
	is.True(!long && known)
	_, known = l.IsLong("GET /new")
	is.True(!known)
}

func TestKind(t *testing.T) {
	is := is.New(t)
	is.Equal(Kind("GET", "/entries/7781/sheet"), "GET /entries/*/sheet")
	is.Equal(Kind("POST", "/"), "POST /")
}

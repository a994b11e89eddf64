package admit

import "time"

// Request is a request that wants to run.
type Request struct {
	// Caller is the hash of the caller's address.
	Caller uint64
	// Kind names the kind of request, as Kind returns it.
	Kind string
	// Long tells that the request is taken for a long one.
	Long bool
	// Deadline is when the caller gives up.
	Deadline time.Duration
	// Arrived is when the request was offered.
	Arrived time.Duration
	// Value is the embedder's.
	Value any
	// gone marks a request that was taken back.
	gone bool
}

// Refusal says why a request is not run.
type Refusal uint8

// The refusals.
const (
	// Accepted is no refusal.
	Accepted Refusal = iota
	// QueueFull: too many requests wait.
	QueueFull
	// CallerFull: too many requests of this caller wait.
	CallerFull
	// TooLate: the deadline has passed or cannot be met.
	TooLate
)

var refusalNames = [...]string{"accepted", "queueFull", "callerFull", "tooLate"}

// String returns the refusal's name.
func (r Refusal) String() string { return refusalNames[r] }

// Settings of a Queue. The zero value is usable.
type Settings struct {
	// Limit bounds the requests that wait. The default is 1,000.
	MaxWaiting int
	// CallerShare bounds the share of the limit that one caller may take
	// while the queue is more than half full. The default is 0.25.
	MaxCallerRatio float64
	// LongShare bounds the share of the slots that long requests hold. The
	// default is 0.5.
	MaxLongRatio float64
}

const (
	defaultLimit       = 1000
	defaultCallerShare = 0.25
	defaultLongShare   = 0.5
)

// Queue holds the requests of one service that wait at one host.
type Queue struct {
	set     Settings
	learner *DurationTracker
	short   lane
	long    lane
	// running counts requests that hold slots.
	running, runningLong int
	slots                int
	// pace is the smoothed time between two starts while requests wait.
	pace      time.Duration
	lastStart time.Duration
}

// NewQueue returns an empty queue. The learner may be shared with others of
// the same goroutine or lock.
func NewQueue(set Settings, learner *DurationTracker) *Queue {
	if set.MaxWaiting == 0 {
		set.MaxWaiting = defaultLimit
	}
	if set.MaxCallerRatio == 0 {
		set.MaxCallerRatio = defaultCallerShare
	}
	if set.MaxLongRatio == 0 {
		set.MaxLongRatio = defaultLongShare
	}
	return &Queue{set: set, learner: learner, short: newLane(), long: newLane()}
}

// SetSlots tells how many slots the host may use now.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Len returns how many requests wait.
func (q *Queue) Len() int { return q.short.count + q.long.count }

// ShortLen returns how many short requests wait.
func (q *Queue) ShortLen() int { return q.short.count }

// Running returns how many requests hold slots, and how many of them are
// long.
func (q *Queue) Running() (all, long int) { return q.running, q.runningLong }

// MaxLong returns how many long requests may hold slots at a time.
func (q *Queue) MaxRunningLong() int {
	return max(1, int(q.set.MaxLongRatio*float64(q.slots)))
}

// Wait estimates how long a request that arrives now would wait.
func (q *Queue) EstimateWait(long bool) time.Duration {
	ahead := q.short.count
	if long {
		ahead = q.long.count
	}
	if ahead == 0 {
		return 0
	}
	per := q.pace
	if long && q.MaxRunningLong() > 0 {
		per = q.learner.LongThreshold() / time.Duration(q.MaxRunningLong())
	}
	return time.Duration(ahead) * per
}

// Offer takes a request into the queue, or refuses it. A refused request was
// not run.
func (q *Queue) Offer(now time.Duration, r *Request) Refusal {
	r.Arrived = now
	l := q.lane(r.Long)
	switch {
	case r.Deadline <= now:
		return TooLate
	case q.Len() >= q.set.MaxWaiting:
		return QueueFull
	case q.crowded(r.Caller, l):
		return CallerFull
	case now+q.EstimateWait(r.Long)+q.learner.ExpectedDuration(r.Kind) > r.Deadline:
		return TooLate
	}
	l.push(r)
	return Accepted
}

func (q *Queue) lane(long bool) *lane {
	if long {
		return &q.long
	}
	return &q.short
}

func (q *Queue) crowded(caller uint64, l *lane) bool {
	if q.Len()*2 < q.set.MaxWaiting {
		return false
	}
	return float64(l.waiting(caller)) >= q.set.MaxCallerRatio*float64(q.set.MaxWaiting)
}

// Next returns the request to run now and removes it, or nil. The caller has
// a slot for it. The late are requests whose deadline cannot be met any more;
// they were not run.
func (q *Queue) Next(now time.Duration) (r *Request, late []*Request) {
	for _, l := range q.order() {
		for {
			r := l.pop()
			if r == nil {
				break
			}
			if now+q.learner.ExpectedDuration(r.Kind)/2 > r.Deadline {
				late = append(late, r)
				continue
			}
			q.started(now, r)
			return r, late
		}
	}
	return nil, late
}

// order returns the lanes to take from: the short ones first, unless no long
// request runs, and no long ones above their share.
func (q *Queue) order() []*lane {
	switch {
	case q.runningLong >= q.MaxRunningLong():
		return []*lane{&q.short}
	case q.runningLong == 0 && q.long.count > 0 && q.running > 0:
		return []*lane{&q.long, &q.short}
	}
	return []*lane{&q.short, &q.long}
}

func (q *Queue) started(now time.Duration, r *Request) {
	q.running++
	if r.Long {
		q.runningLong++
	}
	if q.Len() > 0 && q.lastStart > 0 {
		gap := min(now-q.lastStart, time.Second)
		q.pace += (gap - q.pace) / 16
	}
	q.lastStart = now
}

// Withdraw takes a waiting request back, for example when its caller left.
func (q *Queue) Withdraw(r *Request) {
	if !r.gone {
		q.lane(r.Long).withdraw(r)
	}
}

// Expire removes and returns the waiting requests whose deadline has passed;
// they were not run.
func (q *Queue) Expire(now time.Duration) []*Request {
	return append(q.short.expire(now), q.long.expire(now)...)
}

// Done notes that a request no longer holds a slot. Took is how long it ran, 0
// if it was not run.
func (q *Queue) Finish(r *Request, took time.Duration) {
	q.running--
	if r.Long {
		q.runningLong--
	}
	if took > 0 {
		q.learner.Record(r.Kind, took)
	}
}

// Outgrown makes a running request count as long, once it runs longer than
// the learner's threshold.
func (q *Queue) MarkLong(r *Request) {
	if !r.Long {
		r.Long = true
		q.runningLong++
	}
}

package admit

import "time"

// Request is a request of a caller to a service.
type Request struct {
	// Caller is the hash of the caller's address.
	Caller uint64
	// Kind is the kind of the request, see the function Kind.
	Kind string
	// Long is whether the request is in the class of long requests.
	Long bool
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Duration
	// Arrived is when the request was offered to the queue.
	Arrived time.Duration
	// Value is for use by the application.
	Value any
	// removed is whether the request has left the queue, because it started,
	// expired or was withdrawn.
	removed bool
}

// Refusal is the reason why a request is refused.
type Refusal uint8

// The reasons.
const (
	// Accepted means that the request is not refused.
	Accepted Refusal = iota
	// QueueFull means that the maximum number of requests wait.
	QueueFull
	// CallerFull means that the maximum number of requests of this caller wait.
	CallerFull
	// TooLate means that the deadline has passed or cannot be met.
	TooLate
)

var refusalNames = [...]string{"accepted", "queueFull", "callerFull", "tooLate"}

// String returns the name of the reason.
func (r Refusal) String() string { return refusalNames[r] }

// Settings configures a Queue. The zero value selects the defaults.
type Settings struct {
	// MaxWaiting is the maximum number of waiting requests. The default is 1,000.
	MaxWaiting int
	// MaxCallerRatio is the maximum fraction of MaxWaiting that the waiting
	// requests of one caller and class may reach once the queue is half full.
	// The default is 0.25.
	MaxCallerRatio float64
	// MaxLongRatio is the maximum fraction of the slots that long requests use.
	// The default is 0.5.
	MaxLongRatio float64
}

const (
	defaultMaxWaiting     = 1000
	defaultMaxCallerRatio = 0.25
	defaultMaxLongRatio   = 0.5
)

// Queue holds the waiting requests of one service at one host.
type Queue struct {
	settings  Settings
	durations *DurationTracker
	short     classQueue
	long      classQueue
	// running and runningLong count the requests that use a slot.
	running, runningLong int
	slots                int
	// startInterval is a moving average of the time between two starts while
	// requests wait.
	startInterval time.Duration
	lastStart     time.Duration
}

// NewQueue returns an empty queue. Queues may share a DurationTracker if they
// are used by the same goroutine or guarded by the same lock.
func NewQueue(settings Settings, durations *DurationTracker) *Queue {
	if settings.MaxWaiting == 0 {
		settings.MaxWaiting = defaultMaxWaiting
	}
	if settings.MaxCallerRatio == 0 {
		settings.MaxCallerRatio = defaultMaxCallerRatio
	}
	if settings.MaxLongRatio == 0 {
		settings.MaxLongRatio = defaultMaxLongRatio
	}
	return &Queue{settings: settings, durations: durations, short: newClassQueue(), long: newClassQueue()}
}

// SetSlots sets the number of slots that the host may use.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.short.length + q.long.length }

// ShortLen returns the number of waiting short requests.
func (q *Queue) ShortLen() int { return q.short.length }

// Running returns the number of requests that use a slot, and how many of them
// are long.
func (q *Queue) Running() (all, long int) { return q.running, q.runningLong }

// MaxRunningLong returns the maximum number of long requests that use a slot at
// the same time. It is at least 1.
func (q *Queue) MaxRunningLong() int {
	return max(1, int(q.settings.MaxLongRatio*float64(q.slots)))
}

// EstimateWait returns the estimated queueing delay of a request that arrives
// now. The estimate for a long request assumes that each long request before it
// runs for DurationTracker.LongThreshold.
func (q *Queue) EstimateWait(long bool) time.Duration {
	ahead := q.short.length
	if long {
		ahead = q.long.length
	}
	if ahead == 0 {
		return 0
	}
	interval := q.startInterval
	if long && q.MaxRunningLong() > 0 {
		interval = q.durations.LongThreshold() / time.Duration(q.MaxRunningLong())
	}
	return time.Duration(ahead) * interval
}

// Offer adds a request to the queue and returns Accepted, or returns the reason
// why it refuses the request. A refused request has not been run.
func (q *Queue) Offer(now time.Duration, r *Request) Refusal {
	r.Arrived = now
	class := q.classQueue(r.Long)
	switch {
	case r.Deadline <= now:
		return TooLate
	case q.Len() >= q.settings.MaxWaiting:
		return QueueFull
	case q.exceedsCallerLimit(r.Caller, class):
		return CallerFull
	case now+q.EstimateWait(r.Long)+q.durations.ExpectedDuration(r.Kind) > r.Deadline:
		return TooLate
	}
	class.push(r)
	return Accepted
}

// classQueue returns the queue of the long or of the short requests.
func (q *Queue) classQueue(long bool) *classQueue {
	if long {
		return &q.long
	}
	return &q.short
}

// exceedsCallerLimit reports whether the queue is at least half full and has
// the maximum number of waiting requests of a caller in a class.
func (q *Queue) exceedsCallerLimit(caller uint64, class *classQueue) bool {
	if q.Len()*2 < q.settings.MaxWaiting {
		return false
	}
	return float64(class.waitingFrom(caller)) >= q.settings.MaxCallerRatio*float64(q.settings.MaxWaiting)
}

// Next removes and returns the next request to run, or returns nil if there is
// none. It must be called only when a slot is free. Requests whose deadline is
// nearer than half of their expected duration are removed too and returned in
// tooLate; they have not been run.
func (q *Queue) Next(now time.Duration) (r *Request, tooLate []*Request) {
	for _, class := range q.popOrder() {
		for {
			r := class.pop()
			if r == nil {
				break
			}
			if now+q.durations.ExpectedDuration(r.Kind)/2 > r.Deadline {
				tooLate = append(tooLate, r)
				continue
			}
			q.recordStart(now, r)
			return r, tooLate
		}
	}
	return nil, tooLate
}

// popOrder returns the queues to pop from, in order of precedence. Short
// requests come first. Long requests come first only if none of them runs but
// one waits and some short request runs, so that they are not starved. They are
// left out while MaxRunningLong of them run.
func (q *Queue) popOrder() []*classQueue {
	switch {
	case q.runningLong >= q.MaxRunningLong():
		return []*classQueue{&q.short}
	case q.runningLong == 0 && q.long.length > 0 && q.running > 0:
		return []*classQueue{&q.long, &q.short}
	}
	return []*classQueue{&q.short, &q.long}
}

// recordStart counts a request as running and updates startInterval, in which
// intervals over 1 s count as 1 s.
func (q *Queue) recordStart(now time.Duration, r *Request) {
	q.running++
	if r.Long {
		q.runningLong++
	}
	if q.Len() > 0 && q.lastStart > 0 {
		interval := min(now-q.lastStart, time.Second)
		q.startInterval += (interval - q.startInterval) / 16
	}
	q.lastStart = now
}

// Withdraw removes a waiting request, for example after its caller has
// disconnected. It does nothing if the request no longer waits.
func (q *Queue) Withdraw(r *Request) {
	if !r.removed {
		q.classQueue(r.Long).withdraw(r)
	}
}

// Expire removes and returns the waiting requests whose deadline has passed.
// They have not been run.
func (q *Queue) Expire(now time.Duration) []*Request {
	return append(q.short.expire(now), q.long.expire(now)...)
}

// Finish records that a request no longer uses its slot. The duration is the
// time that it ran, or 0 if it was not run.
func (q *Queue) Finish(r *Request, duration time.Duration) {
	q.running--
	if r.Long {
		q.runningLong--
	}
	if duration > 0 {
		q.durations.Record(r.Kind, duration)
	}
}

// MarkLong moves a running request to the class of long requests. It is for a
// short request that has run longer than DurationTracker.LongThreshold.
func (q *Queue) MarkLong(r *Request) {
	if !r.Long {
		r.Long = true
		q.runningLong++
	}
}

package front

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/retry"
)

const (
	// reserveTimeout bounds the wait for the hosts at which a key is reserved.
	reserveTimeout = 500 * time.Millisecond
	// ownerRetry is the pause before an owner that cannot be reached is looked
	// up again.
	ownerRetry = 200 * time.Millisecond
	// The headers of a request that one host passes to another.
	uriHeader    = "Lagoonramp-Uri"
	callerHeader = "Lagoonramp-Caller"
	hopsHeader   = "Lagoonramp-Hops"
	followHeader = "Lagoonramp-Follow"
	maxRunHops   = 2

	// RunPath is where a host takes requests that another host received.
	RunPath = "/peer/run/"
	// ReservePath, ReleasePath and HandoverPath are where a host takes what
	// others say of keys.
	ReservePath  = "/peer/once/reserve"
	ReleasePath  = "/peer/once/release"
	HandoverPath = "/peer/once/handover"
)

// Cluster is what is known of the data centre's hosts.
type Cluster interface {
	// Self returns this host's ID.
	Self() uint64
	// Peers returns the hosts, self included, with times since the epoch.
	Peers(epoch time.Time) []once.Peer
	// Forgot reports whether this host was restarted within the window.
	RecordsLost() bool
	// Address returns a host's address for HTTP requests.
	Address(host uint64) (string, bool)
	// Sign tags a request to another host.
	Sign(r *http.Request)
}

// Once keeps the keys of non-idempotent requests, for all services of a host.
type Deduplicator struct {
	cluster  Cluster
	client   *http.Client
	epoch    time.Time
	run      atomic.Uint64
	mu       sync.Mutex
	ledger   *once.Ledger
	services atomic.Pointer[map[string]*Service]
}

// NewOnce returns an empty keeper of keys. The runs of a host are told apart
// by start, which must differ from those of its former processes.
func NewDeduplicator(c Cluster, start uint64) *Deduplicator {
	o := &Deduplicator{
		cluster: c,
		epoch:   time.Now(),
		ledger:  once.NewLedger(c.Self(), once.Settings{}),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout / 4}).DialContext,
			MaxIdleConnsPerHost: idlePerServer,
			IdleConnTimeout:     keepIdle,
			DisableCompression:  true,
		}},
	}
	o.run.Store(start)
	o.services.Store(&map[string]*Service{})
	return o
}

// SetServices names the services whose requests other hosts may pass here.
func (o *Deduplicator) SetServices(m map[string]*Service) { o.services.Store(&m) }

// Window returns how long keys are kept.
func (o *Deduplicator) Window() time.Duration { return o.ledger.Window() }

func (o *Deduplicator) now() time.Duration { return time.Since(o.epoch) }

// reasonUnsure is what a caller is told when it cannot be known whether the
// request was run before.
const reasonUnsure = "it cannot be known whether the request was run"

// serve runs a keyed request here or passes it to the key's owner.
func (o *Deduplicator) serve(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
	hash := rendez.Hash(key)
	hops, _ := strconv.Atoi(r.Header.Get(hopsHeader))
	follow := r.Header.Get(followHeader) != ""
	r.Header.Del(hopsHeader)
	r.Header.Del(followHeader)
	if follow {
		o.follow(x, w, r, key)
		return
	}
	body := newReplay(r)
	for time.Now().Before(x.deadline) {
		source, kept := body.try()
		if !kept {
			break
		}
		r.Body = source
		plan := once.MakePlan(o.now(), hash, o.cluster.Self(), o.cluster.Peers(o.epoch), o.Window())
		switch {
		case plan.Owner == o.cluster.Self():
			o.lead(x, w, r, key, plan)
			return
		case plan.Owner == 0 || hops >= maxRunHops:
			x.unsure(w, reasonUnsure)
			return
		}
		delivered, err := o.pass(x, w, r, plan.Owner, hops+1, false)
		if err == nil {
			return
		}
		if delivered {
			x.unsure(w, "the host that runs the request did not answer")
			return
		}
		pause(r.Context(), ownerRetry)
	}
	x.unsure(w, "the host that runs the request could not be reached")
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// unsure tells the caller that the outcome is unknown.
func (x *exchange) unsure(w http.ResponseWriter, reason string) {
	x.service.desk.count(retry.Unknown)
	x.fail(w, &failure{outcome: retry.Unknown, reason: reason})
}

// printOf identifies a request's method and target.
func printOf(r *http.Request) uint64 { return rendez.Hash(r.Method + " " + r.URL.RequestURI()) }

// lead handles a keyed request as the key's owner.
func (o *Deduplicator) lead(x *exchange, w http.ResponseWriter, r *http.Request, key string, plan once.Plan) {
	print := printOf(r)
	for {
		o.mu.Lock()
		verdict, rec := o.ledger.Begin(o.now(), key, print)
		var wait <-chan struct{}
		if verdict == once.Join {
			wait = rec.Done()
		}
		o.mu.Unlock()
		switch verdict {
		case once.Proceed:
			o.proceed(x, w, r, key, print, plan)
			return
		case once.Join:
			if !x.await(r.Context(), wait) {
				x.unsure(w, "the request still runs")
				return
			}
		default:
			o.conclude(x, w, r, verdict, rec)
			return
		}
	}
}

// await waits for the end of a joined request, at most to the deadline.
func (x *exchange) await(ctx context.Context, ended <-chan struct{}) bool {
	t := time.NewTimer(time.Until(x.deadline))
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// conclude answers a repeat.
func (o *Deduplicator) conclude(x *exchange, w http.ResponseWriter, r *http.Request, v once.Decision, rec *once.Record) {
	switch v {
	case once.Replay:
		x.service.desk.count(retry.Answered)
		replayAnswer(w, rec.Answer)
	case once.Mismatch:
		refuse(w, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	case once.Full:
		refuse(w, http.StatusServiceUnavailable, "too many idempotency keys are kept")
	case once.Forward:
		if _, err := o.pass(x, w, r, rec.Host, 0, true); err != nil {
			x.unsure(w, reasonUnsure)
		}
	default:
		x.unsure(w, reasonUnsure)
	}
}

// follow answers a repeat that was sent here since this host ran the request.
func (o *Deduplicator) follow(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
	print := printOf(r)
	for {
		o.mu.Lock()
		verdict, rec := o.ledger.DecideForwarded(key, print)
		var wait <-chan struct{}
		if verdict == once.Join {
			wait = rec.Done()
		}
		o.mu.Unlock()
		if verdict != once.Join {
			o.conclude(x, w, r, verdict, rec)
			return
		}
		if !x.await(r.Context(), wait) {
			x.unsure(w, "the request still runs")
			return
		}
	}
}

// proceed reserves a new key at other hosts and runs its request, unless one
// of them knows the key or too few of them answer.
func (o *Deduplicator) proceed(x *exchange, w http.ResponseWriter, r *http.Request, key string, print uint64, plan once.Plan) {
	res := reservation{Key: key, Print: print, Host: o.cluster.Self(), Run: o.run.Add(1)}
	got := o.reserve(r.Context(), plan.Replicas, res)
	if got.known == 0 && plan.HasQuorum(got.clean) {
		o.runOnce(x, w, r, res, got.confirmed)
		return
	}
	o.release(res, got.confirmed)
	if got.known != 0 {
		o.knownElsewhere(x, w, r, got.known)
		return
	}
	x.unsure(w, reasonUnsure)
}

// knownElsewhere answers a repeat of a request that another host knows.
func (o *Deduplicator) knownElsewhere(x *exchange, w http.ResponseWriter, r *http.Request, host uint64) {
	if host == o.cluster.Self() {
		x.unsure(w, reasonUnsure) // A former process of this host may have run it.
		return
	}
	if _, err := o.pass(x, w, r, host, 0, true); err != nil {
		x.unsure(w, reasonUnsure)
	}
}

// runOnce runs a reserved request and keeps its outcome. The request goes on
// when its caller leaves.
func (o *Deduplicator) runOnce(x *exchange, w http.ResponseWriter, r *http.Request, res reservation, confirmed []uint64) {
	x.service.detached.Enter()
	defer x.service.detached.Leave()
	rec := &recorder{limit: o.ledger.MaxBody()}
	outcome := retry.Unknown
	defer func() {
		switch outcome {
		case retry.Answered:
			o.mu.Lock()
			o.ledger.Finish(o.now(), res.Key, &rec.answer)
			o.mu.Unlock()
		case retry.NotRun:
			o.release(res, confirmed)
		default:
			o.mu.Lock()
			o.ledger.MarkUnanswered(o.now(), res.Key)
			o.mu.Unlock()
		}
	}()
	outcome = x.serve(w, r.WithContext(context.WithoutCancel(r.Context())), rec)
}

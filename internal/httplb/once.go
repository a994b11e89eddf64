package httplb

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
	// reserveTimeout bounds the wait for the replies of the hosts at which a key
	// is reserved or released.
	reserveTimeout = 500 * time.Millisecond
	// ownerRetryDelay is the delay before the owner of a key is determined again
	// after the previous one could not be reached.
	ownerRetryDelay = 200 * time.Millisecond
	// Headers of a request that one host forwards to another: the request URI,
	// the caller's address, the number of hosts that forwarded the request, and
	// whether it repeats a request of which the receiver has a record.
	uriHeader    = "Lagoonramp-Uri"
	callerHeader = "Lagoonramp-Caller"
	hopsHeader   = "Lagoonramp-Hops"
	repeatHeader = "Lagoonramp-Follow"
	// maxHostHops is the maximum number of times that a request is forwarded
	// between hosts, which may disagree on the owner of a key.
	maxHostHops = 2

	// RunPath is the path prefix of requests with an idempotency key that another
	// host forwards. The name of the service follows it.
	RunPath = "/peer/run/"
	// ReservePath, ReleasePath and HandoverPath are the paths at which other
	// hosts reserve a key, release it and hand over their records.
	ReservePath  = "/peer/once/reserve"
	ReleasePath  = "/peer/once/release"
	HandoverPath = "/peer/once/handover"
)

// Cluster provides the membership of the data centre's hosts.
type Cluster interface {
	// Self returns this host's ID.
	Self() uint64
	// Peers returns the hosts, including this one. Their times are relative to
	// the epoch.
	Peers(epoch time.Time) []once.Peer
	// RecordsLost reports whether this host restarted, or may have restarted,
	// within the retention window of the keys, so that records of its former
	// process are lost.
	RecordsLost() bool
	// Address returns the address of a host for HTTP requests, or false if the
	// host is unknown.
	Address(host uint64) (string, bool)
	// Sign adds the headers that authenticate a request to another host.
	Sign(r *http.Request)
}

// Deduplicator runs each request with an idempotency key at most once. It holds
// the records of the keys for all services of a host and coordinates with the
// other hosts of the data centre; package once makes the decisions.
type Deduplicator struct {
	cluster       Cluster
	client        *http.Client
	epoch         time.Time
	lastAttemptID atomic.Uint64
	mu            sync.Mutex
	ledger        *once.Ledger
	services      atomic.Pointer[map[string]*Service]
}

// NewDeduplicator returns a Deduplicator without records. startID is the base of
// the attempt IDs of this host. They must differ from those of its former
// processes, so startID is usually the start time of the process in nanoseconds.
func NewDeduplicator(c Cluster, startID uint64) *Deduplicator {
	d := &Deduplicator{
		cluster: c,
		epoch:   time.Now(),
		ledger:  once.NewLedger(c.Self(), once.Settings{}),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout / 4}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerServer,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}},
	}
	d.lastAttemptID.Store(startID)
	d.services.Store(&map[string]*Service{})
	return d
}

// SetServices sets the services, by name, for which other hosts may forward
// requests to this host.
func (d *Deduplicator) SetServices(m map[string]*Service) { d.services.Store(&m) }

// Window returns how long the record of a key is kept.
func (d *Deduplicator) Window() time.Duration { return d.ledger.Window() }

func (d *Deduplicator) now() time.Duration { return time.Since(d.epoch) }

// reasonUnknown is the reason given to the caller if the request may have run
// before and must not run again.
const reasonUnknown = "it cannot be known whether the request was run"

// serve runs a request with an idempotency key if this host owns the key, and
// otherwise forwards it to the owner.
func (d *Deduplicator) serve(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
	keyHash := rendez.Hash(key)
	hops, _ := strconv.Atoi(r.Header.Get(hopsHeader))
	isRepeat := r.Header.Get(repeatHeader) != ""
	r.Header.Del(hopsHeader)
	r.Header.Del(repeatHeader)
	if isRepeat {
		d.serveRepeat(x, w, r, key)
		return
	}
	body := newReplayableBody(r)
	for time.Now().Before(x.deadline) {
		src, replayable := body.openTry()
		if !replayable {
			break
		}
		r.Body = src
		plan := once.MakePlan(d.now(), keyHash, d.cluster.Self(), d.cluster.Peers(d.epoch), d.Window())
		switch {
		case plan.Owner == d.cluster.Self():
			d.serveAsOwner(x, w, r, key, plan)
			return
		case plan.Owner == 0 || hops >= maxHostHops:
			x.answerUnknown(w, reasonUnknown)
			return
		}
		maybeDelivered, err := d.forwardToHost(x, w, r, plan.Owner, hops+1, false)
		if err == nil {
			return
		}
		if maybeDelivered {
			x.answerUnknown(w, "the host that runs the request did not answer")
			return
		}
		sleep(r.Context(), ownerRetryDelay)
	}
	x.answerUnknown(w, "the host that runs the request could not be reached")
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// answerUnknown answers that the outcome of the request is unknown.
func (x *exchange) answerUnknown(w http.ResponseWriter, reason string) {
	x.service.dispatcher.countOutcome(retry.Unknown)
	x.answerFailure(w, &failure{outcome: retry.Unknown, reason: reason})
}

// requestFingerprint returns a hash of the request's method and URI. It detects
// a key that is reused for another request.
func requestFingerprint(r *http.Request) uint64 {
	return rendez.Hash(r.Method + " " + r.URL.RequestURI())
}

// serveAsOwner serves a request whose key this host owns.
func (d *Deduplicator) serveAsOwner(x *exchange, w http.ResponseWriter, r *http.Request, key string, plan once.Plan) {
	fingerprint := requestFingerprint(r)
	for {
		d.mu.Lock()
		decision, rec := d.ledger.Begin(d.now(), key, fingerprint)
		var done <-chan struct{}
		if decision == once.Join {
			done = rec.Done()
		}
		d.mu.Unlock()
		switch decision {
		case once.Proceed:
			d.reserveAndRun(x, w, r, key, fingerprint, plan)
			return
		case once.Join:
			if !x.awaitEnd(r.Context(), done) {
				x.answerUnknown(w, "the request still runs")
				return
			}
		default:
			d.answerDecision(x, w, r, decision, rec)
			return
		}
	}
}

// awaitEnd waits until done is closed, which shows that the request that this
// one repeats has ended. It returns false if the deadline passes or ctx is done
// first.
func (x *exchange) awaitEnd(ctx context.Context, done <-chan struct{}) bool {
	t := time.NewTimer(time.Until(x.deadline))
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// answerDecision answers a repeated request according to the ledger's decision.
func (d *Deduplicator) answerDecision(x *exchange, w http.ResponseWriter, r *http.Request, decision once.Decision, rec *once.Record) {
	switch decision {
	case once.Replay:
		x.service.dispatcher.countOutcome(retry.Answered)
		writeStoredAnswer(w, rec.Answer)
	case once.Mismatch:
		answerNotRun(w, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	case once.Full:
		answerNotRun(w, http.StatusServiceUnavailable, "too many idempotency keys are kept")
	case once.Forward:
		if _, err := d.forwardToHost(x, w, r, rec.Host, 0, true); err != nil {
			x.answerUnknown(w, reasonUnknown)
		}
	default:
		x.answerUnknown(w, reasonUnknown)
	}
}

// serveRepeat answers a repeated request that another host forwarded because a
// record names this host as the one that runs or ran the request.
func (d *Deduplicator) serveRepeat(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
	fingerprint := requestFingerprint(r)
	for {
		d.mu.Lock()
		decision, rec := d.ledger.DecideForwarded(key, fingerprint)
		var done <-chan struct{}
		if decision == once.Join {
			done = rec.Done()
		}
		d.mu.Unlock()
		if decision != once.Join {
			d.answerDecision(x, w, r, decision, rec)
			return
		}
		if !x.awaitEnd(r.Context(), done) {
			x.answerUnknown(w, "the request still runs")
			return
		}
	}
}

// reserveAndRun reserves a new key at the plan's replicas and then runs the
// request. It does not run the request if a replica already has a record of the
// key or if the confirmations do not form a quorum.
func (d *Deduplicator) reserveAndRun(x *exchange, w http.ResponseWriter, r *http.Request, key string, fingerprint uint64, plan once.Plan) {
	res := reservation{Key: key, Fingerprint: fingerprint, Host: d.cluster.Self(), AttemptID: d.lastAttemptID.Add(1)}
	result := d.reserve(r.Context(), plan.Replicas, res)
	if result.existingHost == 0 && plan.HasQuorum(result.intact) {
		d.runReserved(x, w, r, res, result.confirmed)
		return
	}
	d.release(res, result.confirmed)
	if result.existingHost != 0 {
		d.forwardRepeat(x, w, r, result.existingHost)
		return
	}
	x.answerUnknown(w, reasonUnknown)
}

// forwardRepeat answers a repeated request by forwarding it to the host that
// runs or ran the request according to a replica's record.
func (d *Deduplicator) forwardRepeat(x *exchange, w http.ResponseWriter, r *http.Request, host uint64) {
	if host == d.cluster.Self() {
		x.answerUnknown(w, reasonUnknown) // A former process of this host may have run the request.
		return
	}
	if _, err := d.forwardToHost(x, w, r, host, 0, true); err != nil {
		x.answerUnknown(w, reasonUnknown)
	}
}

// runReserved runs a request whose key is reserved and records its outcome. The
// request continues if its caller disconnects.
func (d *Deduplicator) runReserved(x *exchange, w http.ResponseWriter, r *http.Request, res reservation, confirmed []uint64) {
	x.service.detachedRequests.Enter()
	defer x.service.detachedRequests.Leave()
	rec := &recorder{maxBody: d.ledger.MaxBody()}
	outcome := retry.Unknown
	defer func() {
		switch outcome {
		case retry.Answered:
			d.mu.Lock()
			d.ledger.Finish(d.now(), res.Key, &rec.answer)
			d.mu.Unlock()
		case retry.NotRun:
			d.release(res, confirmed)
		default:
			d.mu.Lock()
			d.ledger.MarkUnanswered(d.now(), res.Key)
			d.mu.Unlock()
		}
	}()
	outcome = x.serve(w, r.WithContext(context.WithoutCancel(r.Context())), rec)
}

package front

import (
	"context"
	"errors"
	"io"
	"log"
	"math"
	"net/http"
	"strconv"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/admit"
	"lagoonramp.org/lagoonramp/pkg/rendez"
	"lagoonramp.org/lagoonramp/pkg/retry"
)

const (
	// OutcomeHeader tells the caller the outcome. A server that sets it to
	// not-run says that it shed the request.
	OutcomeHeader = "Lagoonramp-Outcome"
	// TimeoutHeader is the time that the caller gives the request, such as
	// "2.5s". The server gets what is left of it.
	TimeoutHeader = "Lagoonramp-Timeout"
	// KeyHeader carries the key of a non-idempotent request.
	KeyHeader = "Idempotency-Key"

	defaultDeadline = 30 * time.Second
	defaultMaxBody  = 1 << 30
	// maxKey bounds an idempotency key, in bytes.
	maxKey = 255
	// replayBody is the largest body that is kept for a second try.
	replayBody = 64 << 10
	maxTries   = 3
)

// quietLog drops what net/http logs about callers' faulty connections.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

// ServeHTTP serves one request of a caller.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.targets.Load()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		refuse(w, http.StatusNotImplemented, "CONNECT and protocol upgrades are not served")
		return
	case r.ContentLength > t.maxBody():
		refuse(w, http.StatusRequestEntityTooLarge, "the body is larger than the service allows")
		return
	}
	limit, given, err := timeout(r, t)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	r.Header.Del(TimeoutHeader)
	r.Body = http.MaxBytesReader(w, r.Body, t.maxBody())
	x := &exchange{service: s, targets: t, deadline: time.Now().Add(limit), given: given}
	key := r.Header.Get(KeyHeader)
	switch {
	case retry.Idempotent(r.Method) || key == "":
		x.serve(w, r, nil)
	case len(key) > maxKey:
		refuse(w, http.StatusBadRequest, "the idempotency key is too long")
	default:
		s.set.Deduplicator.serve(x, w, r, t.Name+"\x00"+key)
	}
}

func (t *ServiceConfig) maxBody() int64 {
	if t.MaxBody == 0 {
		return defaultMaxBody
	}
	return t.MaxBody
}

// timeout returns the time for a request and whether the caller gave it.
func timeout(r *http.Request, t *ServiceConfig) (d time.Duration, given bool, err error) {
	v := r.Header.Get(TimeoutHeader)
	if v == "" {
		if t.HeaderTimeout > 0 {
			return t.HeaderTimeout, false, nil
		}
		return defaultDeadline, false, nil
	}
	d, err = time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, false, errors.New(TimeoutHeader + " must be a duration such as 2.5s")
	}
	return d, true, nil
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(OutcomeHeader, string(retry.NotRun))
	http.Error(w, reason, status)
}

// exchange is one request of a caller and its answer.
type exchange struct {
	service  *Service
	targets  *ServiceConfig
	deadline time.Time
	// given tells that the caller gave the deadline, so that it bounds the
	// whole answer and not only its header.
	given bool
	// record keeps the answer as it passes; nil if nobody wants it.
	record *recorder
}

// serve admits and forwards a request until it has an outcome, and answers
// the caller. It returns the outcome.
func (x *exchange) serve(w http.ResponseWriter, r *http.Request, rec *recorder) retry.Outcome {
	x.record = rec
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errDeadline)
	defer cancel()
	desk := x.service.desk
	body := newReplay(r)
	var last *failure
	for try := 0; try < maxTries; try++ {
		source, kept := body.try()
		if try > 0 && (!kept || !desk.mayRetry()) {
			break
		}
		last = x.try(ctx, w, r, source)
		if last == nil {
			desk.count(retry.Answered)
			return retry.Answered
		}
		if !last.again || !retry.Allowed(r.Method, last.outcome) {
			break
		}
	}
	desk.count(last.outcome)
	x.fail(w, last)
	return last.outcome
}

var errDeadline = errors.New("the deadline has passed")

// failure is a try that gave no whole answer.
type failure struct {
	outcome retry.Outcome
	reason  string
	// again tells that another try could help.
	again bool
	// began tells that a part of the answer was sent already.
	began      bool
	retryAfter time.Duration
	// tooLarge tells that the caller's body exceeded the limit.
	tooLarge bool
}

// try admits the request, forwards it once and passes the answer on. It
// returns nil if the whole answer was passed on.
func (x *exchange) try(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.ReadCloser) *failure {
	desk := x.service.desk
	kind, long := desk.classify(r.Method, r.URL.Path)
	left := time.Until(x.deadline)
	req := &admit.Request{
		Caller:   rendez.Hash(callerOf(r.Context()).Addr().String()),
		Kind:     kind,
		Long:     long,
		Deadline: desk.now() + left,
	}
	g, err := desk.enter(ctx, req)
	if err != nil {
		f := &failure{outcome: retry.NotRun, reason: err.Error()}
		var no *refusal
		if errors.As(err, &no) {
			f.retryAfter = no.retryAfter
		}
		return f
	}
	return x.forward(ctx, w, r, body, g)
}

// fail answers a request that has no answer. A part of an answer that was
// sent is never completed with something else: the connection is reset.
func (x *exchange) fail(w http.ResponseWriter, f *failure) {
	t := x.targets
	if f.began {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set(OutcomeHeader, string(f.outcome))
	status := http.StatusGatewayTimeout
	switch {
	case f.tooLarge:
		status = http.StatusRequestEntityTooLarge
	case f.outcome == retry.NotRun:
		status = http.StatusServiceUnavailable
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(f.retryAfter.Seconds())))))
		x.service.set.Events.Add(event.Event{Kind: event.Shed, Service: t.Name, Cause: f.reason})
	default:
		x.service.set.Events.Add(event.Event{Kind: event.OutcomeUnknown, Service: t.Name, Cause: f.reason})
	}
	http.Error(w, f.reason, status)
}

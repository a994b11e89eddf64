package httplb

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
	// OutcomeHeader is the response header that carries the outcome of a
	// request. A server sets it to not-run to report that it shed the request.
	OutcomeHeader = "Lagoonramp-Outcome"
	// TimeoutHeader is the request header with the caller's timeout, such as
	// "2.5s". The server receives the remaining time.
	TimeoutHeader = "Lagoonramp-Timeout"
	// KeyHeader is the request header with the idempotency key of a
	// non-idempotent request.
	KeyHeader = "Idempotency-Key"

	// defaultHeaderTimeout and defaultMaxBody apply to services that configure none.
	defaultHeaderTimeout = 30 * time.Second
	defaultMaxBody       = 1 << 30 // bytes
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxBufferedBody is the maximum size in bytes of a request body that is
	// kept for retries. It also limits how much is read of a shed request's
	// answer and of a peer's reply.
	maxBufferedBody = 64 << 10
	// maxTries is the maximum number of tries of a request, including the first.
	maxTries = 3
)

// discardLogger returns a logger that drops the messages of net/http about
// faulty connections of callers.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// ServeHTTP implements http.Handler. It serves one request of a caller.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config := s.config.Load()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		answerNotRun(w, http.StatusNotImplemented, "CONNECT and protocol upgrades are not served")
		return
	case r.ContentLength > config.maxBody():
		answerNotRun(w, http.StatusRequestEntityTooLarge, "the body is larger than the service allows")
		return
	}
	timeout, fromCaller, err := requestTimeout(r, config)
	if err != nil {
		answerNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	r.Header.Del(TimeoutHeader)
	r.Body = http.MaxBytesReader(w, r.Body, config.maxBody())
	x := &exchange{service: s, config: config, deadline: time.Now().Add(timeout), callerSetTimeout: fromCaller}
	key := r.Header.Get(KeyHeader)
	switch {
	case retry.Idempotent(r.Method) || key == "":
		x.serve(w, r, nil)
	case len(key) > maxKeyBytes:
		answerNotRun(w, http.StatusBadRequest, "the idempotency key is too long")
	default:
		s.settings.Deduplicator.serve(x, w, r, config.Name+"\x00"+key)
	}
}

// maxBody returns the maximum size of a request body in bytes.
func (c *ServiceConfig) maxBody() int64 {
	if c.MaxBody == 0 {
		return defaultMaxBody
	}
	return c.MaxBody
}

// requestTimeout returns the timeout of a request and whether the caller set it.
func requestTimeout(r *http.Request, config *ServiceConfig) (d time.Duration, fromCaller bool, err error) {
	v := r.Header.Get(TimeoutHeader)
	if v == "" {
		if config.HeaderTimeout > 0 {
			return config.HeaderTimeout, false, nil
		}
		return defaultHeaderTimeout, false, nil
	}
	d, err = time.ParseDuration(v)
	if err != nil || d <= 0 {
		return 0, false, errors.New(TimeoutHeader + " must be a duration such as 2.5s")
	}
	return d, true, nil
}

// answerNotRun answers a request that is rejected before it runs.
func answerNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(OutcomeHeader, string(retry.NotRun))
	http.Error(w, reason, status)
}

// exchange is the state of one request of a caller and its answer.
type exchange struct {
	service  *Service
	config   *ServiceConfig
	deadline time.Time
	// callerSetTimeout reports whether the deadline comes from the caller. It
	// then bounds the whole answer instead of its header only.
	callerSetTimeout bool
	// recorder stores the relayed answer, or is nil if it is not to be stored.
	recorder *recorder
}

// serve admits and forwards a request, with retries where they are safe, and
// answers the caller. It returns the outcome.
func (x *exchange) serve(w http.ResponseWriter, r *http.Request, rec *recorder) retry.Outcome {
	x.recorder = rec
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errDeadline)
	defer cancel()
	dispatcher := x.service.dispatcher
	body := newReplayableBody(r)
	var lastFailure *failure
	for try := 0; try < maxTries; try++ {
		src, replayable := body.openTry()
		if try > 0 && (!replayable || !dispatcher.takeRetry()) {
			break
		}
		lastFailure = x.try(ctx, w, r, src)
		if lastFailure == nil {
			dispatcher.countOutcome(retry.Answered)
			return retry.Answered
		}
		if !lastFailure.retryable || !retry.Allowed(r.Method, lastFailure.outcome) {
			break
		}
	}
	dispatcher.countOutcome(lastFailure.outcome)
	x.answerFailure(w, lastFailure)
	return lastFailure.outcome
}

var errDeadline = errors.New("the deadline has passed")

// failure describes a try that did not produce a complete answer.
type failure struct {
	outcome retry.Outcome
	reason  string
	// retryable reports whether a further try may succeed.
	retryable bool
	// answerStarted reports whether part of the answer was sent to the caller.
	answerStarted bool
	// retryAfter is the delay after which the caller may retry.
	retryAfter time.Duration
	// tooLarge reports whether the caller's body exceeds the limit.
	tooLarge bool
}

// try waits for a slot, forwards the request once and relays the answer. It
// returns nil if the whole answer was relayed, or was read for the recorder after
// the caller left.
func (x *exchange) try(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.ReadCloser) *failure {
	dispatcher := x.service.dispatcher
	kind, long := dispatcher.classify(r.Method, r.URL.Path)
	remaining := time.Until(x.deadline)
	req := &admit.Request{
		Caller:   rendez.Hash(callerOf(r.Context()).Addr().String()),
		Kind:     kind,
		Long:     long,
		Deadline: dispatcher.now() + remaining,
	}
	g, err := dispatcher.acquire(ctx, req)
	if err != nil {
		f := &failure{outcome: retry.NotRun, reason: err.Error()}
		var refused *refusal
		if errors.As(err, &refused) {
			f.retryAfter = refused.retryAfter
		}
		return f
	}
	return x.forward(ctx, w, r, body, g)
}

// answerFailure answers a request that got no complete answer. If part of an
// answer was already sent, it aborts the connection instead, so that the caller
// does not mistake a truncated answer for a complete one.
func (x *exchange) answerFailure(w http.ResponseWriter, f *failure) {
	config := x.config
	if f.answerStarted {
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
		x.service.settings.Events.Add(event.Event{Kind: event.Shed, Service: config.Name, Cause: f.reason})
	default:
		x.service.settings.Events.Add(event.Event{Kind: event.OutcomeUnknown, Service: config.Name, Cause: f.reason})
	}
	http.Error(w, f.reason, status)
}

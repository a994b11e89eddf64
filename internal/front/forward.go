package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/pkg/retry"
)

// hopHeaders are the headers of one connection only, RFC 9110, section 7.6.1.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEnd copies the headers that are not of one connection only.
func copyEndToEnd(dst, src http.Header) {
	skip := map[string]bool{}
	for _, h := range hopHeaders {
		skip[h] = true
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			skip[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !skip[name] {
			dst[name] = append(dst[name], values...)
		}
	}
}

// forward sends the request to the granted server and passes the answer on.
// It gives the slot back as soon as the server is done.
func (x *exchange) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.ReadCloser, g grant) *failure {
	s := x.service
	var once atomic.Bool
	leave := func(failed bool) {
		if once.CompareAndSwap(false, true) {
			s.desk.leave(g, failed)
		}
	}
	defer leave(true)
	// The caller's leaving cancels the request at the server. So does the
	// deadline, until the answer begins; later only if the caller gave it.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
	defer timer.Stop()
	stop := context.AfterFunc(r.Context(), func() { cancel(context.Cause(r.Context())) })
	defer stop()
	var handed atomic.Bool
	out := x.outgoing(traced(ctx, w, &handed), r, body, g.server.Address)
	resp, err := s.transport(r.Method).RoundTrip(out)
	if err != nil {
		callersFault := r.Context().Err() != nil
		if callersFault || isTooLarge(err) {
			leave(false)
		}
		return roundTripFailure(ctx, err, handed.Load(), callersFault)
	}
	defer resp.Body.Close()
	if !x.given {
		timer.Stop()
	}
	if resp.Header.Get(OutcomeHeader) == string(retry.NotRun) {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, replayBody))
		if once.CompareAndSwap(false, true) {
			s.desk.shed(g)
		}
		return &failure{outcome: retry.NotRun, reason: "the server shed the request", again: true}
	}
	return x.pass(cancel, w, resp, func() { leave(resp.StatusCode == http.StatusBadGateway) })
}

// transport returns how a request is sent. One that must not run twice never
// goes on a pooled connection, which the server may have closed.
func (s *Service) transport(method string) http.RoundTripper {
	if retry.Idempotent(method) {
		return s.pooled
	}
	return s.fresh
}

// outgoing makes the request for the server.
func (x *exchange) outgoing(ctx context.Context, r *http.Request, body io.ReadCloser, address string) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        make(http.Header, len(r.Header)+3),
		ContentLength: r.ContentLength,
		Trailer:       r.Trailer,
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	copyEndToEnd(out.Header, r.Header)
	out.Header.Del(OutcomeHeader)
	out.Body = body
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Add none of our own.
	}
	if te := r.Header.Get("Te"); strings.Contains(te, "trailers") {
		out.Header.Set("Te", "trailers")
	}
	caller := callerOf(r.Context()).Addr().String()
	if prior := out.Header.Get("X-Forwarded-For"); prior != "" {
		caller = prior + ", " + caller
	}
	out.Header.Set("X-Forwarded-For", caller)
	out.Header.Set(TimeoutHeader, time.Until(x.deadline).Round(time.Millisecond).String())
	return out.WithContext(ctx)
}

// traced passes interim answers on and notes when the request may have been
// handed to the server: as soon as there is a connection for it.
func traced(ctx context.Context, w http.ResponseWriter, handed *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
				return nil // The caller's 100 comes from reading its body.
			}
			h := w.Header()
			copyEndToEnd(h, http.Header(header))
			w.WriteHeader(code)
			for name := range header {
				h.Del(name)
			}
			return nil
		},
	})
}

func isTooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// roundTripFailure says what a failed try means.
func roundTripFailure(ctx context.Context, err error, handed, callersFault bool) *failure {
	f := &failure{outcome: retry.Unknown, reason: "the server did not answer", again: true}
	if !handed {
		f.outcome = retry.NotRun
		f.reason = "the server could not be reached"
	}
	switch {
	case isTooLarge(err):
		f.reason = "the body is larger than the service allows"
		f.tooLarge = true
		f.again = false
	case callersFault:
		f.reason = "the caller left"
		f.again = false
	case errors.Is(context.Cause(ctx), errDeadline):
		f.reason = "the deadline passed before the server answered"
		f.again = false
	}
	return f
}

// pass passes an answer on. The slot is given back by done as soon as the
// server has sent its part, so that a slow caller does not hold it.
func (x *exchange) pass(cancel context.CancelCauseFunc, w http.ResponseWriter, resp *http.Response, done func()) *failure {
	h := w.Header()
	copyEndToEnd(h, resp.Header)
	h.Del(TimeoutHeader)
	h.Set(OutcomeHeader, string(retry.Answered))
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	x.record.begin(resp.StatusCode, h)
	sp := newSpool(resp.Body, x.targets.IdleTimeout, cancel)
	go sp.run(done)
	w.WriteHeader(resp.StatusCode)
	err := sp.writeTo(w, resp.ContentLength < 0, x.record)
	for name, values := range resp.Trailer {
		h[name] = values
	}
	if err != nil {
		cancel(err)
		return &failure{outcome: retry.Unknown, reason: "the answer broke off", began: true}
	}
	return nil
}

package httplb

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

// hopByHopHeaders lists the headers that apply to a single connection and must
// not be forwarded; see RFC 9110, section 7.6.1.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyEndToEndHeaders copies all headers from src to dst except hop-by-hop
// headers and those that the Connection header lists.
func copyEndToEndHeaders(dst, src http.Header) {
	skip := map[string]bool{}
	for _, h := range hopByHopHeaders {
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

// forward sends the request to the server of the grant and relays the answer to
// the caller. It releases the slot as soon as the server has finished.
func (x *exchange) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, body io.ReadCloser, g grant) *failure {
	s := x.service
	var released atomic.Bool
	release := func(failed bool) {
		if released.CompareAndSwap(false, true) {
			s.dispatcher.release(g, failed)
		}
	}
	defer release(true)
	// The request to the server is cancelled when the caller disconnects, and
	// when the deadline passes before the answer starts. Once the answer has
	// started, the deadline applies only if the caller set it.
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
	defer timer.Stop()
	stop := context.AfterFunc(r.Context(), func() { cancel(context.Cause(r.Context())) })
	defer stop()
	var maybeSent atomic.Bool
	serverReq := x.newServerRequest(withTrace(ctx, w, &maybeSent), r, body, g.server.Address)
	resp, err := s.transport.RoundTrip(serverReq)
	if err != nil {
		callerGone := r.Context().Err() != nil
		if callerGone || isBodyTooLarge(err) {
			release(false)
		}
		return roundTripFailure(ctx, err, maybeSent.Load(), callerGone)
	}
	defer resp.Body.Close()
	if !x.callerSetTimeout {
		timer.Stop()
	}
	if resp.Header.Get(OutcomeHeader) == string(retry.NotRun) {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody))
		if released.CompareAndSwap(false, true) {
			s.dispatcher.releaseShed(g)
		}
		return &failure{outcome: retry.NotRun, reason: "the server shed the request", retryable: true}
	}
	return x.relayAnswer(cancel, w, resp, func() { release(resp.StatusCode == http.StatusBadGateway) })
}

// newServerRequest returns the request to send to the server at address, with
// the remaining time and the caller's address in its headers.
func (x *exchange) newServerRequest(ctx context.Context, r *http.Request, body io.ReadCloser, address string) *http.Request {
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
	copyEndToEndHeaders(out.Header, r.Header)
	out.Header.Del(OutcomeHeader)
	out.Body = body
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // Suppress the default of net/http.
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

// withTrace returns a context that relays interim (1xx) responses to w and sets
// maybeSent as soon as the request has a connection. From then on the receiver
// may have got the request.
func withTrace(ctx context.Context, w http.ResponseWriter, maybeSent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
				return nil // Reading the body sends 100 Continue to the caller.
			}
			h := w.Header()
			copyEndToEndHeaders(h, http.Header(header))
			w.WriteHeader(code)
			for name := range header {
				h.Del(name)
			}
			return nil
		},
	})
}

func isBodyTooLarge(err error) bool {
	var large *http.MaxBytesError
	return errors.As(err, &large)
}

// roundTripFailure classifies the error of a round trip to a server. Without a
// connection to the server, the request has not run.
func roundTripFailure(ctx context.Context, err error, maybeSent, callerGone bool) *failure {
	f := &failure{outcome: retry.Unknown, reason: "the server did not answer", retryable: true}
	if !maybeSent {
		f.outcome = retry.NotRun
		f.reason = "the server could not be reached"
	}
	switch {
	case isBodyTooLarge(err):
		f.reason = "the body is larger than the service allows"
		f.tooLarge = true
		f.retryable = false
	case callerGone:
		f.reason = "the caller left"
		f.retryable = false
	case errors.Is(context.Cause(ctx), errDeadline):
		f.reason = "the deadline passed before the server answered"
		f.retryable = false
	}
	return f
}

// relayAnswer relays the server's answer to the caller. It calls serverDone,
// which releases the slot, as soon as the whole answer has been read from the
// server, so that a slow caller does not occupy a slot.
func (x *exchange) relayAnswer(cancel context.CancelCauseFunc, w http.ResponseWriter, resp *http.Response, serverDone func()) *failure {
	h := w.Header()
	copyEndToEndHeaders(h, resp.Header)
	h.Del(TimeoutHeader)
	h.Set(OutcomeHeader, string(retry.Answered))
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	x.recorder.recordHeader(resp.StatusCode, h)
	sp := newSpool(resp.Body, x.config.IdleTimeout, cancel)
	go sp.fill(serverDone)
	w.WriteHeader(resp.StatusCode)
	err := sp.copyTo(w, resp.ContentLength < 0, x.recorder)
	for name, values := range resp.Trailer {
		h[name] = values
	}
	if err != nil {
		cancel(err)
		return &failure{outcome: retry.Unknown, reason: "the answer broke off", answerStarted: true}
	}
	return nil
}

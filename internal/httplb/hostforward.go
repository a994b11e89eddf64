package httplb

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/pkg/retry"
)

// forwardToHost forwards a request with an idempotency key to another host and
// relays the answer to the caller. isRepeat marks a repeated request, which the
// receiver answers from its record and which is sent without its body.
// maybeDelivered reports whether the host may have received the request. If an
// error is returned, the caller has not been answered.
func (d *Deduplicator) forwardToHost(x *exchange, w http.ResponseWriter, r *http.Request, host uint64, hops int, isRepeat bool) (maybeDelivered bool, err error) {
	addr, ok := d.cluster.Address(host)
	if !ok {
		return false, eris.New("forward the request: unknown host")
	}
	var maybeSent atomic.Bool
	ctx, cancel := context.WithDeadline(withTrace(r.Context(), w, &maybeSent), x.deadline.Add(time.Second))
	defer cancel()
	target := "http://" + addr + RunPath + url.PathEscape(x.config.Name)
	req, err := http.NewRequestWithContext(ctx, r.Method, target, r.Body)
	if err != nil {
		return false, eris.Wrapf(err, "forward the request to %s", addr)
	}
	req.ContentLength = r.ContentLength
	copyEndToEndHeaders(req.Header, r.Header)
	req.Host = r.Host
	req.Header.Set(uriHeader, r.URL.RequestURI())
	req.Header.Set(callerHeader, callerOf(r.Context()).String())
	req.Header.Set(hopsHeader, strconv.Itoa(hops))
	req.Header.Set(TimeoutHeader, time.Until(x.deadline).String())
	if isRepeat {
		req.Header.Set(repeatHeader, "true")
	}
	if isRepeat || r.ContentLength == 0 {
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	d.cluster.Sign(req)
	// The transport may send a request again if it used a pooled connection that
	// the other host has closed. Close therefore keeps the connection of this
	// request out of the pool. The request itself may still get a connection that
	// an earlier call left in the pool.
	req.Close = true
	resp, err := d.client.Transport.RoundTrip(req)
	if err != nil {
		return maybeSent.Load(), eris.Wrapf(err, "forward the request to %s", addr)
	}
	defer resp.Body.Close()
	copyEndToEndHeaders(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // The caller must not mistake a truncated answer for a complete one.
	}
	return true, nil
}

// ServeRun serves a request with an idempotency key that another host received
// and forwarded here.
func (d *Deduplicator) ServeRun(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(r.URL.EscapedPath()[len(RunPath):])
	s := (*d.services.Load())[name]
	if err != nil || s == nil {
		w.Header().Set(OutcomeHeader, string(retry.Unknown))
		http.Error(w, "the host does not know the service", http.StatusGatewayTimeout)
		return
	}
	uri, err := url.ParseRequestURI(r.Header.Get(uriHeader))
	caller, callerErr := netip.ParseAddrPort(r.Header.Get(callerHeader))
	timeout, timeErr := time.ParseDuration(r.Header.Get(TimeoutHeader))
	key := r.Header.Get(KeyHeader)
	if err != nil || callerErr != nil || timeErr != nil || key == "" {
		http.Error(w, "a header is missing", http.StatusBadRequest)
		return
	}
	r.URL = uri
	for _, h := range []string{uriHeader, callerHeader, TimeoutHeader} {
		r.Header.Del(h)
	}
	config := s.config.Load()
	r = r.WithContext(context.WithValue(r.Context(), callerContextKey{}, caller))
	r.Body = http.MaxBytesReader(w, r.Body, config.maxBody())
	x := &exchange{service: s, config: config, deadline: time.Now().Add(timeout)}
	d.serve(x, w, r, name+"\x00"+key)
}

package front

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

// pass sends a keyed request to another host and gives the caller its answer.
// Delivered tells that the host may have received the request. With an error
// nothing was answered yet.
func (o *Deduplicator) pass(x *exchange, w http.ResponseWriter, r *http.Request, host uint64, hops int, follow bool) (delivered bool, err error) {
	addr, ok := o.cluster.Address(host)
	if !ok {
		return false, eris.New("pass the request on: the host is not known")
	}
	var handed atomic.Bool
	ctx, cancel := context.WithDeadline(traced(r.Context(), w, &handed), x.deadline.Add(time.Second))
	defer cancel()
	target := "http://" + addr + RunPath + url.PathEscape(x.targets.Name)
	req, err := http.NewRequestWithContext(ctx, r.Method, target, r.Body)
	if err != nil {
		return false, eris.Wrapf(err, "pass the request to %s", addr)
	}
	req.ContentLength = r.ContentLength
	copyEndToEnd(req.Header, r.Header)
	req.Host = r.Host
	req.Header.Set(uriHeader, r.URL.RequestURI())
	req.Header.Set(callerHeader, callerOf(r.Context()).String())
	req.Header.Set(hopsHeader, strconv.Itoa(hops))
	req.Header.Set(TimeoutHeader, time.Until(x.deadline).String())
	if follow {
		req.Header.Set(followHeader, "true")
	}
	if follow || r.ContentLength == 0 {
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	o.cluster.Sign(req)
	// A request to another host is not tried again by the transport: its own
	// connection rules out that an old one swallowed it.
	req.Close = true
	resp, err := o.client.Transport.RoundTrip(req)
	if err != nil {
		return handed.Load(), eris.Wrapf(err, "pass the request to %s", addr)
	}
	defer resp.Body.Close()
	copyEndToEnd(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler) // The caller must not take a part for the whole.
	}
	return true, nil
}

// ServeRun serves a keyed request that another host received.
func (o *Deduplicator) ServeRun(w http.ResponseWriter, r *http.Request) {
	name, err := url.PathUnescape(r.URL.EscapedPath()[len(RunPath):])
	s := (*o.services.Load())[name]
	if err != nil || s == nil {
		w.Header().Set(OutcomeHeader, string(retry.Unknown))
		http.Error(w, "the host does not know the service", http.StatusGatewayTimeout)
		return
	}
	uri, err := url.ParseRequestURI(r.Header.Get(uriHeader))
	caller, callerErr := netip.ParseAddrPort(r.Header.Get(callerHeader))
	limit, timeErr := time.ParseDuration(r.Header.Get(TimeoutHeader))
	key := r.Header.Get(KeyHeader)
	if err != nil || callerErr != nil || timeErr != nil || key == "" {
		http.Error(w, "a header is missing", http.StatusBadRequest)
		return
	}
	r.URL = uri
	for _, h := range []string{uriHeader, callerHeader, TimeoutHeader} {
		r.Header.Del(h)
	}
	t := s.targets.Load()
	r = r.WithContext(context.WithValue(r.Context(), callerKey{}, caller))
	r.Body = http.MaxBytesReader(w, r.Body, t.maxBody())
	x := &exchange{service: s, targets: t, deadline: time.Now().Add(limit)}
	o.serve(x, w, r, name+"\x00"+key)
}

package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

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
	Forgot() bool
	// Address returns a host's address for HTTP requests.
	Address(host uint64) (string, bool)
	// Sign tags a request to another host.
	Sign(r *http.Request)
}

// Once keeps the keys of non-idempotent requests, for all services of a host.
type Once struct {
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
func NewOnce(c Cluster, start uint64) *Once {
	o := &Once{
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
func (o *Once) SetServices(m map[string]*Service) { o.services.Store(&m) }

// Window returns how long keys are kept.
func (o *Once) Window() time.Duration { return o.ledger.Window() }

func (o *Once) now() time.Duration { return time.Since(o.epoch) }

// reservation is what a host says when it is about to run a key.
type reservation struct {
	Key   string `json:"key"`
	Print uint64 `json:"print"`
	Host  uint64 `json:"host"`
	Run   uint64 `json:"run"`
}

// reserved is the answer to a reservation.
type reserved struct {
	OK bool `json:"ok"`
	// Known tells that the key is known already, by the named host.
	Known bool   `json:"known"`
	Host  uint64 `json:"host"`
	// Forgot tells that the answering host was restarted not long ago.
	Forgot bool `json:"forgot"`
}

// reasonUnsure is what a caller is told when it cannot be known whether the
// request was run before.
const reasonUnsure = "it cannot be known whether the request was run"

// serve runs a keyed request here or passes it to the key's owner.
func (o *Once) serve(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
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
	r.Body = io.NopCloser(body)
	for time.Now().Before(x.deadline) {
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
		if delivered || !body.rewind() {
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
func (o *Once) lead(x *exchange, w http.ResponseWriter, r *http.Request, key string, plan once.Plan) {
	print := printOf(r)
	for {
		o.mu.Lock()
		verdict, rec := o.ledger.Begin(o.now(), key, print)
		var wait <-chan struct{}
		if verdict == once.Join {
			wait = rec.Wait()
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
func (o *Once) conclude(x *exchange, w http.ResponseWriter, r *http.Request, v once.Verdict, rec *once.Record) {
	switch v {
	case once.Replay:
		x.service.desk.count(retry.Answered)
		replayAnswer(w, rec.Answer)
	case once.Mismatch:
		refuse(w, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	case once.Full:
		refuse(w, http.StatusServiceUnavailable, "too many idempotency keys are kept")
	case once.Elsewhere:
		if _, err := o.pass(x, w, r, rec.Host, 0, true); err != nil {
			x.unsure(w, reasonUnsure)
		}
	default:
		x.unsure(w, reasonUnsure)
	}
}

// follow answers a repeat that was sent here since this host ran the request.
func (o *Once) follow(x *exchange, w http.ResponseWriter, r *http.Request, key string) {
	print := printOf(r)
	for {
		o.mu.Lock()
		verdict, rec := o.ledger.Follow(key, print)
		var wait <-chan struct{}
		if verdict == once.Join {
			wait = rec.Wait()
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
func (o *Once) proceed(x *exchange, w http.ResponseWriter, r *http.Request, key string, print uint64, plan once.Plan) {
	res := reservation{Key: key, Print: print, Host: o.cluster.Self(), Run: o.run.Add(1)}
	got := o.reserve(r.Context(), plan.Ask, res)
	if got.known == 0 && plan.Enough(got.clean) {
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
func (o *Once) knownElsewhere(x *exchange, w http.ResponseWriter, r *http.Request, host uint64) {
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
func (o *Once) runOnce(x *exchange, w http.ResponseWriter, r *http.Request, res reservation, confirmed []uint64) {
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
			o.ledger.Lose(o.now(), res.Key)
			o.mu.Unlock()
		}
	}()
	outcome = x.serve(w, r.WithContext(context.WithoutCancel(r.Context())), rec)
}

// reservations is what hosts answered to a reservation.
type reservations struct {
	// confirmed are the hosts that recorded the key, clean is how many of them
	// have forgotten nothing.
	confirmed []uint64
	clean     int
	// known is the host that runs the key, if one of them knows it.
	known uint64
}

// reserve asks hosts to reserve a key.
func (o *Once) reserve(ctx context.Context, hosts []uint64, res reservation) reservations {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveTimeout)
	defer cancel()
	answers := make([]reserved, len(hosts))
	var group sync.WaitGroup
	for i, h := range hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = o.call(ctx, h, ReservePath, res, &answers[i])
		}()
	}
	group.Wait()
	var out reservations
	for i, a := range answers {
		if a.Known {
			out.known = a.Host
		}
		if !a.OK {
			continue
		}
		out.confirmed = append(out.confirmed, hosts[i])
		if !a.Forgot {
			out.clean++
		}
	}
	return out
}

// release takes a key back, here and where it was reserved.
func (o *Once) release(res reservation, hosts []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	for _, h := range hosts {
		_ = o.call(ctx, h, ReleasePath, res, &struct{}{})
	}
	o.mu.Lock()
	o.ledger.Release(res.Key, res.Host, res.Run)
	o.mu.Unlock()
}

// call makes a small HTTP call to another host.
func (o *Once) call(ctx context.Context, host uint64, path string, in, out any) error {
	addr, ok := o.cluster.Address(host)
	if !ok {
		return eris.Errorf("call %s: the host is not known", path)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode the call %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	o.cluster.Sign(req)
	resp, err := o.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("call %s at %s: status %d", path, addr, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, replayBody)).Decode(out), "call %s at %s", path, addr)
}

// ServeReserve handles another host's reservation.
func (o *Once) ServeReserve(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	known, ok := o.ledger.Reserve(o.now(), in.Key, in.Print, in.Host, in.Run)
	out := reserved{OK: ok && known == nil, Known: known != nil, Forgot: o.cluster.Forgot()}
	if known != nil {
		out.Host = known.Host
	}
	o.mu.Unlock()
	answerCall(w, out)
}

// ServeRelease handles the end of another host's reservation.
func (o *Once) ServeRelease(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	o.ledger.Release(in.Key, in.Host, in.Run)
	o.mu.Unlock()
	answerCall(w, struct{}{})
}

func decodeCall(w http.ResponseWriter, r *http.Request, v any) bool {
	const most = 4 << 20
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answerCall(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pass sends a keyed request to another host and gives the caller its answer.
// Delivered tells that the host may have received the request. With an error
// nothing was answered yet.
func (o *Once) pass(x *exchange, w http.ResponseWriter, r *http.Request, host uint64, hops int, follow bool) (delivered bool, err error) {
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
func (o *Once) ServeRun(w http.ResponseWriter, r *http.Request) {
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

// handover is what a leaving host gives to the next owners of its keys.
type handover struct {
	Records []handoverRecord `json:"records"`
}

type handoverRecord struct {
	Key    string       `json:"key"`
	Record once.Record  `json:"record"`
	Answer *once.Answer `json:"answer,omitempty"`
}

// Handover gives the records of a leaving host to the hosts that form the
// keys' groups without it. It returns an error if one of them did not take its
// part.
func (o *Once) Handover(ctx context.Context) error {
	const batch = 200
	parts := map[uint64][]handoverRecord{}
	peers := slices.DeleteFunc(o.cluster.Peers(o.epoch), func(p once.Peer) bool { return p.ID == o.cluster.Self() })
	o.mu.Lock()
	o.ledger.Each(func(key string, r *once.Record) {
		plan := once.MakePlan(o.now(), rendez.Hash(key), o.cluster.Self(), peers, o.Window())
		for _, host := range plan.Ask {
			parts[host] = append(parts[host], handoverRecord{Key: key, Record: r.Shared(), Answer: r.Answer})
		}
	})
	o.mu.Unlock()
	for host, records := range parts {
		for len(records) > 0 {
			n := min(batch, len(records))
			if err := o.call(ctx, host, HandoverPath, handover{Records: records[:n]}, &struct{}{}); err != nil {
				return err
			}
			records = records[n:]
		}
	}
	return nil
}

// ServeHandover takes the records of a leaving host.
func (o *Once) ServeHandover(w http.ResponseWriter, r *http.Request) {
	var in handover
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	for _, x := range in.Records {
		o.ledger.Take(o.now(), x.Key, x.Record, x.Answer)
	}
	o.mu.Unlock()
	answerCall(w, struct{}{})
}

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// MaxValue is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

const (
	defaultTimeout = 2 * time.Second
	defaultRate    = 10
	defaultBurst   = 40
	defaultRetries = 3
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// watchGrace is added to a watch's wait before the call is given up.
	watchGrace = 2 * time.Second
	// maxAnswer bounds an answer: a value in base64 with its frame.
	maxAnswer = 2 * MaxValueBytes
)

var (
	// ErrConflict says that a key did not have the expected version.
	ErrConflict = errors.New("the key has another version")
	// ErrUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the outcome of the write is not known")
	// ErrTooLarge says that a value exceeds MaxValue.
	ErrTooLarge = errors.New("the value is too large")
	// ErrLeaseGone says that a lease has expired.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrRate says that the service refused the call over its rate.
	ErrRateLimited = errors.New("the platform refused the call over its rate")
)

// Value is a value with its version.
type Value struct {
	Data []byte `json:"data"`
	// Version grows with each write of the key; 0 means absent.
	Version uint64 `json:"version"`
	// Leased tells that the value goes away with a lease.
	Leased bool `json:"leased"`
}

// Host is an entry of the platform's list of hosts, which lags.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Peer is the host's address for other hosts, as IP:port.
	PeerAddress string `json:"peer"`
	// Leaving tells that the host is about to go.
	Leaving bool `json:"leaving"`
}

// Settings of a Client. The zero value is usable but for URL.
type Settings struct {
	// URL is the service's base URL.
	URL string
	// Timeout bounds each call but for the waiting part of a watch. The
	// default is 2 s.
	Timeout time.Duration
	// CallsPerSecond caps the calls. The default is 10.
	CallsPerSecond float64
	// Burst is how many calls may go at once. The default is 40.
	Burst int
	// Retries bounds the repeats of a read. The default is 3.
	MaxRetries int
	// Rand is the source of jitter. The default is seeded by the clock.
	Rand *rand.Rand
	// Transport carries the calls. The default dials directly.
	Transport http.RoundTripper
	// Metrics receives the call counters. The default is a set of its own.
	Metrics *metrics.Set
}

// Client talks to the platform's service. It is safe for concurrent use.
type Client struct {
	set     Settings
	http    *http.Client
	limit   *rate.Limiter
	metrics *metrics.Set
}

// New returns a client.
func New(set Settings) *Client {
	if set.Timeout == 0 {
		set.Timeout = defaultTimeout
	}
	if set.CallsPerSecond == 0 {
		set.CallsPerSecond = defaultRate
	}
	if set.Burst == 0 {
		set.Burst = defaultBurst
	}
	if set.MaxRetries == 0 {
		set.MaxRetries = defaultRetries
	}
	if set.Transport == nil {
		set.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: set.Timeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	if set.Metrics == nil {
		set.Metrics = metrics.NewSet()
	}
	return &Client{
		set:     set,
		http:    &http.Client{Transport: set.Transport},
		limit:   rate.NewLimiter(rate.Limit(set.CallsPerSecond), set.Burst),
		metrics: set.Metrics,
	}
}

// Close gives up pooled connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns a value. An absent key has version 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var out Value
	err := c.read(ctx, "get", c.set.Timeout, struct {
		Key string `json:"key"`
	}{key}, &out)
	return out, err
}

// Watch waits until a key has a version above after, at most for wait, and
// returns the value at that time.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	var out Value
	err := c.call(ctx, "watch", wait+watchGrace, struct {
		Key   string        `json:"key"`
		After uint64        `json:"after"`
		Wait  time.Duration `json:"wait"`
	}{key, after, wait}, &out)
	return out, err
}

// Hosts returns the platform's list of hosts, which lags.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out struct {
		Hosts []Host `json:"hosts"`
	}
	err := c.read(ctx, "hosts", c.set.Timeout, struct{}{}, &out)
	return out.Hosts, err
}

// Swap writes a value if the key has the given version, 0 for absent. A lease
// of 0 keeps the value for good. It returns the new version. It is never
// repeated here: after ErrUnknown the caller reads what happened.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease time.Duration) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return c.write(ctx, swapBody{Key: key, Value: value, Version: version, Lease: lease})
}

// Delete removes a key if it has the given version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.write(ctx, swapBody{Key: key, Version: version, Delete: true})
	return err
}

// Renew gives a leased key a new lease, if it still has the version.
func (c *Client) RenewLease(ctx context.Context, key string, version uint64, lease time.Duration) error {
	return c.call(ctx, "renew", c.set.Timeout, struct {
		Key     string        `json:"key"`
		Version uint64        `json:"version"`
		Lease   time.Duration `json:"lease"`
	}{key, version, lease}, &struct{}{})
}

type swapBody struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Lease   time.Duration `json:"lease"`
	Delete  bool          `json:"delete"`
}

func (c *Client) write(ctx context.Context, body swapBody) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := c.call(ctx, "swap", c.set.Timeout, body, &out)
	if err == nil || definite(err) {
		return out.Version, err
	}
	return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// definite reports whether an error says that a write had no effect.
func definite(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrRateLimited) || errors.Is(err, ErrLeaseExpired)
}

// read makes a call that may be repeated.
func (c *Client) read(ctx context.Context, op string, timeout time.Duration, in, out any) error {
	backoff := firstBackoff
	for n := 0; ; n++ {
		err := c.call(ctx, op, timeout, in, out)
		if err == nil || n >= c.set.MaxRetries || ctx.Err() != nil {
			return err
		}
		if err := c.sleep(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for a random part of d, at least a half of it.
func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	part := d/2 + time.Duration(rand.Int64N(int64(d/2)))
	if c.set.Rand != nil {
		part = d/2 + time.Duration(c.set.Rand.Int64N(int64(d/2)))
	}
	t := time.NewTimer(part)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// call makes one call.
func (c *Client) call(ctx context.Context, op string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limit.Wait(ctx); err != nil {
		return eris.Wrapf(ErrRateLimited, "%s at %s", op, c.set.URL)
	}
	c.metrics.GetOrCreateCounter(fmt.Sprintf(`lagoonramp_platform_calls_total{op=%q}`, op)).Inc()
	err := c.exchange(ctx, op, in, out)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.metrics.GetOrCreateCounter(fmt.Sprintf(`lagoonramp_platform_errors_total{op=%q}`, op)).Inc()
	}
	return err
}

func (c *Client) exchange(ctx context.Context, op string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", op)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.set.URL+"/v1/"+op, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.set.URL)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.set.URL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return eris.Wrapf(err, "%s at %s: read the answer", op, c.set.URL)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.set.URL)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrapf(err, "%s at %s: decode the answer", op, c.set.URL)
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseExpired
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	}
	return fmt.Errorf("status %d", status)
}

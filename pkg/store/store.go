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

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

const (
	defaultTimeout        = 2 * time.Second
	defaultCallsPerSecond = 10
	defaultBurst          = 40
	defaultRetries        = 3
	initialBackoff        = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
	// watchGrace is added to the wait of a watch to get the timeout of the call.
	watchGrace = 2 * time.Second
	// maxResponse bounds the body of a response, which holds a value in base64
	// in a JSON object.
	maxResponse = 2 * MaxValueBytes
)

var (
	// ErrConflict is returned if a key does not have the expected version.
	ErrConflict = errors.New("the key has another version")
	// ErrOutcomeUnknown is returned if a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the outcome of the write is not known")
	// ErrTooLarge is returned if a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("the value is too large")
	// ErrLeaseExpired is returned if a lease has expired.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrRateLimited is returned if the platform's rate limit, or that of the
	// Client, rejected a call. The call had no effect.
	ErrRateLimited = errors.New("the platform refused the call over its rate")
)

// Value is a value with its version.
type Value struct {
	Data []byte `json:"data"`
	// Version grows with each write of the key. It is 0 if the key is absent.
	Version uint64 `json:"version"`
	// Leased is set if the value is deleted when its lease expires.
	Leased bool `json:"leased"`
}

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// PeerAddress is the IP:port on which the host receives messages from peers.
	PeerAddress string `json:"peer"`
	// Leaving is set if the host is about to shut down.
	Leaving bool `json:"leaving"`
}

// Settings holds the parameters of a Client. URL is required; other zero fields
// take their defaults.
type Settings struct {
	// URL is the base URL of the store.
	URL string
	// Timeout is the timeout of a call. A watch may take its wait and 2 s
	// instead. The default is 2 s.
	Timeout time.Duration
	// CallsPerSecond is the maximum sustained rate of calls. The default is 10.
	CallsPerSecond float64
	// Burst is the maximum number of calls in a burst. The default is 40.
	Burst int
	// MaxRetries is the maximum number of retries of a read. The default is 3.
	MaxRetries int
	// Rand is the source of jitter. The default is the global source of package
	// math/rand/v2, which is seeded randomly.
	Rand *rand.Rand
	// Transport sends the HTTP requests. The default connects without a proxy.
	Transport http.RoundTripper
	// Metrics registers the call counters. The default is a new set.
	Metrics *metrics.Set
}

// Client is a client of the platform's store. It is safe for concurrent use if
// Settings.Rand is nil.
type Client struct {
	settings Settings
	http     *http.Client
	limiter  *rate.Limiter
	metrics  *metrics.Set
}

// New returns a Client with the given settings.
func New(settings Settings) *Client {
	if settings.Timeout == 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.CallsPerSecond == 0 {
		settings.CallsPerSecond = defaultCallsPerSecond
	}
	if settings.Burst == 0 {
		settings.Burst = defaultBurst
	}
	if settings.MaxRetries == 0 {
		settings.MaxRetries = defaultRetries
	}
	if settings.Transport == nil {
		settings.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: settings.Timeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     30 * time.Second,
		}
	}
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewSet()
	}
	return &Client{
		settings: settings,
		http:     &http.Client{Transport: settings.Transport},
		limiter:  rate.NewLimiter(rate.Limit(settings.CallsPerSecond), settings.Burst),
		metrics:  settings.Metrics,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the value of a key. The value of an absent key has version 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var out Value
	err := c.callWithRetry(ctx, "get", c.settings.Timeout, struct {
		Key string `json:"key"`
	}{key}, &out)
	return out, err
}

// Watch waits until the version of a key exceeds after, or until wait has
// passed, and returns the value at that time. Watch does not retry.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	var out Value
	err := c.call(ctx, "watch", wait+watchGrace, struct {
		Key   string        `json:"key"`
		After uint64        `json:"after"`
		Wait  time.Duration `json:"wait"`
	}{key, after, wait}, &out)
	return out, err
}

// Hosts returns the platform's list of hosts. The list lags behind the hosts'
// actual state.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out struct {
		Hosts []Host `json:"hosts"`
	}
	err := c.callWithRetry(ctx, "hosts", c.settings.Timeout, struct{}{}, &out)
	return out.Hosts, err
}

// CompareAndSwap writes a value if the key has the given version, which is 0
// for an absent key, and returns the new version. A value with a lease of 0
// does not expire. CompareAndSwap does not retry: after ErrOutcomeUnknown the
// application has to read the key to learn whether the write took effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease time.Duration) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return c.swap(ctx, swapRequest{Key: key, Value: value, Version: version, Lease: lease})
}

// Delete removes a key if it has the given version.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.swap(ctx, swapRequest{Key: key, Version: version, Delete: true})
	return err
}

// RenewLease replaces the lease of a leased key if the key has the given
// version.
func (c *Client) RenewLease(ctx context.Context, key string, version uint64, lease time.Duration) error {
	return c.call(ctx, "renew", c.settings.Timeout, struct {
		Key     string        `json:"key"`
		Version uint64        `json:"version"`
		Lease   time.Duration `json:"lease"`
	}{key, version, lease}, &struct{}{})
}

// swapRequest is the body of a swap call, which writes or deletes a key.
type swapRequest struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Version uint64        `json:"version"`
	Lease   time.Duration `json:"lease"`
	Delete  bool          `json:"delete"`
}

// swap makes a swap call. It returns ErrOutcomeUnknown unless the outcome is
// certain.
func (c *Client) swap(ctx context.Context, body swapRequest) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := c.call(ctx, "swap", c.settings.Timeout, body, &out)
	if err == nil || isDefiniteFailure(err) {
		return out.Version, err
	}
	return 0, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// isDefiniteFailure reports whether an error means that a write had no effect.
func isDefiniteFailure(err error) bool {
	return errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrRateLimited) || errors.Is(err, ErrLeaseExpired)
}

// callWithRetry makes an idempotent call and retries it with exponential
// backoff.
func (c *Client) callWithRetry(ctx context.Context, op string, timeout time.Duration, in, out any) error {
	backoff := initialBackoff
	for attempt := 0; ; attempt++ {
		err := c.call(ctx, op, timeout, in, out)
		if err == nil || attempt >= c.settings.MaxRetries || ctx.Err() != nil {
			return err
		}
		if err := c.sleepWithJitter(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleepWithJitter waits for a random duration between d/2 and d, or until ctx is
// done.
func (c *Client) sleepWithJitter(ctx context.Context, d time.Duration) error {
	jittered := d/2 + time.Duration(rand.Int64N(int64(d/2)))
	if c.settings.Rand != nil {
		jittered = d/2 + time.Duration(c.settings.Rand.Int64N(int64(d/2)))
	}
	t := time.NewTimer(jittered)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// call makes one call within the rate limit and the timeout, and counts it.
func (c *Client) call(ctx context.Context, op string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return eris.Wrapf(ErrRateLimited, "%s at %s", op, c.settings.URL)
	}
	c.metrics.GetOrCreateCounter(fmt.Sprintf(`lagoonramp_platform_calls_total{op=%q}`, op)).Inc()
	err := c.roundTrip(ctx, op, in, out)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.metrics.GetOrCreateCounter(fmt.Sprintf(`lagoonramp_platform_errors_total{op=%q}`, op)).Inc()
	}
	return err
}

// roundTrip sends one HTTP request and decodes the response into out.
func (c *Client) roundTrip(ctx context.Context, op string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", op)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.settings.URL+"/v1/"+op, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.settings.URL)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.settings.URL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return eris.Wrapf(err, "%s at %s: read the answer", op, c.settings.URL)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return eris.Wrapf(err, "%s at %s", op, c.settings.URL)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrapf(err, "%s at %s: decode the answer", op, c.settings.URL)
	}
	return nil
}

// statusError returns the error for an HTTP status, or nil for 200 OK.
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

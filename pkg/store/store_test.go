package store_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/pkg/store"
)

func newClient(t *testing.T, set store.Settings) (*fakes.Platform, *store.Client) {
	t.Helper()
	p := fakes.NewPlatform()
	srv := httptest.NewServer(p)
	set.URL = srv.URL
	c := store.New(set)
	t.Cleanup(func() { c.Close(); srv.CloseClientConnections(); srv.Close() })
	return p, c
}

// TestWritesUnderFaults checks that a write whose outcome is unknown returns
// ErrOutcomeUnknown, whether or not it took effect, and is never reported as a
// definite failure.
func TestWritesUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults fakes.PlatformFaults
		value  []byte
		want   error
		// written reports whether the key has the value afterwards.
		written bool
	}{
		{"none", fakes.PlatformFaults{}, []byte("v"), nil, true},
		{"lost answer", fakes.PlatformFaults{LoseAnswers: 1}, []byte("v"), store.ErrOutcomeUnknown, true},
		{"down", fakes.PlatformFaults{Down: true}, []byte("v"), store.ErrOutcomeUnknown, false},
		{"slower than the deadline", fakes.PlatformFaults{Delay: time.Second}, []byte("v"), store.ErrOutcomeUnknown, false},
		{"too large", fakes.PlatformFaults{}, make([]byte, store.MaxValueBytes+1), store.ErrTooLarge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, kv := newClient(t, store.Settings{Timeout: 300 * time.Millisecond})
			p.SetFaults(c.faults)
			_, err := kv.CompareAndSwap(context.Background(), "k", c.value, 0, 0)
			is.True(errors.Is(err, c.want))
			p.SetFaults(fakes.PlatformFaults{})
			v, err := kv.Get(context.Background(), "k")
			is.NoErr(err)
			is.Equal(v.Version > 0, c.written)
		})
	}
}

func TestCompareAndSwapChecksVersion(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newClient(t, store.Settings{})
	v1, err := kv.CompareAndSwap(ctx, "k", []byte("a"), 0, 0)
	is.NoErr(err)
	_, err = kv.CompareAndSwap(ctx, "k", []byte("b"), 0, 0)
	is.True(errors.Is(err, store.ErrConflict))
	v2, err := kv.CompareAndSwap(ctx, "k", []byte("b"), v1, 0)
	is.NoErr(err)
	is.True(v2 > v1)
	is.True(errors.Is(kv.Delete(ctx, "k", v1), store.ErrConflict))
	is.NoErr(kv.Delete(ctx, "k", v2))
	got, err := kv.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(got.Version, uint64(0))
}

func TestExpiredLeaseCannotBeRenewed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newClient(t, store.Settings{})
	v, err := kv.CompareAndSwap(ctx, "k", []byte("a"), 0, 50*time.Millisecond)
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // The lease expires while its holder is paused.
	got, err := kv.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(got.Version, uint64(0))
	is.True(errors.Is(kv.RenewLease(ctx, "k", v, time.Second), store.ErrLeaseExpired))
}

func TestWatchReturnsOnChangeOrTimeout(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newClient(t, store.Settings{})
	v, err := kv.Watch(ctx, "k", 0, 20*time.Millisecond)
	is.NoErr(err)
	is.Equal(v.Version, uint64(0))
	done := make(chan store.Value, 1)
	go func() {
		v, _ := kv.Watch(ctx, "k", 0, 20*time.Second)
		done <- v
	}()
	_, err = kv.CompareAndSwap(ctx, "k", []byte("new"), 0, 0)
	is.NoErr(err)
	is.Equal(string((<-done).Data), "new")
}

func TestClientLimitsItsCallRate(t *testing.T) {
	is := is.New(t)
	p, kv := newClient(t, store.Settings{CallsPerSecond: 0.001, Burst: 3, MaxRetries: 1, Timeout: 50 * time.Millisecond})
	refused := 0
	for range 6 {
		if _, err := kv.Watch(context.Background(), "k", 0, 0); errors.Is(err, store.ErrRateLimited) {
			refused++
		}
	}
	is.Equal(refused, 3)
	is.Equal(p.CallCount(), 3)
}

func TestPlatformRateLimitIsReported(t *testing.T) {
	is := is.New(t)
	p, kv := newClient(t, store.Settings{MaxRetries: 1})
	p.SetFaults(fakes.PlatformFaults{CallsPerSecond: 1})
	_, err := kv.CompareAndSwap(context.Background(), "a", nil, 0, 0)
	is.NoErr(err)
	_, err = kv.CompareAndSwap(context.Background(), "b", nil, 0, 0)
	is.True(errors.Is(err, store.ErrRateLimited)) // A definite failure: nothing was written.
	is.True(!errors.Is(err, store.ErrOutcomeUnknown))
}

package host

import (
	"context"
	"errors"
	"time"

	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/store"
)

const (
	// markPrefix begins the keys that tell whether a host was alive lately.
	markPrefix = "lagoonramp/started/"
	// seedEvery is how often a watcher reads the platform's list of hosts.
	seedEvery = 10 * time.Second
)

// markLoop keeps a leased key that shows that this host was alive within the
// window of idempotency keys. A process that finds its host's key was
// restarted and has lost what its former process knew. So does one that cannot
// tell, since the platform does not answer.
func (h *Host) markLoop(ctx context.Context) {
	window := h.once.Window()
	key := markPrefix + h.set.Name
	version, err := h.store.CompareAndSwap(ctx, key, []byte(h.started.Format(time.RFC3339Nano)), 0, window)
	if err == nil {
		// Nobody of this name was alive within the window.
		h.forgot.Store(false)
		h.call(func() { h.control.memb.SetStateLost(false) })
	}
	for ctx.Err() == nil {
		if version == 0 {
			if v, err := h.store.Get(ctx, key); err == nil {
				version = v.Version
			}
		} else if err := h.store.RenewLease(ctx, key, version, window); errors.Is(err, store.ErrLeaseExpired) {
			version, _ = h.store.CompareAndSwap(ctx, key, []byte(h.started.Format(time.RFC3339Nano)), 0, window)
		}
		pause(ctx, window/4)
	}
}

// handover gives the kept keys to the hosts that own them next. If all were
// taken, the host leaves no gap and its mark is removed.
func (h *Host) handover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	if err := h.once.HandOverRecords(ctx); err != nil {
		h.log.Warn("once: not all keys were handed over")
		h.call(func() { h.control.memb.SetStateLost(true) })
		return
	}
	h.call(func() { h.control.memb.SetStateLost(false) })
	key := markPrefix + h.set.Name
	if v, err := h.store.Get(ctx, key); err == nil && v.Version != 0 {
		_ = h.store.Delete(ctx, key, v.Version)
	}
}

// seedLoop reads the platform's list of hosts, which lags: once at the start,
// then only while this host watches the platform.
func (h *Host) seedLoop(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if first || h.watching.Load() {
			h.readHosts(ctx)
		}
		pause(ctx, seedEvery)
	}
}

// readHosts reads the list of hosts and seeds the membership with it.
func (h *Host) readHosts(ctx context.Context) {
	hosts, err := h.store.Hosts(ctx)
	if err != nil {
		return
	}
	var seeds []memb.Member
	var foreign []store.Host
	for _, x := range hosts {
		if x.DataCentre == h.set.DataCentre {
			seeds = append(seeds, memb.Member{Name: x.Name, Address: x.PeerAddress})
		} else {
			foreign = append(foreign, x)
		}
	}
	h.foreign.Store(&foreign)
	h.post(func() { h.control.memb.Seed(h.now(), seeds) })
}

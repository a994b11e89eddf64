package host

import (
	"context"
	"errors"
	"time"

	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/store"
)

const (
	// startedKeyPrefix is the prefix of the leased keys that record that a host
	// was alive within the window of idempotency keys.
	startedKeyPrefix = "lagoonramp/started/"
	// startedKeyRetryInterval is the interval of attempts to write the key while the
	// platform does not answer.
	startedKeyRetryInterval = time.Second
	// hostListInterval is the interval at which a watcher reads the platform's
	// list of hosts.
	hostListInterval = 10 * time.Second
)

// startedKeyLoop maintains a leased key that shows that this host was alive within
// the window of idempotency keys. A process that finds the key of its host was
// restarted within the window, so the records of the former process are lost. The
// records also count as lost if the platform does not answer.
func (h *Host) startedKeyLoop(ctx context.Context) {
	window := h.deduplicator.Window()
	key := startedKeyPrefix + h.settings.Name
	version, err := h.writeStartedKey(ctx, key)
	if err == nil {
		// No host of this name was alive within the window.
		h.recordsLost.Store(false)
		h.callControl(func() { h.control.memb.SetStateLost(false) })
	}
	for ctx.Err() == nil {
		if version == 0 {
			version = h.adoptStartedKey(ctx, key)
		} else if err := h.store.RenewLease(ctx, key, version, window); errors.Is(err, store.ErrLeaseExpired) {
			version, _ = h.writeStartedKey(ctx, key)
		}
		if version == 0 {
			sleep(ctx, startedKeyRetryInterval)
			continue
		}
		sleep(ctx, window/4)
	}
}

// writeStartedKey writes the key of this host if the platform does not have it,
// and returns its version.
func (h *Host) writeStartedKey(ctx context.Context, key string) (uint64, error) {
	return h.store.CompareAndSwap(ctx, key, []byte(h.started.Format(time.RFC3339Nano)), 0, h.deduplicator.Window())
}

// adoptStartedKey returns the version of the key of this host, which it writes if
// the platform does not have it, or 0 if the platform does not answer.
func (h *Host) adoptStartedKey(ctx context.Context, key string) uint64 {
	v, err := h.store.Get(ctx, key)
	if err != nil || v.Version != 0 {
		return v.Version
	}
	version, _ := h.writeStartedKey(ctx, key)
	return version
}

// handOverRecords sends the idempotency records to the hosts that are the replicas
// of their keys after this host has left. If all are accepted, no records are lost
// and the started key is deleted.
func (h *Host) handOverRecords(ctx context.Context) {
	// ctx is done already if the drain timeout has passed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	if err := h.deduplicator.HandOverRecords(ctx); err != nil {
		h.log.Warn("once: handover of idempotency records incomplete")
		h.callControl(func() { h.control.memb.SetStateLost(true) })
		return
	}
	h.callControl(func() { h.control.memb.SetStateLost(false) })
	key := startedKeyPrefix + h.settings.Name
	if v, err := h.store.Get(ctx, key); err == nil && v.Version != 0 {
		_ = h.store.Delete(ctx, key, v.Version)
	}
}

// hostListLoop reads the platform's list of hosts, which may be outdated: once at
// the start, and then periodically while this host is a watcher of the platform.
func (h *Host) hostListLoop(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		if first || h.watching.Load() {
			h.refreshHostList(ctx)
		}
		sleep(ctx, hostListInterval)
	}
}

// refreshHostList reads the platform's list of hosts. It seeds the membership with
// the hosts of this data centre and stores the others in foreignHosts.
func (h *Host) refreshHostList(ctx context.Context) {
	hosts, err := h.store.Hosts(ctx)
	if err != nil {
		return
	}
	var seeds []memb.Member
	var foreign []store.Host
	for _, host := range hosts {
		if host.DataCentre == h.settings.DataCentre {
			seeds = append(seeds, memb.Member{Name: host.Name, Address: host.PeerAddress})
		} else {
			foreign = append(foreign, host)
		}
	}
	h.foreignHosts.Store(&foreign)
	h.postControl(func() { h.control.memb.Seed(h.now(), seeds) })
}

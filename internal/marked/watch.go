package marked

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// servedValidity is how long the outcome of the latest call shows whether the
// store serves this host.
const servedValidity = time.Second

// watchLoop watches the store while shouldWatch is set, until the context ends.
func (h *Host) watchLoop(ctx context.Context) {
	retryDelay, grace := initialRetryDelay, minWatchGrace
	for ctx.Err() == nil {
		if !h.shouldWatch.Load() {
			lastCall := h.now()
			select {
			case <-ctx.Done():
			case <-h.watchWake:
			}
			if h.now()-lastCall > servedValidity {
				h.served.Store(false)
			}
			continue
		}
		before := h.StoreVersion()
		isFirst := before.Revision == 0
		changed, err := h.pollStore(ctx, grace)
		switch {
		case err == nil && isFirst:
			// The control loop decides whether this host watches for others.
			h.recordStoreSuccess()
			h.shouldWatch.Store(false)
		case err == nil:
			retryDelay, grace = initialRetryDelay, minWatchGrace
			h.recordStoreSuccess()
			if changed {
				sleep(ctx, coalesceDelay)
			}
		case ctx.Err() != nil:
			return
		case !isFirst && !h.needsSnapshot.Load() && h.settings.Decoder.NeedsSnapshot(err):
			h.log.Info("watch: changes cannot be had, reading a snapshot",
				zap.Uint64("era", before.Era), zap.Uint64("revision", before.Revision), zap.Error(err))
			h.needsSnapshot.Store(!errors.Is(err, mirror.ErrHigherEra) || h.awaitSnapshotOfPeer(ctx, before))
		case errors.Is(err, context.DeadlineExceeded):
			// The answer is probably lost, so retry without delay.
			h.recordStoreFailure(err)
			grace = min(2*grace, maxWatchGrace)
		default:
			h.recordStoreFailure(err)
			sleep(ctx, retryDelay/2+rand.N(retryDelay/2))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// pollStore makes one call to the store, for a snapshot or for changes, and
// applies the result in the control loop. It reports whether there were any
// items.
func (h *Host) pollStore(ctx context.Context, grace time.Duration) (changed bool, err error) {
	version := h.StoreVersion()
	at := h.now()
	h.storeCalls.Add(1)
	wait := watchWait
	if h.shortWatch.Load() {
		wait = shortWatchWait
	}
	if p := h.published.Load(); p != nil && at-p.confirmedAt > maxReplicaAge {
		wait = staleWatchWait
	}
	d := &mirror.Delta{Snapshot: version.Revision == 0 || h.needsSnapshot.Load()}
	if d.Snapshot {
		h.snapshotReads.Add(1)
		d.Items, d.Version, err = h.settings.Store.Read(ctx, func(part []mirror.Item) {
			h.callControl(func(c *control) { c.addPreview(part) })
		})
	} else {
		d.Items, d.Version, err = h.settings.Store.Watch(ctx, version, wait, grace)
		if len(d.Items) == 0 {
			at = max(at, h.clock.earliestArrival(h.now()))
		}
	}
	if err == nil && d.Era < version.Era {
		err = mirror.ErrLowerEra
	}
	if err != nil {
		return false, err
	}
	if d.Snapshot {
		h.needsSnapshot.Store(false)
	}
	h.callControl(func(c *control) {
		c.applyUpdate(update{delta: d, confirmed: d.Version, confirmedAt: at, source: "store"})
	})
	return len(d.Items) > 0, nil
}

// recordStoreFailure records that a call of the store failed.
func (h *Host) recordStoreFailure(err error) {
	h.served.Store(false)
	h.storeErrors.Add(1)
	if !h.storeUnavailable.Swap(true) {
		h.events.Add(event.Event{Kind: event.PlatformDown, Cause: err.Error()})
		h.log.Warn("watch: the store is lost", zap.Error(err))
	}
}

// recordStoreSuccess records that a call of the store succeeded.
func (h *Host) recordStoreSuccess() {
	h.served.Store(true)
	if h.storeUnavailable.Swap(false) {
		h.events.Add(event.Event{Kind: event.PlatformRecovered, Revision: h.StoreRevision()})
		h.log.Info("watch: the store is back", zap.Uint64("revision", h.StoreRevision()))
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

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

// watchLoop follows the store, while it is this host's turn, until the context
// ends.
func (h *Host) watchLoop(ctx context.Context) {
	retry, grace := firstRetry, firstGrace
	for ctx.Err() == nil {
		if !h.watch.Load() {
			h.served.Store(false)
			select {
			case <-ctx.Done():
			case <-h.turn:
			}
			continue
		}
		changed, err := h.follow(ctx, grace)
		switch {
		case err == nil:
			retry, grace = firstRetry, firstGrace
			h.storeBack()
			if changed {
				pause(ctx, watchPause)
			}
		case ctx.Err() != nil:
			return
		case h.set.Decoder.HistoryLost(err):
			h.log.Info("watch: the store's history is lost, reading the whole state")
			h.whole.Store(true)
		case errors.Is(err, context.DeadlineExceeded):
			// The answer may be lost for good: ask again at once.
			h.storeLost(err)
			grace = min(2*grace, maxGrace)
		default:
			h.storeLost(err)
			pause(ctx, retry/2+rand.N(retry/2))
			retry = min(2*retry, maxRetry)
		}
	}
}

// follow makes one call to the store and hands its result to the control loop.
func (h *Host) follow(ctx context.Context, grace time.Duration) (changed bool, err error) {
	revision := h.revision.Load()
	at := h.now()
	h.storeCalls.Add(1)
	wait := watchWait
	if h.lapsing.Load() {
		wait = lapseWait
	}
	d := &mirror.Delta{Snapshot: revision == 0 || h.whole.Load()}
	if d.Snapshot {
		d.Items, d.Revision, err = h.set.Store.Read(ctx, func(part []mirror.Item) { h.call(func(c *control) { c.preview(part) }) })
	} else {
		d.Items, d.Revision, err = h.set.Store.Watch(ctx, revision, wait, grace)
		if len(d.Items) == 0 {
			at = h.now()
		}
	}
	if err != nil {
		return false, err
	}
	if d.Snapshot {
		h.whole.Store(false)
	}
	h.call(func(c *control) {
		c.take(update{delta: d, confirmed: d.Revision, at: at, source: "store"})
	})
	return len(d.Items) > 0, nil
}

func (h *Host) storeLost(err error) {
	h.served.Store(false)
	h.storeErrors.Add(1)
	if !h.storeAway.Swap(true) {
		h.events.Add(event.Event{Kind: event.PlatformDown, Cause: err.Error()})
		h.log.Warn("watch: the store is lost", zap.Error(err))
	}
}

func (h *Host) storeBack() {
	h.served.Store(true)
	if h.storeAway.Swap(false) {
		h.events.Add(event.Event{Kind: event.PlatformRecovered, Revision: h.revision.Load()})
		h.log.Info("watch: the store is back", zap.Uint64("revision", h.revision.Load()))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

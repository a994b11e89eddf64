package marked

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

const (
	// keptPath is the HTTP path at which peers query the items of earlier eras that
	// a host keeps.
	keptPath = "/kept"
	// maxKeptReplies is the number of peers whose replies a host takes after a change
	// of era, and maxKeptTries bounds its queries. Peers that are still in an earlier
	// era are queried again.
	maxKeptReplies = 3
	maxKeptTries   = 12
	// maxKeptWait is the maximum time for which a host that starts waits for the
	// first reply before it forwards packets. Peers reply within milliseconds.
	maxKeptWait = 300 * time.Millisecond
	// A host that is not among the first to watch the store reads a snapshot of a new
	// era minSnapshotDelay after it learned of the era, plus a random delay of up to
	// snapshotDelaySpread, unless a peer has sent one by then. Otherwise all hosts
	// would read all pages after an outage that ends with a restore.
	minSnapshotDelay    = 300 * time.Millisecond
	snapshotDelaySpread = time.Second
	// minRecordDelay is the minimum delay after a change of era before a host checks
	// whether the store has enough records of hosts, and recordDelaySpread the
	// maximum of the random delay that is added.
	minRecordDelay    = 2 * time.Second
	recordDelaySpread = 8 * time.Second
)

// keptReply is the reply to a query for the items of earlier eras.
type keptReply struct {
	// Era is the era of the replying host.
	Era  uint64        `json:"era"`
	Kept []mirror.Kept `json:"kept,omitempty"`
}

// keptQueries is the progress of the queries by which a host learns, after its start
// or a change of era, what its peers know that the store has lost.
type keptQueries struct {
	era            uint64
	queried        map[uint64]bool
	replies, tries int
	// waitEnd is when a host that starts stops waiting for a reply, 0 if it has not
	// waited yet.
	waitEnd time.Duration
}

// knownEra returns the era of the replica or, until it is loaded, of the preview.
func (c *control) knownEra() uint64 {
	if !c.replica.Loaded() && len(c.previewItems) > 0 {
		return c.previewItems[0].Era
	}
	return c.replica.Version().Era
}

// currentQueries returns the progress of the queries in the present era.
func (c *control) currentQueries() *keptQueries {
	q := &c.peers.keptQueries
	if era := c.knownEra(); q.era != era {
		*q = keptQueries{era: era, queried: map[uint64]bool{}}
	}
	return q
}

// handleNewEra handles the change of the replica from a version to a higher era.
func (c *control) handleNewEra(now time.Duration, before mirror.Version, source string) {
	if before.Revision == 0 {
		return // The first snapshot.
	}
	version, kept := c.replica.Version(), c.replica.Kept(now)
	keys := make([]string, len(kept))
	for i, k := range kept {
		keys[i] = k.Key
	}
	c.host.log.Warn("control: the store was restored from an older copy", zap.String("source", source),
		zap.Uint64("fromEra", before.Era), zap.Uint64("fromRevision", before.Revision),
		zap.Uint64("era", version.Era), zap.Uint64("revision", version.Revision), zap.Strings("kept", keys))
	cause := fmt.Sprintf("era %d revision %d, before: era %d revision %d; %d items kept",
		version.Era, version.Revision, before.Era, before.Revision, len(kept))
	c.host.events.Add(event.Event{Kind: event.StoreRestored, Revision: c.documentVersion, Cause: cause})
	c.peers.scheduleRecordCheck(now)
}

// hiddenServers returns the IDs of the servers that have left although the restored
// store shows their entries.
func (c *control) hiddenServers() map[string]bool {
	out := map[string]bool{}
	c.replica.ForEachHidden(func(i mirror.Item) {
		if s, ok, err := c.host.settings.Decoder.Server(i); ok && err == nil {
			out[s.ID] = true
		}
	})
	return out
}

// expireKept ends the items of earlier eras whose time has passed.
func (c *control) expireKept(now time.Duration) {
	if c.replica.ExpireKept(now) {
		c.host.log.Info("control: items that the store lost are no longer in force", zap.Int("kept", c.replica.KeptCount()))
		c.buildView(now)
	}
}

// restartPreview discards the preview if a part is of another era. What it contained
// is known from an earlier era then. It reports whether the part is to be used.
func (c *control) restartPreview(part []mirror.Item) bool {
	if len(part) == 0 || len(c.previewItems) == 0 || part[0].Era == c.previewItems[0].Era {
		return true
	}
	if part[0].Era < c.previewItems[0].Era {
		return false
	}
	kept := make([]mirror.Kept, len(c.previewItems))
	for i, item := range c.previewItems {
		kept[i] = mirror.Kept{Item: item, Changed: item.Version(), Remaining: mirror.Forever}
	}
	c.replica.MergeKept(c.host.now(), kept)
	c.previewItems, c.previewParts = nil, 0
	return true
}

// retryStart starts the traffic loop if a view has been waiting for it.
func (c *control) retryStart() {
	if p := c.host.published.Load(); p != nil && !c.trafficStarted {
		c.startTraffic(p.view)
	}
}

// awaitsKept reports whether a host that starts has to wait for what its peers know
// that the store has lost.
func (c *control) awaitsKept(now time.Duration) bool {
	q := c.currentQueries()
	if q.era == 0 || q.replies > 0 || len(c.peers.byID) == 0 {
		return false
	}
	if q.waitEnd == 0 {
		q.waitEnd = now + maxKeptWait
		c.peers.queryKept(c)
	}
	return now < q.waitEnd
}

// queryKept queries the next peers, several with the first call and one with each
// further one.
func (p *peers) queryKept(c *control) {
	q := c.currentQueries()
	if q.era == 0 {
		return
	}
	n := 1
	if q.tries == 0 {
		n = maxKeptReplies
	}
	for range n {
		p.queryNextKept(q)
	}
}

// queryNextKept queries a peer, preferably of this data centre.
func (p *peers) queryNextKept(q *keptQueries) {
	if q.replies >= maxKeptReplies || q.tries >= maxKeptTries {
		return
	}
	var best *peer
	for id, other := range p.byID {
		if !q.queried[id] && (best == nil || p.queriedBefore(other, best)) {
			best = other
		}
	}
	if best == nil {
		return
	}
	q.tries++
	q.queried[best.id] = true
	go p.host.fetchKept(best.id, best.address)
}

// fetchKept queries a peer for the items of earlier eras that it keeps.
func (h *Host) fetchKept(id uint64, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var reply keptReply
	if err := getJSON(ctx, h.client, from, keptPath, &reply); err != nil {
		h.log.Info("peers: kept items not fetched", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	reply.Kept = h.validKept(from.String(), reply.Kept)
	h.postToControl(func(c *control) { c.mergeKept(id, &reply) })
}

// mergeKept merges the items that a peer keeps. A peer that is still in an earlier
// era does not know yet what the store has lost, and is queried again.
func (c *control) mergeKept(from uint64, reply *keptReply) {
	q := c.currentQueries()
	if reply.Era < q.era {
		delete(q.queried, from)
		return
	}
	q.replies++
	now := c.host.now()
	changed := c.replica.MergeKept(now, reply.Kept)
	if len(reply.Kept) > 0 {
		c.host.log.Info("peers: kept items fetched", zap.Int("items", len(reply.Kept)), zap.Bool("changed", changed))
	}
	if changed || !c.trafficStarted && (c.replica.Loaded() || c.previewParts >= minPreviewParts) {
		c.buildView(now)
	}
}

// serveKept writes the items of earlier eras that this host keeps.
func (h *Host) serveKept(w http.ResponseWriter, _ *http.Request) {
	var reply keptReply
	h.callControl(func(c *control) {
		reply = keptReply{Era: c.replica.Version().Era, Kept: c.replica.Kept(h.now())}
	})
	h.writeCompressed(w, &reply)
}

// validKept returns the valid items among those that another host keeps.
func (h *Host) validKept(from string, kept []mirror.Kept) []mirror.Kept {
	return slices.DeleteFunc(kept, func(k mirror.Kept) bool { return h.isInvalid(from, validateKept(k)) })
}

// validateKept returns an error if a kept item has no key or an invalid version.
func validateKept(k mirror.Kept) error {
	if k.Key == "" || k.Revision == 0 || k.Version().Compare(k.Changed) > 0 {
		return errors.New("a kept item without a key or with an invalid version")
	}
	return nil
}

// awaitSnapshotOfPeer waits until this host is to read a snapshot of a new era. It
// reports whether it still has to.
func (h *Host) awaitSnapshotOfPeer(ctx context.Context, before mirror.Version) bool {
	first := false
	h.callControl(func(c *control) { first = c.peers.gossip.ShouldWatch() })
	if !first {
		sleep(ctx, minSnapshotDelay+rand.N(snapshotDelaySpread))
	}
	return h.StoreVersion().Era == before.Era
}

// scheduleRecordCheck schedules a check, some seconds after a change of era, whether
// the store has enough records of hosts. If it has that of this host, that may be an
// earlier one, with less time until it expires.
func (p *peers) scheduleRecordCheck(now time.Duration) {
	p.nextAnnounce = now + minRecordDelay + rand.N(recordDelaySpread)
	p.rewriteRecord = p.recordWrittenAt > 0
}

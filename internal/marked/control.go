package marked

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// Store is a client of the platform's key-value store.
type Store interface {
	// Read returns all items and a version up to which they include all
	// changes. If it reads in several parts, it passes the parts to onPart as
	// they arrive; it may omit one, since the result contains it anyway. The items
	// of a part belong to one era, and those of the result to that of the version.
	Read(ctx context.Context, onPart func([]mirror.Item)) ([]mirror.Item, mirror.Version, error)
	// Watch waits for changes after a version, for at most wait. The call fails
	// if it takes longer than wait and grace together, and with mirror.ErrHigherEra
	// or mirror.ErrLowerEra if the store is in another era.
	Watch(ctx context.Context, after mirror.Version, wait, grace time.Duration) ([]mirror.Item, mirror.Version, error)
	// Announce writes one of lagoonramp's own keys, which expires after ttl.
	Announce(ctx context.Context, key string, value []byte, ttl time.Duration) error
	Close()
}

// Decoder decodes the items of the store.
type Decoder interface {
	// Server decodes a server's entry; ok is false if the item is not one.
	Server(i mirror.Item) (s *fleet.Server, ok bool, err error)
	// Document decodes the operators' document; ok is false if the item is not
	// the document.
	Document(i mirror.Item) (d *fleet.Document, ok bool, err error)
	// Evacuation returns the data centre whose evacuation the item requests; ok is
	// false if the item does not request one.
	Evacuation(i mirror.Item) (dataCentre string, ok bool)
	// ParseOwnKey returns the key of an item without the prefix of lagoonramp's
	// own keys; ok is false if the key does not have the prefix.
	ParseOwnKey(i mirror.Item) (key string, ok bool)
	// NeedsSnapshot reports whether the error of a watch means that the changes
	// after its version cannot be had: the store no longer has them, its answer
	// cannot be read, or the store is in a higher era.
	NeedsSnapshot(err error) bool
	// Precedence decides which items stay in force if the store is restored from an
	// older copy.
	mirror.Precedence
}

const (
	// watchWait is the maximum time that a watch waits for changes. It bounds
	// the time until the loss of a watch's answer is detected.
	watchWait = 1200 * time.Millisecond
	// shortWatchWait replaces watchWait while the view may change without a
	// change in the store, for example because entries of servers expired and
	// may be written again.
	shortWatchWait = 400 * time.Millisecond
	// maxShortWatch is the time before such a change from which on shortWatchWait
	// applies. Marks of servers may change minutes later.
	maxShortWatch = 5 * time.Second
	// staleWatchWait replaces watchWait while the view is old, for example after a
	// pause, so that the answer shows at once whether there are changes.
	staleWatchWait = time.Millisecond
	// minWatchGrace is the time that a watch may take beyond its wait. Each
	// consecutive timeout doubles it up to maxWatchGrace, since the store may be
	// slow.
	minWatchGrace = 400 * time.Millisecond
	maxWatchGrace = 3200 * time.Millisecond
	// coalesceDelay is the delay between a watch that returned changes and the
	// next one, which returns further changes together.
	coalesceDelay = 800 * time.Millisecond
	// minPreviewParts is the number of parts of the first snapshot that a host
	// needs to start serving.
	minPreviewParts = 2
	// minRebuildDelay is the minimum delay before the view is rebuilt without a
	// change in the store.
	minRebuildDelay = 200 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the exponential backoff after
	// failed calls. Jitter shortens each delay by up to half.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
)

// control owns the replica and builds views from it. It belongs to the control
// loop.
type control struct {
	host    *Host
	replica *mirror.Replica
	builder *fleet.Builder
	// decoded caches the decoded servers by the keys of their items.
	decoded  map[string]decodedServer
	document *fleet.Document
	// documentItem is the version of the latest item with a document, valid or
	// not.
	documentItem mirror.Version
	rebuildTimer *time.Timer
	peers        *peers
	// documentVersion is the version of the document in force.
	documentVersion uint64
	// previewItems holds the items of the first snapshot while it is read, and
	// previewParts the number of parts in which they came.
	previewItems []mirror.Item
	previewParts int
	// evacuated holds the data centres that are evacuated as of the latest view.
	evacuated map[string]bool
	// trafficStarted is set once the traffic loop may forward packets.
	trafficStarted bool
}

// decodedServer is a cached result of Decoder.Server.
type decodedServer struct {
	version mirror.Version
	// server is nil if the item is invalid.
	server *fleet.Server
}

// update is a change to apply to the replica.
type update struct {
	delta *mirror.Delta
	// confirmed was current at confirmedAt, as the source knows.
	confirmed   mirror.Version
	confirmedAt time.Duration
	// source is the name or address of the sender, or "store", for the log.
	source string
}

// loop runs the tasks of other goroutines and the periodic work until the
// context ends.
func (c *control) loop(ctx context.Context) {
	c.rebuildTimer = time.NewTimer(time.Hour)
	defer c.rebuildTimer.Stop()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.host.controlTasks:
			f(c)
		case <-c.rebuildTimer.C:
			c.buildView(c.host.now())
		case <-ticker.C:
			now := c.host.now()
			c.host.clock.heartbeat(now)
			c.expireKept(now)
			c.retryStart()
			c.peers.tick(now, c)
		}
	}
}

// applyUpdate applies an update to the replica. If that changes the replica, it
// publishes a new view, and it notifies peers of a new version.
func (c *control) applyUpdate(u update) {
	now := c.host.now()
	before := c.replica.Version()
	changed, err := c.replica.ApplyDelta(now, u.delta)
	if err != nil {
		c.host.log.Warn("control: update not applied", zap.String("source", u.source), zap.Error(err))
		return
	}
	version := c.replica.Version()
	if version.Era > before.Era {
		c.handleNewEra(now, before, u.source)
	}
	c.applyEvacuations(now, c.previewItems)
	if changed {
		c.peers.addRecords(now, u.delta.Items)
		c.buildView(now)
	}
	c.replica.ConfirmCurrent(u.confirmed, u.confirmedAt)
	c.refreshPublished(now)
	c.host.storeVersion.Store(&version)
	if version.Compare(before) > 0 {
		c.peers.announceVersion(now, before, incrementalItems(u.delta), c)
	}
}

// incrementalItems returns the items of a delta that peers may apply, or nil
// for a snapshot: its items do not include all deletions, so peers have to
// fetch the state. The era of the delta applies to the items.
func incrementalItems(d *mirror.Delta) []mirror.Item {
	if d.Snapshot {
		return nil
	}
	items := slices.Clone(d.Items)
	for i := range items {
		items[i].Era = 0
	}
	return items
}

// buildView builds a view from the known items and publishes it.
func (c *control) buildView(now time.Duration) {
	servers := map[string]*fleet.Server{}
	evacuated := map[string]bool{}
	c.forEachItem(func(i mirror.Item) {
		if dataCentre, ok := c.host.settings.Decoder.Evacuation(i); ok {
			evacuated[dataCentre] = true
			return
		}
		c.decodeItem(i, servers)
	})
	c.builder.SetEvacuated(now, evacuated)
	c.reportEvacuations(now, evacuated)
	c.builder.SetLeft(c.hiddenServers())
	previous := c.documentVersion
	view := c.builder.Build(now, now-c.replica.Age(now), c.replica.Version().Revision, c.document, servers)
	if !c.replica.Loaded() {
		view.Incomplete = true // The preview lacks items.
	}
	if c.documentVersion = view.DocumentVersion; c.documentVersion != previous {
		c.host.events.Add(event.Event{Kind: event.Adopted, Revision: view.DocumentVersion})
	}
	c.host.log.Info("control: view", zap.Uint64("version", view.DocumentVersion), zap.Uint64("revision", view.StoreRevision),
		zap.Int("servers", len(servers)), zap.Int("routes", len(view.Routes)))
	c.peers.membership.limitsCold = limitsColdServers(view)
	c.publish(now, view)
	c.startTraffic(view)
	next := c.builder.NextChange()
	c.host.shortWatch.Store(next > 0 && next-now < maxShortWatch)
	if next > 0 {
		c.rebuildTimer.Reset(max(next-now, minRebuildDelay))
	}
}

// reportEvacuations logs the evacuations that started or ended since the latest view.
func (c *control) reportEvacuations(now time.Duration, evacuated map[string]bool) {
	report := func(text string, kind event.Kind, dataCentre string) {
		revision := c.replica.Version().Revision
		c.host.log.Info(text, zap.String("dataCentre", dataCentre), zap.Uint64("revision", revision), zap.Duration("age", c.replica.Age(now)))
		c.host.events.Add(event.Event{Kind: kind, Cause: "data centre " + dataCentre})
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(evacuated)) {
		if !c.evacuated[dataCentre] {
			report("control: evacuation started, no new flows to the data centre", event.Evacuated, dataCentre)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(c.evacuated)) {
		if !evacuated[dataCentre] {
			report("control: evacuation ended, new flows to the data centre", event.EvacuationEnded, dataCentre)
		}
	}
	c.evacuated = evacuated
}

// startTraffic lets the traffic loop start with the first view that has an
// operators' document.
func (c *control) startTraffic(view *fleet.View) {
	now := c.host.now()
	if c.trafficStarted || view.DocumentVersion == 0 || c.awaitsKept(now) {
		return
	}
	c.trafficStarted = true
	c.host.readyAt.Store(int64(now))
	c.peers.notifyReadiness(now, c)
	c.peers.repeatNotice = true
	c.peers.queryRetainedState(now, c)
	c.host.events.Add(event.Event{Kind: event.Ready, Revision: view.DocumentVersion})
	close(c.host.firstView)
}

// refreshPublished publishes the current view again with its new age and the
// current number of hosts.
func (c *control) refreshPublished(now time.Duration) {
	p := c.host.published.Load()
	if p == nil {
		return
	}
	c.publish(now, p.view)
}

// publish passes a view to the traffic loop.
func (c *control) publish(now time.Duration, v *fleet.View) {
	confirmed := now - c.replica.Age(now)
	if !c.replica.Loaded() {
		confirmed = now - 2*maxRefusalViewAge // Too old to refuse flows: the preview lacks items.
	}
	if c.peers.needsMembershipUpdate() {
		c.peers.updateMembership(now, c)
	}
	c.host.keptItems.Store(uint64(c.replica.KeptCount()))
	c.host.published.Store(&publishedView{view: v, confirmedAt: confirmed, hostCount: 1 + c.peers.countLive(now), feeders: c.peers.feeders()})
}

// decodeItem decodes an item. It adds a server to servers, and makes a valid
// document that is not older than the current one. A server's item is decoded once
// per version.
func (c *control) decodeItem(i mirror.Item, servers map[string]*fleet.Server) {
	if d, ok := c.decoded[i.Key]; ok && d.version == i.Version() {
		if d.server != nil {
			servers[d.server.ID] = d.server
		}
		return
	}
	s, ok, err := c.host.settings.Decoder.Server(i)
	if ok {
		if err != nil {
			c.decoded[i.Key] = decodedServer{version: i.Version()}
			c.host.sampledLog.Warn("control: invalid server entry", zap.String("key", i.Key), zap.Error(err))
			return
		}
		c.decoded[i.Key] = decodedServer{version: i.Version(), server: s}
		servers[s.ID] = s
		return
	}
	if i.Version() == c.documentItem {
		return
	}
	d, ok, err := c.host.settings.Decoder.Document(i)
	if !ok {
		return
	}
	c.documentItem = i.Version()
	if err != nil {
		c.host.log.Error("control: invalid operators' document, the previous one stays in force", zap.Error(err))
		return
	}
	if c.document != nil && d.Version < c.document.Version {
		c.host.log.Error("control: the operators' document has an older version, the previous one stays in force",
			zap.Uint64("version", d.Version), zap.Uint64("inForce", c.document.Version))
		return
	}
	c.document = d
}

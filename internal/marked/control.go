package marked

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// Store is the platform's store.
type Store interface {
	// Read returns all items and a revision that is not above theirs. If it
	// reads in parts, it gives each to the function.
	Read(ctx context.Context, part func([]mirror.Item)) ([]mirror.Item, uint64, error)
	// Watch waits for changes after a revision, at most for a time.
	// The call fails if it takes longer than that and a grace.
	Watch(ctx context.Context, after uint64, wait, grace time.Duration) ([]mirror.Item, uint64, error)
	// Announce writes a key of the product that vanishes after a time.
	Announce(ctx context.Context, key string, value []byte, ttl time.Duration) error
	Close()
}

// Decoder reads the items of the store.
type Decoder interface {
	// Server decodes a server's entry; ok is false if the item is none.
	Server(i mirror.Item) (s *fleet.Server, ok bool, err error)
	// Document decodes the operators' document; ok is false if the item is
	// none.
	Document(i mirror.Item) (d *fleet.Document, ok bool, err error)
	// Own returns the product's own key of an item; ok is false if it is not
	// the product's.
	ParseOwnKey(i mirror.Item) (key string, ok bool)
	// HistoryLost reports whether an error says that changes are not known any
	// more.
	HistoryLost(err error) bool
}

const (
	// watchWait is how long a watch waits for changes. It bounds how long a
	// watch whose answer is lost goes unnoticed.
	watchWait = 1200 * time.Millisecond
	// lapseWait is the same while it is open whether servers come back.
	lapseWait = 400 * time.Millisecond
	// firstGrace is how much longer than its wait a watch may take; each loss
	// in a row doubles it up to maxGrace, since the store may be slow.
	firstGrace = 400 * time.Millisecond
	maxGrace   = 3200 * time.Millisecond
	// watchPause is the pause after changes, in which further ones gather.
	watchPause = 800 * time.Millisecond
	// minEarlyParts is how many parts of the first state a host knows when it
	// begins to serve.
	minEarlyParts = 2
	// rebuildEvery is how often a view is built anew that waits for news of
	// the store.
	rebuildEvery = 200 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a refused call.
	firstRetry = 100 * time.Millisecond
	maxRetry   = time.Second
)

// control owns the replica and makes views of it.
type control struct {
	host    *Host
	replica *mirror.Replica
	builder *fleet.Builder
	// decoded holds the servers by key, so that an item is decoded once.
	decoded  map[string]decodedServer
	document *fleet.Document
	// documentAt is the revision of the document's item.
	documentAt uint64
	rebuild    *time.Timer
	peers      *peers
	// version is that of the document in force.
	version uint64
	// early holds the parts of the first state while it is read.
	early      []mirror.Item
	earlyParts int
	// viewed tells that the traffic loop has begun.
	viewed bool
}

type decodedServer struct {
	revision uint64
	server   *fleet.Server
}

// update is news for the replica.
type update struct {
	delta *mirror.Delta
	// confirmed is a revision that the source knew to be current at a time.
	confirmed uint64
	at        time.Duration
	// source names who gave the update.
	source string
}

// loop runs what others ask of the control loop until the context ends.
func (c *control) loop(ctx context.Context) {
	c.rebuild = time.NewTimer(time.Hour)
	defer c.rebuild.Stop()
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.host.do:
			f(c)
		case <-c.rebuild.C:
			c.build(c.host.now())
		case <-ticker.C:
			now := c.host.now()
			c.host.clock.run(now)
			c.peers.tick(now, c)
		}
	}
}

// take puts an update into the replica.
func (c *control) take(u update) {
	now := c.host.now()
	before := c.replica.Revision()
	changed, err := c.replica.ApplyDelta(now, u.delta)
	if err != nil {
		c.host.log.Warn("control: a state was not taken", zap.String("source", u.source), zap.Error(err))
		return
	}
	if changed {
		c.peers.learnRecords(now, u.delta.Items)
		c.build(now)
	}
	c.replica.ConfirmCurrent(u.confirmed, u.at)
	c.publish(now)
	c.host.revision.Store(c.replica.Revision())
	if c.replica.Revision() > before {
		c.peers.adopted(now, before, changesIn(u.delta), c)
	}
}

// preview takes a part of the first state, so that a host that has just started
// serves before it has read all: after a restart of all hosts they read at once.
func (c *control) preview(items []mirror.Item) {
	if c.replica.Loaded() {
		return
	}
	c.early = append(c.early, items...)
	c.earlyParts++
	if c.earlyParts >= minEarlyParts {
		c.build(c.host.now())
	}
}

// items calls f for each item that is known.
func (c *control) items(f func(mirror.Item)) {
	if c.replica.Loaded() {
		c.early = nil
		c.replica.ForEachItem(f)
		return
	}
	for _, i := range c.early {
		f(i)
	}
}

// changesIn returns the changes that a peer may apply. A whole state does not
// tell what was removed, so the peer has to fetch it.
func changesIn(d *mirror.Delta) []mirror.Item {
	if d.Snapshot {
		return nil
	}
	return d.Items
}

// build makes a view of the replica.
func (c *control) build(now time.Duration) {
	servers := map[string]*fleet.Server{}
	c.items(func(i mirror.Item) { c.decode(i, servers) })
	former := c.version
	view := c.builder.Build(now, now-c.replica.Age(now), c.replica.Revision(), c.document, servers)
	if c.version = view.DocumentVersion; c.version != former {
		c.host.events.Add(event.Event{Kind: event.Adopted, Revision: view.DocumentVersion})
	}
	c.host.log.Info("control: view", zap.Uint64("version", view.DocumentVersion), zap.Uint64("revision", view.StoreRevision),
		zap.Int("servers", len(servers)), zap.Int("routes", len(view.Routes)))
	c.put(now, view)
	c.firstView(view)
	next := c.builder.NextChange()
	c.host.lapsing.Store(next > 0)
	if next > 0 {
		c.rebuild.Reset(max(next-now, rebuildEvery))
	}
}

// firstView lets the traffic begin when the operators' document is known.
func (c *control) firstView(view *fleet.View) {
	if c.viewed || view.DocumentVersion == 0 {
		return
	}
	c.viewed = true
	now := c.host.now()
	c.host.readyAt.Store(int64(now))
	c.peers.tellCentre(now, c)
	c.host.events.Add(event.Event{Kind: event.Ready, Revision: view.DocumentVersion})
	close(c.host.viewed)
}

// publish tells the traffic loop the age of the view.
func (c *control) publish(now time.Duration) {
	p := c.host.published.Load()
	if p == nil {
		return
	}
	c.put(now, p.view)
}

func (c *control) put(now time.Duration, v *fleet.View) {
	confirmed := now - c.replica.Age(now)
	if !c.replica.Loaded() {
		confirmed = now - 2*freshness // What is missing may be there all the same.
	}
	c.host.published.Store(&published{view: v, confirmed: confirmed, hosts: 1 + c.peers.live(now)})
}

// decode reads an item, unless that was done before.
func (c *control) decode(i mirror.Item, servers map[string]*fleet.Server) {
	if d, ok := c.decoded[i.Key]; ok && d.revision == i.Revision {
		if d.server != nil {
			servers[d.server.ID] = d.server
		}
		return
	}
	s, ok, err := c.host.set.Decoder.Server(i)
	if ok {
		c.decoded[i.Key] = decodedServer{revision: i.Revision, server: s}
		if err != nil {
			c.host.log.Warn("control: a server's entry was not understood", zap.String("key", i.Key), zap.Error(err))
			return
		}
		servers[s.ID] = s
		return
	}
	if i.Revision <= c.documentAt {
		return
	}
	d, ok, err := c.host.set.Decoder.Document(i)
	if !ok {
		return
	}
	c.documentAt = i.Revision
	if err != nil {
		c.host.log.Error("control: the operators' document was not understood, the former one stays in force", zap.Error(err))
		return
	}
	if c.document != nil && d.Version < c.document.Version {
		c.host.log.Error("control: the operators' document went back, the former one stays in force",
			zap.Uint64("version", d.Version), zap.Uint64("inForce", c.document.Version))
		return
	}
	c.document = d
}

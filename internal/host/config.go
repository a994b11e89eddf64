package host

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/gossip"
)

const (
	// watchTimeout bounds the time that one watch call waits for a change.
	watchTimeout = 10 * time.Second
	// platformRetryDelay is the delay after a failed watch call. A host that is
	// not a watcher also checks at this interval whether it has become one.
	platformRetryDelay = 500 * time.Millisecond
	// foreignInterval is the interval at which a host that cannot reach the
	// platform requests the configuration of a host of another data centre.
	foreignInterval = 2 * time.Second
	// fetchTimeout bounds a fetch of a configuration or of the head, and the
	// handover of records.
	fetchTimeout = 3 * time.Second
	// maxPeerResponse bounds the body of a peer's response, in bytes. The largest
	// one is a configuration.
	maxPeerResponse = 64 << 20
)

// bodyDigests returns the digests of the section bodies of the configuration in
// force. It is called from the control loop.
func (h *Host) bodyDigests() []string {
	snapshot := h.control.adopter.InForce()
	if snapshot == nil {
		return nil
	}
	out := make([]string, 0, len(snapshot.Bodies))
	for d := range snapshot.Bodies {
		out = append(out, d)
	}
	return out
}

// offerHead offers a head to the adopter and, if it is adopted, puts it in force
// and notifies peers. It reports whether the head was adopted. It is called from
// the control loop.
func (h *Host) offerHead(head *conf.Head, bodies map[string][]byte, src conf.Source) bool {
	c := &h.control
	adopted, alarm, err := c.adopter.Offer(head, bodies, src)
	if err != nil {
		if h.alarm.Load() != string(alarm) {
			h.events.Add(event.Event{Kind: event.Alarm, Revision: head.Revision, Cause: string(alarm) + ": " + err.Error()})
			h.log.Error("conf: configuration refused", zap.String("alarm", string(alarm)), zap.Error(err))
		}
		h.alarm.Store(string(alarm))
		return false
	}
	if src == conf.FromPlatform {
		h.alarm.Store("")
	}
	if !adopted {
		return false
	}
	c.adoptedAt = time.Now()
	c.memb.SetAppVersion(head.Revision)
	h.quarantineMovedAddresses()
	h.rebuildRoutes()
	h.events.Add(event.Event{Kind: event.Adopted, Revision: head.Revision})
	h.log.Info("conf: revision in force", zap.Uint64("revision", head.Revision))
	for _, id := range c.gossip.SetRevision(head.Revision) {
		if to, ok := h.view.Load().peerAddresses[id]; ok {
			h.sendControl(to, peer.KindNotice, wire.RevisionNotice{Revision: head.Revision})
		}
	}
	return true
}

// fetchConfig fetches the configuration of a peer and offers it to the adopter.
func (h *Host) fetchConfig(f gossip.Fetch, address string, have []string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	got, err := h.requestConfig(ctx, address, have)
	h.postControl(func() {
		if err != nil || !h.offerHead(got.Head, got.RawBodies(), conf.FromPeer) {
			h.control.gossip.FetchFailed(h.now(), f)
		}
	})
}

// requestConfig requests the configuration of a host. have lists the digests of
// the bodies that the response need not contain.
func (h *Host) requestConfig(ctx context.Context, address string, have []string) (*wire.PeerConfig, error) {
	out := &wire.PeerConfig{}
	err := h.callPeer(ctx, address, "/peer/conf", wire.PeerConfigRequest{Have: have}, out)
	if err == nil && out.Head == nil {
		err = eris.Errorf("configuration from %s: the host has none", address)
	}
	return out, err
}

// callPeer posts in as JSON to a path of another host and decodes the response
// into out.
func (h *Host) callPeer(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode the call %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, address)
	}
	h.Sign(req)
	resp, err := h.peerClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerResponse))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, address)
	}
	h.metrics.GetOrCreateCounter(`lagoonramp_control_received_bytes_total`).Add(len(data))
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("call %s at %s: status %d", path, address, resp.StatusCode)
	}
	return eris.Wrapf(json.Unmarshal(data, out), "call %s at %s", path, address)
}

// Sign implements httplb.Cluster.
func (h *Host) Sign(r *http.Request) { peer.SignRequest(r, h.keys[0], time.Now()) }

// watchLoop watches the platform's head while this host is one of the watchers.
func (h *Host) watchLoop(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		if !h.watching.Load() {
			sleep(ctx, platformRetryDelay)
			continue
		}
		v, err := h.store.Watch(ctx, conf.HeadKey, version, watchTimeout)
		if err == nil {
			err = h.offerPlatformHead(ctx, v.Data)
		}
		if ctx.Err() != nil {
			return
		}
		h.recordPlatformState(err)
		if err != nil {
			h.fetchForeignConfig(ctx)
			sleep(ctx, platformRetryDelay)
			continue
		}
		version = v.Version
	}
}

// recordPlatformState records whether a watch of the platform failed with err, and
// adds an event when that changes.
func (h *Host) recordPlatformState(err error) {
	down := err != nil
	if h.platformDown.Swap(down) == down {
		return
	}
	if down {
		h.events.Add(event.Event{Kind: event.PlatformDown, Cause: err.Error()})
		h.log.Warn("conf: platform is down", zap.Error(err))
		return
	}
	h.events.Add(event.Event{Kind: event.PlatformRecovered})
}

// offerPlatformHead decodes the head read from the platform, reads the section
// bodies that this host lacks, and offers them to the adopter. It persists bodies
// that still have a lease, which would otherwise expire.
func (h *Host) offerPlatformHead(ctx context.Context, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	head := &conf.Head{}
	if err := json.Unmarshal(data, head); err != nil {
		return eris.Wrap(err, "decode the head")
	}
	var missing []string
	h.callControl(func() { missing = h.control.adopter.MissingBodies(head) })
	bodies := map[string][]byte{}
	for _, d := range missing {
		v, err := h.store.Get(ctx, conf.BodyKey(d))
		if err != nil {
			return eris.Wrap(err, "read a section body")
		}
		if v.Leased {
			if err := conf.PersistBody(ctx, h.store, v.Data); err != nil {
				return err
			}
		}
		bodies[d] = v.Data
	}
	h.callControl(func() { h.offerHead(head, bodies, conf.FromPlatform) })
	return nil
}

// fetchForeignConfig fetches the configuration of a random host of another data
// centre and offers it to the adopter.
func (h *Host) fetchForeignConfig(ctx context.Context) {
	hosts := *h.foreignHosts.Load()
	if len(hosts) == 0 {
		return
	}
	// The watch loop waits for platformRetryDelay after this call.
	sleep(ctx, foreignInterval-platformRetryDelay)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var have []string
	h.callControl(func() { have = h.bodyDigests() })
	got, err := h.requestConfig(ctx, hosts[rand.IntN(len(hosts))].PeerAddress, have)
	if err != nil {
		return
	}
	h.callControl(func() { h.offerHead(got.Head, got.RawBodies(), conf.FromPeer) })
}

// serveConf answers another host's request for the configuration in force. It
// omits the bodies that the other host has.
func (h *Host) serveConf(w http.ResponseWriter, r *http.Request) {
	var in wire.PeerConfigRequest
	if !decodeBody(w, r, &in) {
		return
	}
	var snapshot *conf.Snapshot
	h.callControl(func() { snapshot = h.control.adopter.InForce() })
	if snapshot == nil {
		http.Error(w, "no configuration is in force", http.StatusNotFound)
		return
	}
	have := make(map[string]bool, len(in.Have))
	for _, d := range in.Have {
		have[d] = true
	}
	out := wire.PeerConfig{Head: snapshot.Head, Bodies: map[string]json.RawMessage{}}
	for d, b := range snapshot.Bodies {
		if !have[d] {
			out.Bodies[d] = b
		}
	}
	writeCompressed(w, out)
}

// writeCompressed writes v as JSON compressed with gzip, which the HTTP transport
// of every peer decompresses.
func writeCompressed(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_ = json.NewEncoder(z).Encode(v)
	_ = z.Close()
}

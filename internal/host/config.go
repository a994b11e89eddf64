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
	// watchWait is how long one watch of the platform waits.
	watchWait = 10 * time.Second
	// platformRetry is the pause after a failed watch.
	platformRetry = 500 * time.Millisecond
	// foreignEvery is how often a host that cannot reach the platform asks a
	// host of another data centre.
	foreignEvery = 2 * time.Second
	fetchTimeout = 3 * time.Second
	// maxConfig bounds a configuration from a peer, in bytes.
	maxConfig = 64 << 20
)

// bodiesHeld lists the digests of the section bodies in force. It is called
// from the control loop.
func (h *Host) bodiesHeld() []string {
	a := h.control.adopter.InForce()
	if a == nil {
		return nil
	}
	out := make([]string, 0, len(a.Bodies))
	for d := range a.Bodies {
		out = append(out, d)
	}
	return out
}

// offer offers a head to the adopter and puts it in force. It is called from
// the control loop.
func (h *Host) offer(head *conf.Head, bodies map[string][]byte, src conf.Source) bool {
	c := &h.control
	adopted, alarm, err := c.adopter.Offer(head, bodies, src)
	if err != nil {
		if h.alarm.Load() != string(alarm) {
			h.events.Add(event.Event{Kind: event.Alarm, Revision: head.Revision, Cause: string(alarm) + ": " + err.Error()})
			h.log.Error("conf: a configuration was refused", zap.String("alarm", string(alarm)), zap.Error(err))
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
	h.quarantineMoved()
	h.applyRoutes()
	h.events.Add(event.Event{Kind: event.Adopted, Revision: head.Revision})
	h.log.Info("conf: a revision is in force", zap.Uint64("revision", head.Revision))
	for _, id := range c.spread.SetRevision(head.Revision) {
		if to, ok := h.view.Load().peers[id]; ok {
			h.sendControl(to, peer.KindNotice, wire.RevisionNotice{Revision: head.Revision})
		}
	}
	return true
}

// fetchPeer gets a configuration from a peer and offers it.
func (h *Host) fetchPeer(f gossip.Fetch, address string, have []string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	got, err := h.askConfig(ctx, address, have)
	h.post(func() {
		if err != nil || !h.offer(got.Head, got.RawBodies(), conf.FromPeer) {
			h.control.spread.FetchFailed(h.now(), f)
		}
	})
}

// askConfig asks a host for its configuration.
func (h *Host) askConfig(ctx context.Context, address string, have []string) (*wire.PeerConfig, error) {
	out := &wire.PeerConfig{}
	err := h.askPeer(ctx, address, "/peer/conf", wire.PeerConfigRequest{Have: have}, out)
	if err == nil && out.Head == nil {
		err = eris.Errorf("configuration from %s: the host has none", address)
	}
	return out, err
}

// askPeer makes an HTTP call with JSON to another host.
func (h *Host) askPeer(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode the call %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, address)
	}
	h.Sign(req)
	resp, err := h.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, address)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
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

// watchLoop watches the platform while this host is one of the watchers.
func (h *Host) watchLoop(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		if !h.watching.Load() {
			pause(ctx, platformRetry)
			continue
		}
		v, err := h.store.Watch(ctx, conf.HeadKey, version, watchWait)
		if err == nil {
			err = h.takeHead(ctx, v.Data)
		}
		if ctx.Err() != nil {
			return
		}
		h.notePlatform(err)
		if err != nil {
			h.askForeign(ctx)
			pause(ctx, platformRetry)
			continue
		}
		version = v.Version
	}
}

// notePlatform notes whether the platform answers.
func (h *Host) notePlatform(err error) {
	down := err != nil
	if h.platformDown.Swap(down) == down {
		return
	}
	if down {
		h.events.Add(event.Event{Kind: event.PlatformDown, Cause: err.Error()})
		h.log.Warn("conf: the platform does not answer", zap.Error(err))
		return
	}
	h.events.Add(event.Event{Kind: event.PlatformRecovered})
}

// takeHead offers a head that the platform holds, with the bodies that are
// missing here. A body that still has a lease is kept for good.
func (h *Host) takeHead(ctx context.Context, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	head := &conf.Head{}
	if err := json.Unmarshal(data, head); err != nil {
		return eris.Wrap(err, "decode the head")
	}
	var missing []string
	h.call(func() { missing = h.control.adopter.MissingBodies(head) })
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
	h.call(func() { h.offer(head, bodies, conf.FromPlatform) })
	return nil
}

// askForeign asks a host of another data centre for its configuration.
func (h *Host) askForeign(ctx context.Context) {
	hosts := *h.foreign.Load()
	if len(hosts) == 0 {
		return
	}
	pause(ctx, foreignEvery-platformRetry)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var have []string
	h.call(func() { have = h.bodiesHeld() })
	got, err := h.askConfig(ctx, hosts[rand.IntN(len(hosts))].PeerAddress, have)
	if err != nil {
		return
	}
	h.call(func() { h.offer(got.Head, got.RawBodies(), conf.FromPeer) })
}

// serveConf answers another host's request for the configuration.
func (h *Host) serveConf(w http.ResponseWriter, r *http.Request) {
	var in wire.PeerConfigRequest
	if !decodeBody(w, r, &in) {
		return
	}
	var a *conf.Snapshot
	h.call(func() { a = h.control.adopter.InForce() })
	if a == nil {
		http.Error(w, "no configuration is in force", http.StatusNotFound)
		return
	}
	have := make(map[string]bool, len(in.Have))
	for _, d := range in.Have {
		have[d] = true
	}
	out := wire.PeerConfig{Head: a.Head, Bodies: map[string]json.RawMessage{}}
	for d, b := range a.Bodies {
		if !have[d] {
			out.Bodies[d] = b
		}
	}
	writeCompressed(w, out)
}

// writeCompressed answers with JSON in gzip, which every peer's transport
// understands.
func writeCompressed(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_ = json.NewEncoder(z).Encode(v)
	_ = z.Close()
}

package marked

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// fetch gets the state of a peer that is ahead.
func (p *peers) fetch(f *gossip.Fetch) {
	if f == nil || p.known[f.Peer] == nil {
		return
	}
	go p.host.runFetch(*f, p.known[f.Peer].address)
}

// runFetch asks a peer for its state and hands it to the control loop.
func (h *Host) runFetch(f gossip.Fetch, from netip.AddrPort) {
	started := h.now()
	h.fetches.Add(1)
	d, err := fetchState(h.client, from, h.revision.Load())
	h.post(func(c *control) {
		if err != nil {
			h.log.Warn("peers: a state was not fetched", zap.Stringer("peer", from), zap.Error(err))
			c.peers.machine.FetchFailed(h.now(), f)
			return
		}
		c.take(update{delta: d, confirmed: d.Revision, at: started - d.Age, source: from.String()})
	})
}

// fetchState asks a host for what changed after a revision.
func fetchState(client *http.Client, from netip.AddrPort, revision uint64) (*mirror.Delta, error) {
	var d mirror.Delta
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	return &d, getJSON(ctx, client, from, fmt.Sprintf("/state?after=%d", revision), &d)
}

// getJSON asks a host for a path and decodes its answer.
func getJSON(ctx context.Context, client *http.Client, from netip.AddrPort, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+path, nil)
	if err != nil {
		return eris.Wrapf(err, "ask %s for %s", from, path)
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "ask %s for %s", from, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("ask %s for %s: status %d", from, path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(out)
	return eris.Wrapf(err, "decode the answer of %s to %s", from, path)
}

// stateHandler gives peers what changed after a revision.
func (h *Host) stateHandler(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	var d mirror.Delta
	loaded := false
	h.call(func(c *control) {
		loaded = c.replica.Loaded()
		d = c.replica.DeltaSince(h.now(), after)
	})
	if !loaded {
		http.Error(w, "the host knows no state yet", http.StatusServiceUnavailable)
		return
	}
	h.writeCompressed(w, &d)
}

// writeCompressed writes an answer, compressed; peers' clients decompress it.
func (h *Host) writeCompressed(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err == nil {
		err = json.NewEncoder(z).Encode(v)
	}
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		h.log.Debug("peers: an answer was not given", zap.Error(err))
	}
}

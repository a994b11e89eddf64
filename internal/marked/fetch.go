package marked

import (
	"cmp"
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

// fetch starts a fetch from a peer, if f is not nil and the peer is known.
func (p *peers) fetch(f *gossip.Fetch) {
	if f == nil || p.byID[f.Peer] == nil {
		return
	}
	go p.host.fetchFrom(*f, p.byID[f.Peer].address)
}

// fetchFrom fetches the changes since this host's version from a peer and
// applies them in the control loop.
func (h *Host) fetchFrom(f gossip.Fetch, from netip.AddrPort) {
	started := h.now()
	h.fetches.Add(1)
	d, err := fetchState(h.client, from, h.StoreVersion())
	if err == nil {
		if err = validateDelta(d); err != nil {
			h.rejectMessage(from.String(), err)
		}
		d.Kept = h.validKept(from.String(), d.Kept)
	}
	h.postToControl(func(c *control) {
		if err != nil {
			h.log.Warn("peers: state not fetched", zap.Stringer("peer", from), zap.Error(err))
			c.peers.gossip.FetchFailed(h.now(), f)
			return
		}
		c.applyUpdate(update{delta: d, confirmed: d.Version, confirmedAt: started - d.Age, source: from.String()})
	})
}

// fetchState fetches the changes after a version, or a snapshot, from a host.
func fetchState(client *http.Client, from netip.AddrPort, after mirror.Version) (*mirror.Delta, error) {
	var d mirror.Delta
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	path := fmt.Sprintf("/state?after=%d", after.Revision)
	if after.Era > 0 {
		path += fmt.Sprintf("&era=%d", after.Era)
	}
	return &d, getJSON(ctx, client, from, path, &d)
}

// getJSON sends a GET request for a path to a host and decodes the JSON
// response.
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStateSize)).Decode(out)
	return eris.Wrapf(err, "decode the answer of %s to %s", from, path)
}

// serveState writes the changes after a version, or a snapshot, for a peer. The era
// is 0 if the peer does not name one.
func (h *Host) serveState(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	era, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("era"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "era must be a number", http.StatusBadRequest)
		return
	}
	var d mirror.Delta
	loaded := false
	h.callControl(func(c *control) {
		loaded = c.replica.Loaded()
		d = c.replica.DeltaSince(h.now(), mirror.Version{Era: era, Revision: after})
	})
	if !loaded {
		http.Error(w, "the host knows no state yet", http.StatusServiceUnavailable)
		return
	}
	h.writeCompressed(w, &d)
}

// writeCompressed writes v as gzipped JSON. It does not negotiate the encoding:
// only peers request it, and their HTTP clients decompress it.
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
		h.log.Debug("peers: response not written", zap.Error(err))
	}
}

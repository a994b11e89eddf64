package marked

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// initialRecordAge is the age that the last sighting of a host is assumed to
// have if the host is known only from its record in the store.
const initialRecordAge = peerTTL / 2

// hostRecord is the record that a host writes to the store, by which other
// hosts find it.
type hostRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// decodeRecord decodes a host's record; ok is false if the item is not a valid
// one.
func (p *peers) decodeRecord(i mirror.Item) (r hostRecord, ok bool) {
	key, own := p.host.settings.Decoder.ParseOwnKey(i)
	if !own || i.Deleted || !strings.HasPrefix(key, hostRecordPrefix) {
		return r, false
	}
	if err := json.Unmarshal(i.Value, &r); err != nil {
		p.host.log.Warn("peers: invalid host record in the store", zap.String("key", i.Key), zap.Error(err))
		return r, false
	}
	return r, true
}

// addRecords adds the hosts whose records are among items.
func (p *peers) addRecords(now time.Duration, items []mirror.Item) {
	changed := false
	for _, i := range items {
		r, ok := p.decodeRecord(i)
		if !ok {
			continue
		}
		if a, err := netip.ParseAddrPort(r.Address); err == nil {
			changed = p.observeHost(now, a, r.DataCentre, now-initialRecordAge) || changed
			if r.DataCentre == p.host.settings.DataCentre {
				p.membership.recorded[peerID(a)] = true
			}
		}
	}
	if changed {
		p.updateHostLists()
	}
}

// announceRecord adds the hosts whose records are in the replica. It writes the
// record of this host to the store if too few live hosts of its data centre have
// one there.
func (p *peers) announceRecord(now time.Duration, c *control) {
	p.nextAnnounce = now + announceInterval
	own := hostRecord{Address: p.host.settings.PeerAddress.String(), DataCentre: p.host.settings.DataCentre}
	recorded := map[uint64]bool{}
	var items []mirror.Item
	c.replica.ForEachItem(func(i mirror.Item) {
		r, ok := p.decodeRecord(i)
		if !ok {
			return
		}
		items = append(items, i)
		if a, err := netip.ParseAddrPort(r.Address); err == nil && r.DataCentre == own.DataCentre {
			recorded[peerID(a)] = true
		}
	})
	clear(p.membership.recorded) // addRecords adds those that are still there.
	p.addRecords(now, items)
	if p.recordWrittenAt > 0 && now-p.recordWrittenAt > announceTTL-2*announceInterval {
		delete(recorded, p.self) // It is about to expire.
	}
	if p.rewriteRecord {
		p.rewriteRecord = false
		delete(recorded, p.self)
	}
	if gossip.NeedsRecord(p.self, p.liveInDataCentre(now), recorded) {
		p.recordWrittenAt = now
		go p.host.writeRecord(own)
	}
}

// liveInDataCentre returns the other hosts of this data centre that any host has
// seen lately, and not only in the store.
func (p *peers) liveInDataCentre(now time.Duration) []uint64 {
	var out []uint64
	for _, id := range p.idsByDataCentre[p.host.settings.DataCentre] {
		if now-p.byID[id].lastSeen < initialRecordAge {
			out = append(out, id)
		}
	}
	return out
}

// writeRecord writes the record of this host to the store. This takes two
// calls.
func (h *Host) writeRecord(r hostRecord) {
	value, err := json.Marshal(&r)
	if err == nil {
		h.storeCalls.Add(2)
		err = h.settings.Store.Announce(context.Background(), hostRecordPrefix+h.settings.Name, value, announceTTL)
	}
	if err != nil {
		h.log.Warn("peers: host record not written to the store", zap.Error(err))
	}
}

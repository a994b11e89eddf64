package marked

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// recordAge is how long ago a host is taken to have been heard of that only the
// store names.
const recordAge = forgetPeer / 2

// hostRecord is what a host writes of itself to the store.
type hostRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// record decodes a host's record; ok is false if the item is none.
func (p *peers) record(i mirror.Item) (r hostRecord, ok bool) {
	key, own := p.host.set.Decoder.ParseOwnKey(i)
	if !own || i.Deleted || !strings.HasPrefix(key, hostRecords) {
		return r, false
	}
	if err := json.Unmarshal(i.Value, &r); err != nil {
		p.host.log.Warn("peers: a host's record was not understood", zap.String("key", i.Key), zap.Error(err))
		return r, false
	}
	return r, true
}

// learnRecords learns of the hosts whose records are among some items.
func (p *peers) learnRecords(now time.Duration, items []mirror.Item) {
	changed := false
	for _, i := range items {
		r, ok := p.record(i)
		if !ok {
			continue
		}
		if a, err := netip.ParseAddrPort(r.Address); err == nil {
			changed = p.learn(now, a, r.DataCentre, now-recordAge) || changed
		}
	}
	if changed {
		p.setHosts()
	}
}

// announce writes the own record to the store, unless it is there.
func (p *peers) announce(now time.Duration, c *control) {
	p.announceAt = now + announceEvery
	own := hostRecord{Address: p.host.set.PeerAddress.String(), DataCentre: p.host.set.DataCentre}
	there := false
	var items []mirror.Item
	c.replica.ForEachItem(func(i mirror.Item) {
		r, ok := p.record(i)
		there = there || ok && r == own
		items = append(items, i)
	})
	p.learnRecords(now, items)
	if !there {
		go p.host.runAnnounce(own)
	}
}

// runAnnounce writes the host's record to the store.
func (h *Host) runAnnounce(r hostRecord) {
	value, err := json.Marshal(&r)
	if err == nil {
		h.storeCalls.Add(2)
		err = h.set.Store.Announce(context.Background(), hostRecords+h.set.Name, value, announceTTL)
	}
	if err != nil {
		h.log.Warn("peers: the host's record was not written", zap.Error(err))
	}
}

package entry

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

// announce writes the own record to the store, unless it is there, and learns
// of the hosts that the store names.
func (p *peers) announce(now time.Duration, c *control) {
	p.announceAt = now + announceEvery
	own := p.host.set.Peer.String()
	there := false
	var found []hostRecord
	c.replica.Items(func(i mirror.Item) {
		key, ok := p.host.set.Decoder.Own(i)
		if !ok || !strings.HasPrefix(key, hostRecords) {
			return
		}
		var r hostRecord
		if err := json.Unmarshal(i.Value, &r); err != nil {
			p.host.log.Warn("peers: a host's record was not understood", zap.String("key", i.Key), zap.Error(err))
			return
		}
		there = there || r.Address == own
		found = append(found, r)
	})
	for _, f := range found {
		if a, err := netip.ParseAddrPort(f.Address); err == nil {
			p.learn(now, a, f.DataCentre, now-recordAge)
		}
	}
	p.setHosts()
	if !there {
		go p.host.runAnnounce(hostRecord{Address: own, DataCentre: p.host.set.DataCentre})
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

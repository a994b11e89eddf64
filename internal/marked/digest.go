package marked

import (
	"encoding/base64"
	"encoding/json"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/drain"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// digest is a datagram by which a host sends its state to another host.
type digest struct {
	From       string `json:"from"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Instance identifies the process of the sender. It changes with a restart.
	Instance uint64 `json:"instance,omitempty"`
	// Era and Revision are the version of the sender's replica, and Age the time
	// since the sender knew that it was current.
	Era      uint64        `json:"era,omitempty"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"`
	// Served reports whether the sender watches the store for other hosts and
	// the store serves it.
	Served bool `json:"served,omitempty"`
	// Report reports for how long the sender has been ready or stopping.
	drain.Report
	// KnownHosts are some other hosts that the sender knows.
	KnownHosts []knownHost `json:"known,omitempty"`
	// Broadcast specifies the hosts to which the receiver forwards the digest;
	// nil for none.
	Broadcast *broadcast `json:"round,omitempty"`
	// Items are the changes from the revision Since of the same era to Revision. They
	// are left out if they do not fit the datagram.
	Since uint64        `json:"since,omitempty"`
	Items []mirror.Item `json:"items,omitempty"`
	// Greeting makes sure that two hosts know each other. A digest with a greeting
	// has no other effect.
	Greeting greeting `json:"greeting,omitempty"`
	// Pins name the servers of flows whose packets may carry the mark of another
	// server.
	Pins []steer.Pin `json:"pins,omitempty"`
}

// version returns the version of the sender's replica.
func (d *digest) version() mirror.Version {
	return mirror.Version{Era: d.Era, Revision: d.Revision}
}

// knownHost is an entry of a digest on a host other than its sender.
type knownHost struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Age is the time since the host was last seen by any host.
	Age time.Duration `json:"age"`
}

// newDigest returns a digest of this host that names at most maxKnown other hosts.
func (p *peers) newDigest(now time.Duration, c *control, maxKnown int) *digest {
	version := c.replica.Version()
	d := &digest{
		From: p.host.settings.Name, DataCentre: p.host.settings.DataCentre, Address: p.host.settings.PeerAddress.String(), Instance: p.host.instance,
		Era: version.Era, Revision: version.Revision, Age: c.replica.Age(now), Served: p.isBroadcaster(),
		Report: p.host.readinessReport(now),
	}
	first := p.firstNamed()
	for i := range min(maxKnown, 1+len(p.byID)/peersPerKnownHost, len(p.byID)) {
		other := p.nextNamed(now, i, first)
		d.KnownHosts = append(d.KnownHosts, knownHost{Address: other.address.String(), DataCentre: other.dataCentre, Age: now - other.lastSeen})
	}
	return d
}

// knownHosts returns the other hosts that any host has seen lately. While the
// document limits cold servers, it includes lost hosts, since a host that starts
// must rank the hosts of its data centre as the others do.
func (p *peers) knownHosts(now time.Duration) []knownHost {
	var out []knownHost
	for _, id := range p.sortedIDs {
		other := p.byID[id]
		if now-other.lastSeen >= initialRecordAge && !p.membership.limitsCold {
			continue
		}
		out = append(out, knownHost{Address: other.address.String(), DataCentre: other.dataCentre, Age: now - other.lastSeen})
	}
	return out
}

// addKnownHosts adds the hosts that another host knows.
func (p *peers) addKnownHosts(now time.Duration, known []knownHost) {
	changed := false
	for _, k := range known {
		if a, err := netip.ParseAddrPort(k.Address); err == nil {
			changed = p.observeHost(now, a, k.DataCentre, now-max(0, k.Age)) || changed
		}
	}
	if changed {
		p.updateHostLists()
	}
}

// fitsDatagram reports whether a digest fits a datagram together with its
// changes.
func (p *peers) fitsDatagram(d *digest) bool {
	size := 0
	for _, i := range d.Items {
		size += len(i.Key) + base64.StdEncoding.EncodedLen(len(i.Value)) + itemOverhead
	}
	return size <= maxDigestSize-digestOverhead
}

// sendDigest sends a digest to a host. It leaves the changes out if they do not
// fit.
func (p *peers) sendDigest(d *digest, to netip.AddrPort) {
	if !p.fitsDatagram(d) {
		trimmed := *d
		trimmed.Items, trimmed.Since = nil, 0
		d = &trimmed
	}
	b, err := json.Marshal(d)
	if err == nil {
		p.host.digestsSent.Add(1)
		_, err = p.conn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		p.host.log.Debug("peers: digest not sent", zap.Stringer("peer", to), zap.Error(err))
	}
}

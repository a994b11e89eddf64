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

// digest is what a host tells another in a datagram.
type digest struct {
	From       string `json:"from"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Revision is that of the sender's replica, and Age how long ago the
	// sender knew that it was current.
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"`
	// Served tells that the sender watches the store for others, and is served.
	Served bool `json:"served,omitempty"`
	// Report tells whether the sender is ready.
	drain.Report
	// Known are other hosts.
	Known []knownHost `json:"known,omitempty"`
	// Round tells to whom the receiver hands the digest on; nil for nobody.
	Round *round `json:"round,omitempty"`
	// Since and Items are the changes from Since to Revision, if they fit.
	Since uint64        `json:"since,omitempty"`
	Items []mirror.Item `json:"items,omitempty"`
	// Pins are flows whose marks may be wrong.
	Pins []steer.Pin `json:"pins,omitempty"`
}

// knownHost is what a host tells of another.
type knownHost struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre,omitempty"`
	// Age is how long ago somebody heard of the host.
	Age time.Duration `json:"age"`
}

// digest returns what this host knows, with some other hosts.
func (p *peers) digest(now time.Duration, c *control, known int) *digest {
	d := &digest{
		From: p.host.set.Name, DataCentre: p.host.set.DataCentre, Address: p.host.set.PeerAddress.String(),
		Revision: c.replica.Revision(), Age: c.replica.Age(now), Served: p.tellsAll(),
		Report: p.host.standing(now),
	}
	for range min(known, 1+len(p.known)/hostsPerKnown, len(p.known)) {
		k := p.any()
		d.Known = append(d.Known, knownHost{Address: k.address.String(), DataCentre: k.dataCentre, Age: now - k.heardAt})
	}
	return d
}

// fits reports whether a digest fits a datagram with its changes.
func (p *peers) fits(d *digest) bool {
	size := 0
	for _, i := range d.Items {
		size += len(i.Key) + base64.StdEncoding.EncodedLen(len(i.Value)) + itemOverhead
	}
	return size <= maxDigest-digestOverhead
}

// send sends a digest, without its changes if they do not fit.
func (p *peers) send(d *digest, to netip.AddrPort) {
	if !p.fits(d) {
		short := *d
		short.Items, short.Since = nil, 0
		d = &short
	}
	b, err := json.Marshal(d)
	if err == nil {
		p.host.digestsSent.Add(1)
		_, err = p.conn.WriteToUDPAddrPort(b, to)
	}
	if err != nil {
		p.host.log.Debug("peers: a digest was not sent", zap.Stringer("peer", to), zap.Error(err))
	}
}

package marked

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

// This file exchanges pins between hosts.
//
// The mark in a packet may name a server at which its flow is not open, if two
// servers answered the SYN. Only the pins of such flows, in the memory of hosts,
// name the right one. A host announces a new pin to the hosts that routers may
// move the flow to. When it stops, it hands all pins over to several of them,
// which acknowledge this. When a host starts, others hand it those that they found
// out themselves, and the peers that it queries all that they have.

const (
	// maxReceivedPins is the number of queued pins from which further ones are
	// dropped.
	maxReceivedPins = 16_384
	// handOverInterval is the minimum interval at which all pins are handed over,
	// since many hosts may join at the same time.
	handOverInterval = 100 * time.Millisecond
	// maxPinReceivers is the maximum number of hosts to which a stopping host hands
	// its pins over.
	maxPinReceivers = 12
	// pinsPath is the HTTP path to which pins are handed over, in requests of at
	// most maxPinsPerRequest pins and maxPinsRequestSize bytes.
	pinsPath           = "/pins"
	maxPinsPerRequest  = 4096
	maxPinsRequestSize = 1 << 20
	// handOverAttempts is the number of attempts to hand pins over to a host.
	handOverAttempts = 3
)

// pinSet selects pins.
type pinSet uint8

const (
	// ownPins are the pins that a host found out itself.
	ownPins pinSet = iota
	// allPins are these and those that it received.
	allPins
)

// receivePins queues the valid pins of another host for the traffic loop. It is safe
// for concurrent use.
func (h *Host) receivePins(from string, pins []steer.Pin) {
	valid := h.validPins(from, pins)
	if added := h.traffic.addReceivedPins(valid); added < len(valid) {
		h.sampledLog.Warn("pins: queue full, received pins dropped", zap.Int("pins", len(valid)-added))
	}
}

// addReceivedPins queues pins of another host for the loop and returns their
// number. It is safe for concurrent use.
func (t *traffic) addReceivedPins(pins []steer.Pin) int {
	t.receivedMu.Lock()
	defer t.receivedMu.Unlock()
	n := min(len(pins), max(0, maxReceivedPins-len(t.receivedPins)))
	t.receivedPins = append(t.receivedPins, pins[:n]...)
	return n
}

// requestAllPins makes the loop hand all pins over. It is safe for concurrent use.
func (t *traffic) requestAllPins() {
	t.allPinsRequested.Store(true)
	t.wake()
}

// exchangePins adds the received pins to the table. If all pins of this host have
// been requested, it hands them over.
func (t *traffic) exchangePins(now time.Duration) {
	t.receivedMu.Lock()
	received := t.receivedPins
	t.receivedPins = nil
	t.receivedMu.Unlock()
	for _, p := range received {
		t.table.AddPin(now, p)
	}
	t.counters.PinsReceived.Add(uint64(len(received)))
	if now >= t.nextPinAnnounce && t.allPinsRequested.Swap(false) {
		t.nextPinAnnounce = now + handOverInterval
		t.handOverPins(t.table.Pins())
	}
}

// connectPins makes the traffic loop pass its pins to the control loop.
func (h *Host) connectPins() {
	post := func(pins int, f func(c *control)) {
		select {
		case h.controlTasks <- f:
			h.traffic.counters.PinsAnnounced.Add(uint64(pins))
		default:
			h.log.Warn("pins: control queue full, pins not sent to other hosts", zap.Int("pins", pins))
		}
	}
	h.traffic.announcePins = func(pins []steer.Pin) {
		post(len(pins), func(c *control) { c.peers.pendingPins = append(c.peers.pendingPins, pins...) })
	}
	h.traffic.handOverPins = func(own, received []steer.Pin) {
		post(len(own)+len(received), func(c *control) { c.peers.handOverPins(own, received) })
	}
}

// sendPinsTo requests that the pins of all flows are handed over to a host.
func (p *peers) sendPinsTo(to *peer, set pinSet) {
	p.pinReceivers[to.id] = max(p.pinReceivers[to.id], set)
	p.host.traffic.requestAllPins()
}

// handOverOnStop requests that the pins of all flows are handed over to some of
// the hosts that routers may move them to. The others get them in digests.
func (p *peers) handOverOnStop(now time.Duration) {
	targets := slices.Clone(p.rerouteTargets(now))
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	isLocal := func(id uint64) int {
		if p.byID[id].dataCentre == p.host.settings.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(targets, func(a, b uint64) int { return isLocal(a) - isLocal(b) })
	for _, id := range targets[:min(len(targets), maxPinReceivers)] {
		p.pinReceivers[id] = allPins
	}
	p.host.traffic.requestAllPins()
}

// handOverPins sends the pins of all flows to the hosts that wait for them. A
// stopping host sends them to all others that routers may move its flows to, too.
func (p *peers) handOverPins(own, received []steer.Pin) {
	all := slices.Concat(own, received)
	for id, set := range p.pinReceivers {
		pins := own
		if set == allPins {
			pins = all
		}
		if to := p.byID[id]; to != nil && len(pins) > 0 {
			go p.host.postPins(to.address, pins)
		}
	}
	clear(p.pinReceivers)
	if p.host.leaving.Load() {
		p.pendingPins = append(p.pendingPins, all...)
	}
}

// sendPins sends the pending pins to the hosts that routers may move flows to.
// Each datagram contains at most maxPinsPerDigest pins.
func (p *peers) sendPins(now time.Duration, c *control) {
	pins := p.pendingPins
	p.pendingPins = nil
	targets := p.rerouteTargets(now)
	for chunk := range slices.Chunk(pins, maxPinsPerDigest) {
		d := p.newDigest(now, c, 0)
		d.Pins = chunk
		for _, id := range targets {
			p.sendDigest(d, p.byID[id].address)
		}
	}
}

// postPins hands pins over to a host, with retries.
func (h *Host) postPins(to netip.AddrPort, pins []steer.Pin) {
	for chunk := range slices.Chunk(pins, maxPinsPerRequest) {
		var err error
		for attempt := range handOverAttempts {
			if attempt > 0 {
				time.Sleep(initialRetryDelay)
			}
			if err = h.postJSON(to, pinsPath, chunk); err == nil {
				break
			}
		}
		if err != nil {
			h.log.Warn("pins: not handed over", zap.Stringer("peer", to), zap.Int("pins", len(chunk)), zap.Error(err))
			return
		}
	}
	h.log.Info("pins: handed over", zap.Stringer("peer", to), zap.Int("pins", len(pins)))
}

// postJSON sends v to a path of another host.
func (h *Host) postJSON(to netip.AddrPort, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return eris.Wrapf(err, "encode the body for %s", path)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "send to %s%s", to, path)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "send to %s%s", to, path)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("send to %s%s: status %d", to, path, resp.StatusCode)
	}
	return nil
}

// servePins receives the pins that another host hands over.
func (h *Host) servePins(w http.ResponseWriter, r *http.Request) {
	var pins []steer.Pin
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPinsRequestSize)).Decode(&pins); err != nil {
		h.rejectMessage(r.RemoteAddr, err)
		http.Error(w, "the body is not a list of pins", http.StatusBadRequest)
		return
	}
	h.receivePins(r.RemoteAddr, pins)
	h.traffic.wake()
	w.WriteHeader(http.StatusNoContent)
}

package marked

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

const (
	// maxReceivedPins is the number of queued pins from which further ones are
	// dropped.
	maxReceivedPins = 4096
	// pinAnnounceInterval is the minimum interval at which all pins are
	// announced, since many hosts may join at the same time.
	pinAnnounceInterval = time.Second
)

// addReceivedPins queues pins of another host for the traffic loop. It is safe
// for concurrent use.
func (t *traffic) addReceivedPins(pins []steer.Pin) {
	t.receivedMu.Lock()
	defer t.receivedMu.Unlock()
	if len(t.receivedPins) < maxReceivedPins {
		t.receivedPins = append(t.receivedPins, pins...)
	}
}

// exchangePins adds the received pins to the table. If all pins of this host have
// been requested, it announces them.
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
		t.nextPinAnnounce = now + pinAnnounceInterval
		if pins := t.table.Pins(); len(pins) > 0 {
			t.announcePins(pins)
		}
	}
}

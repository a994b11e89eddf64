package marked

import (
	"time"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

const (
	// maxTold bounds the pins that wait for the loop.
	maxTold = 4096
	// retellEvery is how often all pins are told at most: hosts may join in
	// numbers.
	retellEvery = time.Second
)

// hear keeps pins of another host for the loop. Any thread may call it.
func (t *traffic) hear(pins []steer.Pin) {
	t.toldMu.Lock()
	defer t.toldMu.Unlock()
	if len(t.told) < maxTold {
		t.told = append(t.told, pins...)
	}
}

// takeTold gives the table the pins of other hosts.
func (t *traffic) takeTold(now time.Duration) {
	t.toldMu.Lock()
	told := t.told
	t.told = nil
	t.toldMu.Unlock()
	for _, p := range told {
		t.table.AddPin(now, p)
	}
	if now >= t.retellAt && t.wanted.Swap(false) {
		t.retellAt = now + retellEvery
		if pins := t.table.Pins(); len(pins) > 0 {
			t.tell(pins)
		}
	}
}

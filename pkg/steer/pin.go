package steer

import "time"

// Pin says at which server a flow opened whose SYN went to more than one. The
// marks of such a flow's packets may name a server at which it did not open, so
// a host that did not see it open has to be told.
type Pin struct {
	Key Key
	// Mark is that of the server at which the flow opened.
	Mark uint32
}

// tellPin has other hosts told of a flow, once: a mark of another server shows
// that this server answered too.
func (t *Table) tellPin(f *flow) {
	if !f.told {
		f.told = true
		t.pins = append(t.pins, Pin{Key: f.key, Mark: f.pinned})
	}
}

// TakePins returns the pins that other hosts are to be told since the last
// call.
func (t *Table) TakePins() []Pin {
	out := t.pins
	t.pins = nil
	return out
}

// Pins returns the pins of all flows that are open.
func (t *Table) Pins() []Pin {
	var out []Pin
	for _, f := range t.flows {
		if (f.tries > 1 || f.told) && f.pinned != 0 && !f.ended {
			out = append(out, Pin{Key: f.key, Mark: f.pinned})
		}
	}
	return out
}

// Told notes a pin of another host.
func (t *Table) Told(now time.Duration, p Pin) {
	if t.flows[p.Key] != nil || len(t.flows) >= t.set.MaxFlows {
		return
	}
	f := t.newFlow(&Packet{Key: p.Key}, "", nil)
	f.tried[0] = p.Mark
	f.tries = 2
	f.pinned = p.Mark
	f.told = true
	f.lastAt = now
}

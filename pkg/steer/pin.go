package steer

import "time"

// Pin names the server at which a flow opened whose SYN was sent to more than
// one server. Packets of such a flow may carry the mark of a server at which it
// did not open, so hosts that did not see it open need the pin.
type Pin struct {
	Key Key
	// Mark is the mark of the server at which the flow opened.
	Mark uint32
}

// announcePin queues the pin of a flow for other hosts, once. It is called when
// a packet with the mark of another server shows that this server answered too,
// or when the flow opens and may be rerouted before such a packet arrives.
func (t *Table) announcePin(f *flow) {
	if !f.pinAnnounced {
		f.pinAnnounced = true
		t.newPins = append(t.newPins, Pin{Key: f.key, Mark: f.pinnedMark})
	}
}

// TakePins returns the pins to announce to other hosts since the last call.
func (t *Table) TakePins() []Pin {
	out := t.newPins
	t.newPins = nil
	return out
}

// Pins returns the pins of all open flows that have one. own are those that this
// host found out, and received those that other hosts announced.
func (t *Table) Pins() (own, received []Pin) {
	for _, f := range t.flows {
		if !f.isSplit() || f.pinnedMark == 0 || f.ended {
			continue
		}
		p := Pin{Key: f.key, Mark: f.pinnedMark}
		if f.pinReceived {
			received = append(received, p)
		} else {
			own = append(own, p)
		}
	}
	return own, received
}

// AddPin records a pin that another host announced. It ignores the pin if the
// table is full or if this host saw the flow open.
func (t *Table) AddPin(now time.Duration, p Pin) {
	f := t.flows[p.Key]
	if f != nil && !f.adopted && f.pinnedMark != 0 {
		return
	}
	if f == nil {
		if len(t.flows) >= t.settings.MaxFlows {
			return
		}
		f = t.newFlow(&Packet{Key: p.Key}, "", nil)
	}
	t.unhold(f)
	f.triedMarks[0] = p.Mark
	f.tries = max(f.tries, 2) // At least two servers got the SYN.
	f.pinnedMark = p.Mark
	f.pinAnnounced, f.pinReceived = true, true
	f.lastPacketAt = now
}

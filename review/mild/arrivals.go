//go:build review

package main

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// reorderTime is FlowReorderMs of the site, and strayPackets the number of packets
	// that break the rule FLOW (b) in that time.
	reorderTime  = 2 * time.Second
	strayPackets = 3
)

// packetArrival is the arrival of a packet at a server.
type packetArrival struct {
	at     time.Time
	server *server
}

// arrivalLog holds the arrivals of packets after the SYN, by the requester's end of
// the flow.
type arrivalLog struct {
	mu     sync.Mutex
	byFlow map[netip.AddrPort][]packetArrival
}

func (l *arrivalLog) add(requester netip.AddrPort, s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byFlow[requester] = append(l.byFlow[requester], packetArrival{time.Now(), s})
}

// strayed reports whether, for reorderTime, strayPackets or more of the flow's packets
// reached other servers than its own and none its own, and names one of the others.
func (l *arrivalLog) strayed(requester netip.AddrPort, own *server, until time.Time) (other *server, strayed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals := l.byFlow[requester]
	for i, first := range arrivals {
		if first.server == own || until.Sub(first.at) < reorderTime {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) > reorderTime {
				break
			}
			if a.server == own {
				count = 0
				break
			}
			count++
		}
		if count >= strayPackets {
			return first.server, true
		}
	}
	return nil, false
}

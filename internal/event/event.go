// Package event records the events of a host in a bounded buffer and merges
// the events of several hosts into one timeline.
package event

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// Started, Ready, Stopping and Stopped are stages of the host's own process.
	// A host is Ready when it takes traffic.
	Started  Kind = "started"
	Ready    Kind = "ready"
	Stopping Kind = "stopping"
	Stopped  Kind = "stopped"
	// Joined, Lost, Left and Leaving report a change of the host Peer. A Lost host
	// is considered dead because it stopped sending messages. A Leaving host is
	// shutting down, and a Left host announced that it has stopped.
	Joined  Kind = "joined"
	Lost    Kind = "lost"
	Left    Kind = "left"
	Leaving Kind = "leaving"
	// Adopted reports that a configuration revision is in force on the host.
	Adopted Kind = "adopted"
	// Accepted and Refused report the result of an operator's edit.
	Accepted Kind = "accepted"
	Refused  Kind = "refused"
	// Ejected reports a server that gets no new work for a time, because requests
	// or dials failed in a row.
	Ejected Kind = "ejected"
	// Drained reports that a stopping host has drained its flows, connections
	// and requests or that the drain timeout has passed. Hosts do not report
	// Draining; a drain starts with Stopping.
	Draining Kind = "draining"
	Drained  Kind = "drained"
	// Shed reports a request or connection that was refused without being run.
	Shed Kind = "shed"
	// UnresponsiveEnded reports a flow that was ended because its server does not
	// reply to it, although it replies to other flows.
	UnresponsiveEnded Kind = "silentEnded"
	// Alarm reports a fault that needs an operator.
	Alarm Kind = "alarm"
	// PlatformDown and PlatformRecovered report that the platform is unavailable
	// and available again.
	PlatformDown      Kind = "platformDown"
	PlatformRecovered Kind = "platformBack"
	// StoreRestored reports that the platform's store was restored from an older
	// copy.
	StoreRestored Kind = "storeRestored"
	// Quarantined reports a server that gets no traffic yet, because its address
	// belonged to another service until recently.
	Quarantined Kind = "quarantined"
	// OutcomeUnknown reports a request for which the host cannot know whether a
	// server ran it.
	OutcomeUnknown Kind = "outcomeUnsure"
	// Evacuated and EvacuationEnded report that servers of the data centre in Cause
	// get no new flows from the host, and that they do again.
	Evacuated       Kind = "evacuated"
	EvacuationEnded Kind = "evacuationEnded"
)

// Event is an entry of the timeline.
type Event struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	// Sequence is the number of the event since the start of the host's process,
	// from 1.
	Sequence uint64 `json:"sequence"`
	// At is the wall-clock time of the event.
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Service, Server and Peer are the names of those concerned, empty if the
	// event concerns none. Peer is another host.
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Revision is the configuration revision concerned, 0 if there is none.
	Revision uint64 `json:"revision,omitempty"`
	// Cause describes the cause in a few words.
	Cause string `json:"cause,omitempty"`
	// Count is the number of events that were coalesced into this one, itself
	// included, or 0 if there was only one.
	Count int `json:"count,omitempty"`
}

// Ring holds the most recent events of a host. It is safe for concurrent use.
type Ring struct {
	mu           sync.Mutex
	host         string
	dataCentre   string
	events       []Event
	lastSequence uint64
	maxEvents    int
	added        chan struct{}
	lastAdded    map[coalesceKey]time.Time
}

// coalesceKey identifies events that may be coalesced into one.
type coalesceKey struct {
	kind            Kind
	service, server string
}

const (
	// defaultMaxEvents is the maximum number of events in a ring. A full ring
	// discards its oldest quarter.
	defaultMaxEvents = 4096
	// coalesceWindow is the time after an event during which events of the same
	// kind, service and server are coalesced into it.
	coalesceWindow = time.Second
)

// NewRing returns an empty ring for a host.
func NewRing(host, dataCentre string) *Ring {
	return &Ring{host: host, dataCentre: dataCentre, maxEvents: defaultMaxEvents,
		added: make(chan struct{}), lastAdded: map[coalesceKey]time.Time{}}
}

// Add adds an event and sets its host, data centre, sequence and time. Events
// of the kinds Shed, UnresponsiveEnded and OutcomeUnknown come in bursts: those
// of one service and server within a second are coalesced into one event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if e.Kind == Shed || e.Kind == UnresponsiveEnded || e.Kind == OutcomeUnknown {
		if r.coalesce(now, &e) {
			return
		}
	}
	r.lastSequence++
	e.Host = r.host
	e.DataCentre = r.dataCentre
	e.Sequence = r.lastSequence
	e.At = now
	r.events = append(r.events, e)
	if len(r.events) > r.maxEvents {
		r.events = slices.Delete(r.events, 0, r.maxEvents/4)
	}
	close(r.added)
	r.added = make(chan struct{})
}

// coalesce adds e to the count of an earlier event and reports whether there
// was one within the window. The caller must hold the lock.
func (r *Ring) coalesce(now time.Time, e *Event) bool {
	k := coalesceKey{e.Kind, e.Service, e.Server}
	if now.Sub(r.lastAdded[k]) >= coalesceWindow {
		r.lastAdded[k] = now
		return false
	}
	for i := len(r.events) - 1; i >= 0; i-- {
		p := &r.events[i]
		if p.Kind == e.Kind && p.Service == e.Service && p.Server == e.Server {
			p.Count = max(p.Count, 1) + 1
			return true
		}
	}
	return false
}

// Filter selects events. A zero field matches all events.
type Filter struct {
	// Since selects the events at or after this time.
	Since   time.Time
	Service string
	Kind    Kind
	Host    string
	// After selects the events with a higher sequence.
	After uint64
}

// Match reports whether the filter selects an event.
func (f *Filter) Match(e *Event) bool {
	return !e.At.Before(f.Since) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Host == "" || f.Host == e.Host) &&
		e.Sequence > f.After
}

// List returns the events that the filter selects, oldest first, and a channel
// that is closed when the next event is added. Coalesced events do not close
// the channel.
func (r *Ring) List(f Filter) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		if f.Match(&r.events[i]) {
			out = append(out, r.events[i])
		}
	}
	return out, r.added
}

// Merge merges lists of events and orders them by time, then by host and
// sequence.
func Merge(lists ...[]Event) []Event {
	var out []Event
	for _, l := range lists {
		out = append(out, l...)
	}
	slices.SortFunc(out, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Sequence, b.Sequence))
	})
	return out
}

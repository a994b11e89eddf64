// Package event keeps the time line: typed events of one host in a bounded
// ring, from which the time line of all hosts is merged.
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
	Started           Kind = "started"
	Ready             Kind = "ready"
	Stopping          Kind = "stopping"
	Stopped           Kind = "stopped"
	Joined            Kind = "joined"
	Lost              Kind = "lost"
	Left              Kind = "left"
	Leaving           Kind = "leaving"
	Adopted           Kind = "adopted"
	Accepted          Kind = "accepted"
	Refused           Kind = "refused"
	Ejected           Kind = "ejected"
	Draining          Kind = "draining"
	Drained           Kind = "drained"
	Shed              Kind = "shed"
	UnresponsiveEnded Kind = "silentEnded"
	Alarm             Kind = "alarm"
	PlatformDown      Kind = "platformDown"
	PlatformRecovered Kind = "platformBack"
	Quarantined       Kind = "quarantined"
	OutcomeUnknown    Kind = "outcomeUnsure"
)

// Event is one entry of the time line.
type Event struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	// Sequence grows by one with each event of the host's process.
	Sequence uint64 `json:"sequence"`
	// At is the wall time.
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Service, Server and Peer are names, where they apply.
	Service string `json:"service,omitempty"`
	Server  string `json:"server,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Revision is a configuration's revision, where it applies.
	Revision uint64 `json:"revision,omitempty"`
	// Cause says why, in a short sentence.
	Cause string `json:"cause,omitempty"`
	// Count is how many such events this one stands for, if more than one.
	Count int `json:"count,omitempty"`
}

// Ring keeps the latest events of one host. It is safe for concurrent use.
type Ring struct {
	mu         sync.Mutex
	host       string
	dataCentre string
	events     []Event
	next       uint64
	limit      int
	added      chan struct{}
	last       map[mergeKey]time.Time
}

// mergeKey names events that come in floods.
type mergeKey struct {
	kind            Kind
	service, server string
}

const (
	defaultLimit = 4096
	// mergeWithin is the time in which events of a flood count as one.
	mergeWithin = time.Second
)

// NewRing returns an empty ring for a host.
func NewRing(host, dataCentre string) *Ring {
	return &Ring{host: host, dataCentre: dataCentre, limit: defaultLimit,
		added: make(chan struct{}), last: map[mergeKey]time.Time{}}
}

// Add adds an event; host, sequence and time are filled in. Sheds, ended
// silent flows and unsure outcomes come in floods; within a second they are
// counted in one event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if e.Kind == Shed || e.Kind == UnresponsiveEnded || e.Kind == OutcomeUnknown {
		if r.merged(now, &e) {
			return
		}
	}
	r.next++
	e.Host = r.host
	e.DataCentre = r.dataCentre
	e.Sequence = r.next
	e.At = now
	r.events = append(r.events, e)
	if len(r.events) > r.limit {
		r.events = slices.Delete(r.events, 0, r.limit/4)
	}
	close(r.added)
	r.added = make(chan struct{})
}

// merged counts an event in an earlier one. The lock is held.
func (r *Ring) merged(now time.Time, e *Event) bool {
	k := mergeKey{e.Kind, e.Service, e.Server}
	if now.Sub(r.last[k]) >= mergeWithin {
		r.last[k] = now
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

// Filter selects events. Zero fields select all.
type Filter struct {
	Since   time.Time
	Service string
	Kind    Kind
	Host    string
	// After selects events with a higher sequence.
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

// List returns the events that a filter selects, oldest first, and a channel
// that is closed when another event was added.
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

// Merge orders the events of several hosts by time, then by host and
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

//go:build review

package main

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// checkInterval is the interval of readiness checks. After maxMisses misses a
// host is out of rotation.
const (
	checkInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// routedHost is a host as the routers see it.
type routedHost struct {
	name, zone     string
	packets, ready netip.AddrPort
	misses         int
	inRotation     bool
}

// router forwards the packets of requesters to the hosts of their zone, by a
// hash of the flow's addresses over the hosts in rotation.
type router struct {
	record *record
	// modulo selects the hash by which nearly all flows move when a host joins or
	// leaves.
	modulo bool
	mu     sync.Mutex
	hosts  []*routedHost
	done   chan struct{}
}

func startRouter(rec *record) *router {
	r := &router{record: rec, done: make(chan struct{})}
	go r.checkLoop()
	return r
}

func (r *router) close() { close(r.done) }

func (r *router) add(h *routedHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append(r.hosts, h)
}

// inRotation returns the number of hosts in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.hosts {
		if h.inRotation {
			n++
		}
	}
	return n
}

// checkLoop checks the readiness of all hosts twice a second.
func (r *router) checkLoop() {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		hosts := append([]*routedHost(nil), r.hosts...)
		r.mu.Unlock()
		var checks sync.WaitGroup
		for _, h := range hosts {
			checks.Go(func() { r.check(client, h) })
		}
		checks.Wait()
		select {
		case <-r.done:
			return
		case <-ticker.C:
		}
	}
}

func (r *router) check(client *http.Client, h *routedHost) {
	resp, err := client.Get("http://" + h.ready.String() + "/readiness")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := h.inRotation
	if ready {
		h.misses, h.inRotation = 0, true
	} else if h.misses++; h.misses >= maxMisses {
		h.inRotation = false
	}
	if was != h.inRotation {
		r.record.line("routers: %s in rotation: %v", h.name, h.inRotation)
	}
}

// candidates returns the hosts that get the packets of a zone's requesters.
func (r *router) candidates(zone string) []*routedHost {
	var own, ownReady, otherReady []*routedHost
	for _, h := range r.hosts {
		if h.zone == zone {
			own = append(own, h)
		}
		switch {
		case !h.inRotation:
		case h.zone == zone:
			ownReady = append(ownReady, h)
		default:
			otherReady = append(otherReady, h)
		}
	}
	switch {
	case len(ownReady) == 0:
		return otherReady
	case 2*len(ownReady) < len(own):
		return own
	}
	return ownReady
}

// route returns the host for a packet of a requester in a zone, or nil.
func (r *router) route(zone string, source, destination netip.AddrPort) *routedHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := r.candidates(zone)
	if len(hosts) == 0 {
		return nil
	}
	key := rendez.Hash(source.String() + destination.String())
	if r.modulo {
		return hosts[key%uint64(len(hosts))]
	}
	ids := make([]uint64, len(hosts))
	for i, h := range hosts {
		ids[i] = rendez.Hash(h.name)
	}
	return hosts[rendez.Owner(key, ids)]
}

package fakes

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/pkg/store"
)

// PlatformFaults says how a Platform misbehaves. The zero value behaves.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool
	// Delay holds every call back.
	Delay time.Duration
	// LoseAnswers drops the answers of that many writes after they took
	// effect.
	LoseAnswers int
	// CallsPerSecond refuses calls over the rate; 0 is no limit.
	CallsPerSecond int
}

// Platform is a stand-in for the platform's key-value service. It is an
// http.Handler and safe for concurrent use.
type Platform struct {
	mu      sync.Mutex
	faults  PlatformFaults
	values  map[string]platformValue
	hosts   []store.Host
	version uint64
	changed chan struct{}
	calls   int
	window  time.Time
	inside  int
}

type platformValue struct {
	data    []byte
	version uint64
	// expires is zero for a value without a lease.
	expires time.Time
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{values: map[string]platformValue{}, changed: make(chan struct{})}
}

// SetFaults changes how the platform misbehaves.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetHosts sets the list of hosts.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// Calls returns how many calls were received.
func (p *Platform) CallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Keys returns how many keys are stored.
func (p *Platform) KeyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	return len(p.values)
}

// Snapshot returns a function that makes the platform go back to its present
// state. Versions go on growing, as after a restore from a backup.
func (p *Platform) Snapshot() (restore func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	saved := maps.Clone(p.values)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.values = maps.Clone(saved)
		for k, v := range p.values {
			p.version++
			v.version = p.version
			p.values[k] = v
		}
		p.wake()
	}
}

// ServeHTTP handles one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	f := p.faults
	over := p.overRate()
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case f.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case over:
		http.Error(w, "rate", http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*store.MaxValueBytes))
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/get":
		p.get(w, body)
	case "/v1/swap":
		p.swap(w, body)
	case "/v1/renew":
		p.renew(w, body)
	case "/v1/watch":
		p.watch(w, r, body)
	case "/v1/hosts":
		p.listHosts(w)
	default:
		http.NotFound(w, r)
	}
}

// overRate counts a call in the present second. The lock is held.
func (p *Platform) overRate() bool {
	now := time.Now()
	if now.Sub(p.window) >= time.Second {
		p.window = now
		p.inside = 0
	}
	p.inside++
	return p.faults.CallsPerSecond > 0 && p.inside > p.faults.CallsPerSecond
}

// expire removes values whose lease has run out. The lock is held.
func (p *Platform) expire() {
	now := time.Now()
	for k, v := range p.values {
		if !v.expires.IsZero() && now.After(v.expires) {
			delete(p.values, k)
		}
	}
}

// wake wakes the watches. The lock is held.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// load returns a value as clients see it. The lock is held.
func (p *Platform) load(key string) store.Value {
	p.expire()
	v, ok := p.values[key]
	if !ok {
		return store.Value{}
	}
	return store.Value{Data: v.data, Version: v.version, Leased: !v.expires.IsZero()}
}

func (p *Platform) get(w http.ResponseWriter, body []byte) {
	var in struct {
		Key string `json:"key"`
	}
	if !decode(w, body, &in) {
		return
	}
	p.mu.Lock()
	v := p.load(in.Key)
	p.mu.Unlock()
	reply(w, v)
}

func (p *Platform) swap(w http.ResponseWriter, body []byte) {
	var in struct {
		Key     string        `json:"key"`
		Value   []byte        `json:"value"`
		Version uint64        `json:"version"`
		Lease   time.Duration `json:"lease"`
		Delete  bool          `json:"delete"`
	}
	if !decode(w, body, &in) {
		return
	}
	if len(in.Value) > store.MaxValueBytes {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	if p.load(in.Key).Version != in.Version {
		p.mu.Unlock()
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	p.version++
	version := p.version
	if in.Delete {
		delete(p.values, in.Key)
	} else {
		v := platformValue{data: in.Value, version: version}
		if in.Lease > 0 {
			v.expires = time.Now().Add(in.Lease)
		}
		p.values[in.Key] = v
	}
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.wake()
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, struct {
		Version uint64 `json:"version"`
	}{version})
}

func (p *Platform) renew(w http.ResponseWriter, body []byte) {
	var in struct {
		Key     string        `json:"key"`
		Version uint64        `json:"version"`
		Lease   time.Duration `json:"lease"`
	}
	if !decode(w, body, &in) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.load(in.Key); v.Version != in.Version || v.Version == 0 {
		http.Error(w, "gone", http.StatusGone)
		return
	}
	v := p.values[in.Key]
	v.expires = time.Now().Add(in.Lease)
	p.values[in.Key] = v
	reply(w, struct{}{})
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, body []byte) {
	var in struct {
		Key   string        `json:"key"`
		After uint64        `json:"after"`
		Wait  time.Duration `json:"wait"`
	}
	if !decode(w, body, &in) {
		return
	}
	timeout := time.NewTimer(in.Wait)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		v := p.load(in.Key)
		changed := p.changed
		down := p.faults.Down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if v.Version > in.After {
			reply(w, v)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) listHosts(w http.ResponseWriter) {
	p.mu.Lock()
	hosts := p.hosts
	p.mu.Unlock()
	reply(w, struct {
		Hosts []store.Host `json:"hosts"`
	}{hosts})
}

func decode(w http.ResponseWriter, body []byte, v any) bool {
	if err := json.Unmarshal(body, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

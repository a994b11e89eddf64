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

// PlatformFaults are the faults that a Platform injects. The zero value injects
// none.
type PlatformFaults struct {
	// Down makes the platform answer every call with status 503.
	Down bool
	// Delay is the delay before a call is processed.
	Delay time.Duration
	// LoseAnswers is the number of writes that still take effect without an
	// answer: their connections are aborted.
	LoseAnswers int
	// CallsPerSecond is the rate limit. Calls above it are answered with status
	// 429. The value 0 means no limit.
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
	// changed is closed and replaced by each write and each restore.
	changed chan struct{}
	calls   int
	// windowCalls is the number of calls since windowStart, for the rate limit.
	windowStart time.Time
	windowCalls int
}

// platformValue is a stored value.
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

// SetFaults sets the faults that the platform injects.
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

// CallCount returns the number of calls received.
func (p *Platform) CallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// KeyCount returns the number of stored keys.
func (p *Platform) KeyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired()
	return len(p.values)
}

// Snapshot returns a function that restores the current keys and values. A
// restore assigns new, higher versions to them, as a restore from a backup does.
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
		p.notifyWatches()
	}
}

// ServeHTTP handles one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls++
	faults := p.faults
	exceeded := p.exceedsRate()
	p.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case exceeded:
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
		p.compareAndSwap(w, body)
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

// exceedsRate counts a call in the current window of a second and reports
// whether it exceeds the rate limit. The lock must be held.
func (p *Platform) exceedsRate() bool {
	now := time.Now()
	if now.Sub(p.windowStart) >= time.Second {
		p.windowStart = now
		p.windowCalls = 0
	}
	p.windowCalls++
	return p.faults.CallsPerSecond > 0 && p.windowCalls > p.faults.CallsPerSecond
}

// removeExpired removes the values whose lease has expired. The lock must be
// held.
func (p *Platform) removeExpired() {
	now := time.Now()
	for k, v := range p.values {
		if !v.expires.IsZero() && now.After(v.expires) {
			delete(p.values, k)
		}
	}
}

// notifyWatches makes waiting watches check their keys. The lock must be held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// lookup returns the value of a key in the form that clients receive. The lock
// must be held.
func (p *Platform) lookup(key string) store.Value {
	p.removeExpired()
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
	v := p.lookup(in.Key)
	p.mu.Unlock()
	reply(w, v)
}

func (p *Platform) compareAndSwap(w http.ResponseWriter, body []byte) {
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
	if p.lookup(in.Key).Version != in.Version {
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
	loseAnswer := p.faults.LoseAnswers > 0
	if loseAnswer {
		p.faults.LoseAnswers--
	}
	p.notifyWatches()
	p.mu.Unlock()
	if loseAnswer {
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
	if v := p.lookup(in.Key); v.Version != in.Version || v.Version == 0 {
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
		v := p.lookup(in.Key)
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

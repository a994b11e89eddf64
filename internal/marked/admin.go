package marked

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// askTimeout bounds the wait for each host's answer to an operator.
const askTimeout = 1500 * time.Millisecond

// peerHandler answers other hosts.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", h.stateHandler)
	mux.HandleFunc("GET "+remnantsPath, h.remnantsHandler)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { h.writeJSON(w, h.Status()) })
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		events, _ := h.events.List(filterOf(r))
		h.writeJSON(w, events)
	})
	return mux
}

// adminHandler answers operators.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/status", func(w http.ResponseWriter, r *http.Request) { h.writeJSON(w, h.cluster(r.Context())) })
	mux.HandleFunc("GET /api/events", h.serveEvents)
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (h *Host) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		h.log.Debug("admin: an answer was not written", zap.Error(err))
	}
}

// Status returns what this host knows.
func (h *Host) Status() *wire.HostStatus {
	s := &wire.HostStatus{
		Name: h.set.Name, DataCentre: h.set.DataCentre, At: time.Now(), Started: h.started,
		Leaving: h.leaving.Load(), PlatformDown: h.storeAway.Load(),
		Flows: int(h.traffic.counters.Flows.Load()), Members: []wire.MemberStatus{}, Services: []wire.ServiceStatus{},
	}
	if p := h.published.Load(); p != nil {
		s.Revision = p.view.DocumentVersion
		s.InForceSince = h.started.Add(p.confirmed)
	} else {
		s.Alarm = "no configuration is known: neither the store nor a peer gave one"
	}
	h.call(func(c *control) {
		for _, p := range c.peers.known {
			m := wire.MemberStatus{Name: p.name, Address: p.address.String(), Health: "alive", Revision: p.revision}
			if h.now()-p.heardAt > staleDigest {
				m.Health = "silent"
			}
			s.Members = append(s.Members, m)
		}
	})
	s.Services = services(h.traffic.report.Load())
	addLimits(s.Services, h.traffic.lanes.Load())
	return s
}

// addLimits notes what waits and is limited in the services' status.
func addLimits(services []wire.ServiceStatus, lanes *[]steer.ServiceReport) {
	if lanes == nil {
		return
	}
	for _, l := range *lanes {
		i := slices.IndexFunc(services, func(s wire.ServiceStatus) bool { return s.Name == l.Service })
		if i >= 0 {
			services[i].Limit, services[i].Waiting = l.Limit, l.Waiting
		}
	}
}

// services puts a report of servers into the form that operators see.
func services(r *[]steer.ServerReport) []wire.ServiceStatus {
	out := []wire.ServiceStatus{}
	if r == nil {
		return out
	}
	for _, s := range *r {
		if len(out) == 0 || out[len(out)-1].Name != s.Service {
			out = append(out, wire.ServiceStatus{Name: s.Service, Protocol: conf.UDP})
		}
		service := &out[len(out)-1]
		service.Slots += s.Slots
		service.Running += s.InFlight
		service.Servers = append(service.Servers, wire.ServerStatus{
			Name: s.ID, State: conf.Active, Load: s.InFlight, Slots: s.Slots, Unresponsive: s.UnansweredSyns > 0, Warming: s.Warming, Slow: s.Slow,
		})
	}
	return out
}

// cluster asks all hosts that this one knows for their status.
func (h *Host) cluster(ctx context.Context) *wire.ClusterStatus {
	own := h.Status()
	out := &wire.ClusterStatus{From: h.set.Name, Hosts: []wire.HostView{{Name: own.Name, DataCentre: own.DataCentre, Status: own}}}
	var mu sync.Mutex
	h.eachPeer(func(name string, a netip.AddrPort) {
		v := wire.HostView{Name: name}
		status := &wire.HostStatus{}
		if err := h.askPeer(ctx, a, "/status", status); err != nil {
			v.Error = err.Error()
		} else {
			v.Name, v.DataCentre, v.Status = status.Name, status.DataCentre, status
		}
		mu.Lock()
		defer mu.Unlock()
		out.Hosts = append(out.Hosts, v)
	})
	for _, v := range out.Hosts {
		if v.Status != nil {
			out.Latest = max(out.Latest, v.Status.Revision)
		}
	}
	slices.SortFunc(out.Hosts, func(a, b wire.HostView) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// eachPeer calls f for all known hosts at once and waits.
func (h *Host) eachPeer(f func(name string, a netip.AddrPort)) {
	type target struct {
		name    string
		address netip.AddrPort
	}
	var targets []target
	h.call(func(c *control) {
		for _, p := range c.peers.known {
			name := p.name
			if name == "" {
				name = p.address.String()
			}
			targets = append(targets, target{name, p.address})
		}
	})
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() { f(t.name, t.address) })
	}
	group.Wait()
}

// askPeer gets a JSON value from another host.
func (h *Host) askPeer(ctx context.Context, a netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return getJSON(ctx, h.client, a, path, out)
}

// filterOf reads the filter of a request for events.
func filterOf(r *http.Request) event.Filter {
	q := r.URL.Query()
	f := event.Filter{Service: q.Get("service"), Kind: event.Kind(q.Get("kind")), Host: q.Get("host")}
	if since, err := time.Parse(time.RFC3339Nano, q.Get("since")); err == nil {
		f.Since = since
	}
	return f
}

// serveEvents gives the time line of all hosts.
func (h *Host) serveEvents(w http.ResponseWriter, r *http.Request) {
	var out struct {
		Events []event.Event `json:"events"`
		Silent []string      `json:"silent"`
	}
	own, _ := h.events.List(filterOf(r))
	lists := [][]event.Event{own}
	var mu sync.Mutex
	h.eachPeer(func(name string, a netip.AddrPort) {
		var events []event.Event
		err := h.askPeer(r.Context(), a, "/events?"+r.URL.RawQuery, &events)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			out.Silent = append(out.Silent, name)
			return
		}
		lists = append(lists, events)
	})
	out.Events = event.Merge(lists...)
	h.writeJSON(w, out)
}

// serveMetrics writes all metrics in the text format of Prometheus.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	c := &h.traffic.counters
	for _, m := range []struct {
		name  string
		value *atomic.Uint64
	}{
		{`lagoonramp_packets_received_total`, &c.Received},
		{`lagoonramp_packets_forwarded_total`, &c.Forwarded},
		{`lagoonramp_packets_malformed_total`, &c.Malformed},
		{`lagoonramp_packets_unsent_total`, &c.Unsent},
		{`lagoonramp_packets_stale_total`, &c.Stale},
		{`lagoonramp_flows_resent_total`, &c.Resent},
		{`lagoonramp_flows_held_total`, &c.Held},
		{`lagoonramp_flows_refused_total`, &c.Refused},
		{`lagoonramp_store_calls_total`, &h.storeCalls},
		{`lagoonramp_store_errors_total`, &h.storeErrors},
		{`lagoonramp_peer_fetches_total`, &h.fetches},
		{`lagoonramp_peer_datagrams_total`, &h.digestsSent},
	} {
		metrics.WriteCounterUint64(w, m.name, m.value.Load())
	}
	for r := steer.NoView; r <= steer.UnknownMark; r++ {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_packets_dropped_total{reason=%q}`, r), c.Dropped[r].Load())
	}
	metrics.WriteGaugeUint64(w, `lagoonramp_flows`, c.Flows.Load())
	metrics.WriteCounterUint64(w, `lagoonramp_log_lines_dropped_total`, h.set.DroppedLogLines())
	if p := h.published.Load(); p != nil {
		metrics.WriteGaugeUint64(w, `lagoonramp_configuration_revision`, p.view.DocumentVersion)
		metrics.WriteGaugeUint64(w, `lagoonramp_store_revision`, p.view.StoreRevision)
		metrics.WriteGaugeFloat64(w, `lagoonramp_view_age_seconds`, (h.now() - p.confirmed).Seconds())
	}
	suspects := map[string]uint64{}
	if r := h.traffic.report.Load(); r != nil {
		for _, s := range *r {
			n := suspects[s.Service]
			if s.UnansweredSyns > 0 {
				n++
			}
			suspects[s.Service] = n
		}
	}
	for service, n := range suspects {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_servers_avoided{service=%q}`, service), n)
	}
	if lanes := h.traffic.lanes.Load(); lanes != nil {
		for _, l := range *lanes {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(`lagoonramp_service_limit{service=%q}`, l.Service), l.Limit)
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_service_busy{service=%q}`, l.Service), uint64(l.InFlight))
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_service_waiting{service=%q}`, l.Service), uint64(l.Waiting))
		}
	}
	h.traffic.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

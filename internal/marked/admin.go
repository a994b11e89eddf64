package marked

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
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

// peerRequestTimeout is the timeout of each request to another host on behalf
// of an operator.
const peerRequestTimeout = 1500 * time.Millisecond

// peerHandler returns the handler of other hosts' requests.
func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", h.serveState)
	mux.HandleFunc("GET "+retainedStatePath, h.serveRetainedState)
	mux.HandleFunc("GET "+keptPath, h.serveKept)
	mux.HandleFunc("POST "+pinsPath, h.servePins)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { h.writeJSON(w, h.Status()) })
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, r *http.Request) {
		events, _ := h.events.List(eventFilter(r))
		h.writeJSON(w, events)
	})
	return mux
}

// adminHandler returns the handler of operators' requests.
func (h *Host) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/status", func(w http.ResponseWriter, r *http.Request) { h.writeJSON(w, h.clusterStatus(r.Context())) })
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
		h.log.Debug("admin: response not written", zap.Error(err))
	}
}

// Status returns the status of this host and what it knows about its peers.
func (h *Host) Status() *wire.HostStatus {
	s := &wire.HostStatus{
		Name: h.settings.Name, DataCentre: h.settings.DataCentre, At: time.Now(), Started: h.started,
		Leaving: h.leaving.Load(), PlatformDown: h.storeUnavailable.Load(),
		Flows: int(h.traffic.counters.Flows.Load()), Members: []wire.MemberStatus{}, Services: []wire.ServiceStatus{},
	}
	if p := h.published.Load(); p != nil {
		s.Revision = p.view.DocumentVersion
		s.InForceSince = h.started.Add(p.confirmedAt)
		s.Evacuated = slices.Sorted(maps.Keys(p.view.Evacuated))
	} else {
		s.Alarm = "no configuration is known: neither the store nor a peer gave one"
	}
	h.callControl(func(c *control) {
		for _, p := range c.peers.byID {
			m := wire.MemberStatus{Name: p.name, Address: p.address.String(), Health: "alive", Revision: p.revision}
			if h.now()-p.lastSeen > unresponsiveAfter {
				m.Health = "silent"
			}
			s.Members = append(s.Members, m)
		}
	})
	s.Services = serviceStatuses(h.traffic.serverReports.Load())
	setLimits(s.Services, h.traffic.serviceReports.Load())
	return s
}

// setLimits sets the limits and the numbers of held SYNs in the status of the
// services.
func setLimits(services []wire.ServiceStatus, reports *[]steer.ServiceReport) {
	if reports == nil {
		return
	}
	for _, report := range *reports {
		i := slices.IndexFunc(services, func(s wire.ServiceStatus) bool { return s.Name == report.Service })
		if i >= 0 {
			services[i].Limit, services[i].Waiting = report.Limit, report.Waiting
		}
	}
}

// serviceStatuses groups a report of servers by service. The report lists the
// servers of a service next to each other.
func serviceStatuses(r *[]steer.ServerReport) []wire.ServiceStatus {
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
			Name: s.ID, State: conf.Active, Load: s.InFlight, Slots: s.Slots, Unresponsive: s.UnansweredSYNs > 0, Warming: s.Warming, Slow: s.Slow,
		})
	}
	return out
}

// clusterStatus requests the status of all known hosts.
func (h *Host) clusterStatus(ctx context.Context) *wire.ClusterStatus {
	own := h.Status()
	out := &wire.ClusterStatus{From: h.settings.Name, Hosts: []wire.HostView{{Name: own.Name, DataCentre: own.DataCentre, Status: own}}}
	var mu sync.Mutex
	h.forEachPeer(func(name string, a netip.AddrPort) {
		v := wire.HostView{Name: name}
		status := &wire.HostStatus{}
		if err := h.getFromPeer(ctx, a, "/status", status); err != nil {
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

// forEachPeer calls f concurrently for all peers and waits for the calls to
// return. A peer without a known name is named by its address.
func (h *Host) forEachPeer(f func(name string, a netip.AddrPort)) {
	type target struct {
		name    string
		address netip.AddrPort
	}
	var targets []target
	h.callControl(func(c *control) {
		for _, p := range c.peers.byID {
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

// getFromPeer gets a JSON value from another host.
func (h *Host) getFromPeer(ctx context.Context, a netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	return getJSON(ctx, h.client, a, path, out)
}

// eventFilter returns the filter that a request for events specifies. It
// ignores an invalid time.
func eventFilter(r *http.Request) event.Filter {
	q := r.URL.Query()
	f := event.Filter{Service: q.Get("service"), Kind: event.Kind(q.Get("kind")), Host: q.Get("host")}
	if since, err := time.Parse(time.RFC3339Nano, q.Get("since")); err == nil {
		f.Since = since
	}
	return f
}

// serveEvents writes the merged events of all hosts and the names of the hosts
// that did not answer.
func (h *Host) serveEvents(w http.ResponseWriter, r *http.Request) {
	var out struct {
		Events []event.Event `json:"events"`
		Silent []string      `json:"silent"`
	}
	own, _ := h.events.List(eventFilter(r))
	lists := [][]event.Event{own}
	var mu sync.Mutex
	h.forEachPeer(func(name string, a netip.AddrPort) {
		var events []event.Event
		err := h.getFromPeer(r.Context(), a, "/events?"+r.URL.RawQuery, &events)
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

// writeByPriority writes a counter of the flows of a priority, unless there were
// none.
func writeByPriority(w io.Writer, name string, priority int, value *atomic.Uint64) {
	if n := value.Load(); n > 0 {
		metrics.WriteCounterUint64(w, fmt.Sprintf("%s{priority=\"%d\"}", name, priority), n)
	}
}

// serveMetrics writes all metrics in the Prometheus text format.
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
		{`lagoonramp_flows_reset_total`, &c.Reset},
		{`lagoonramp_server_probes_total`, &c.Probes},
		{`lagoonramp_flows_adopted_total`, &c.Adopted},
		{`lagoonramp_packets_foreign_mark_total`, &c.ForeignMarks},
		{`lagoonramp_pins_received_total`, &c.PinsReceived},
		{`lagoonramp_pins_announced_total`, &c.PinsAnnounced},
		{`lagoonramp_flows_held_total`, &c.Held},
		{`lagoonramp_flows_refused_total`, &c.Refused},
		{`lagoonramp_store_calls_total`, &h.storeCalls},
		{`lagoonramp_store_errors_total`, &h.storeErrors},
		{`lagoonramp_store_snapshots_total`, &h.snapshotReads},
		{`lagoonramp_peer_fetches_total`, &h.fetches},
		{`lagoonramp_peer_datagrams_total`, &h.digestsSent},
		{`lagoonramp_peer_messages_malformed_total`, &h.malformedMessages},
	} {
		metrics.WriteCounterUint64(w, m.name, m.value.Load())
	}
	for r := steer.NoView; r <= steer.ColdServers; r++ {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_packets_dropped_total{reason=%q}`, r), c.Dropped[r].Load())
	}
	for priority := range priorityCount {
		writeByPriority(w, "lagoonramp_held_flows_total", priority, &c.HeldByPriority[priority])
		writeByPriority(w, "lagoonramp_refused_flows_total", priority, &c.RefusedByPriority[priority])
	}
	metrics.WriteGaugeUint64(w, `lagoonramp_store_era`, h.StoreVersion().Era)
	metrics.WriteGaugeUint64(w, `lagoonramp_store_items_kept`, h.keptItems.Load())
	metrics.WriteGaugeUint64(w, `lagoonramp_flows`, c.Flows.Load())
	metrics.WriteCounterUint64(w, `lagoonramp_log_lines_dropped_total`, h.settings.DroppedLogLines())
	if p := h.published.Load(); p != nil {
		metrics.WriteGaugeUint64(w, `lagoonramp_configuration_revision`, p.view.DocumentVersion)
		metrics.WriteGaugeUint64(w, `lagoonramp_store_revision`, p.view.StoreRevision)
		metrics.WriteGaugeUint64(w, `lagoonramp_data_centres_evacuated`, uint64(len(p.view.Evacuated)))
		metrics.WriteGaugeFloat64(w, `lagoonramp_view_age_seconds`, (h.now() - p.confirmedAt).Seconds())
	}
	avoided := map[string]uint64{}
	if r := h.traffic.serverReports.Load(); r != nil {
		for _, s := range *r {
			n := avoided[s.Service]
			if s.UnansweredSYNs > 0 {
				n++
			}
			avoided[s.Service] = n
		}
	}
	for service, n := range avoided {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_servers_avoided{service=%q}`, service), n)
	}
	if reports := h.traffic.serviceReports.Load(); reports != nil {
		for _, l := range *reports {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(`lagoonramp_service_limit{service=%q}`, l.Service), l.Limit)
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_service_busy{service=%q}`, l.Service), uint64(l.InFlight))
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_service_waiting{service=%q}`, l.Service), uint64(l.Waiting))
		}
	}
	if reports := h.traffic.coldReports.Load(); reports != nil {
		for _, r := range *reports {
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`lagoonramp_cold_servers{service=%q}`, r.Service), uint64(r.Servers))
			metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_cold_flows_total{service=%q}`, r.Service), r.Flows)
			metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_cold_deferred_total{service=%q}`, r.Service), r.Deferred)
			metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_cold_refused_total{service=%q}`, r.Service), r.Refused)
		}
	}
	h.traffic.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

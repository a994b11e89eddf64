package host

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// serveMetrics writes all metrics in the text format of Prometheus.
func (h *Host) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	h.metrics.WritePrometheus(w)
	c := h.plane.Counters()
	for _, m := range []struct {
		name  string
		value *atomic.Uint64
	}{
		{`lagoonramp_datagrams_total{from="caller"}`, &c.FromCallers},
		{`lagoonramp_datagrams_total{from="server"}`, &c.FromServers},
		{`lagoonramp_datagrams_sent_total{to="caller"}`, &c.ToCallers},
		{`lagoonramp_datagrams_sent_total{to="server"}`, &c.ToServers},
		{`lagoonramp_datagrams_forwarded_total`, &c.Forwarded},
		{`lagoonramp_datagrams_malformed_total`, &c.Malformed},
		{`lagoonramp_peer_datagrams_refused_total`, &c.PeerRefused},
		{`lagoonramp_flows_opened_total`, &c.Opened},
		{`lagoonramp_recovery_sent_bytes_total`, &c.ExceptionBytes},
	} {
		metrics.WriteCounterUint64(w, m.name, m.value.Load())
	}
	for r := flow.ReasonIdle; r <= flow.ReasonNoPort; r++ {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_flows_ended_total{reason=%q}`, r), c.Ended[r].Load())
		metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_datagrams_dropped_total{reason=%q}`, r), c.Dropped[r].Load())
	}
	metrics.WriteGaugeUint64(w, `lagoonramp_flows`, uint64(h.plane.PinnedFlows()))
	metrics.WriteCounterUint64(w, `lagoonramp_connections_refused_total`, h.ingress.Refused())
	h.writeServices(w)
	metrics.WriteProcessMetrics(w)
}

// writeServices writes the metrics of http services.
func (h *Host) writeServices(w http.ResponseWriter) {
	r := h.routes.Load()
	if r.adopted != nil {
		metrics.WriteGaugeUint64(w, `lagoonramp_configuration_revision`, r.adopted.Head.Revision)
	}
	for name, s := range r.http {
		st, waiting, running, total := s.Dispatcher().Stats()
		label := fmt.Sprintf(`{service=%q}`, name)
		metrics.WriteGaugeUint64(w, `lagoonramp_requests_waiting`+label, uint64(waiting))
		metrics.WriteGaugeUint64(w, `lagoonramp_requests_running`+label, uint64(running))
		metrics.WriteGaugeUint64(w, `lagoonramp_slots`+label, uint64(total))
		for _, o := range []struct {
			outcome string
			n       uint64
		}{{"answered", st.Answered}, {"notRun", st.NotRun}, {"unknown", st.Unknown}} {
			metrics.WriteCounterUint64(w, fmt.Sprintf(`lagoonramp_requests_total{service=%q,outcome=%q}`, name, o.outcome), o.n)
		}
		metrics.WriteCounterUint64(w, `lagoonramp_request_retries_total`+label, st.Retries)
	}
}

package host

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// hostCallTimeout bounds the wait for the response of each host.
const hostCallTimeout = 1500 * time.Millisecond

// Status returns the status of this host with the status of each service.
func (h *Host) Status() *wire.HostStatus {
	s := h.BriefStatus()
	r := h.routes.Load()
	if r.snapshot == nil {
		return s
	}
	for team, sec := range r.snapshot.Document.Teams {
		for i := range sec.Services {
			s.Services = append(s.Services, r.serviceStatus(team, &sec.Services[i]))
		}
	}
	slices.SortFunc(s.Services, func(a, b wire.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// BriefStatus returns the status of this host without the services, whose number
// may be large.
func (h *Host) BriefStatus() *wire.HostStatus {
	s := &wire.HostStatus{
		Name: h.settings.Name, DataCentre: h.settings.DataCentre, At: time.Now(), Started: h.started,
		Leaving: h.leaving.Load(), PlatformDown: h.platformDown.Load(), Alarm: h.alarm.Load().(string),
		Flows: h.plane.PinnedFlows(), Members: []wire.MemberStatus{}, Services: []wire.ServiceStatus{},
	}
	h.callControl(func() {
		c := &h.control
		s.InForceSince = c.adoptedAt
		for _, m := range c.memb.Members() {
			s.Members = append(s.Members, wire.MemberStatus{Name: m.Name, Address: m.Address,
				Health: m.Health.String(), Leaving: m.Leaving, Revision: c.memb.AppVersion(m.Name)})
		}
	})
	if snapshot := h.routes.Load().snapshot; snapshot != nil {
		s.Revision = snapshot.Head.Revision
	}
	return s
}

// servePeerStatus answers another host's request for the status.
func (h *Host) servePeerStatus(w http.ResponseWriter, r *http.Request) {
	var in wire.StatusRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if in.Brief {
		writeCompressed(w, h.BriefStatus())
		return
	}
	writeCompressed(w, h.Status())
}

// serviceStatus returns the status of a service at this host.
func (r *routes) serviceStatus(team string, s *conf.Service) wire.ServiceStatus {
	out := wire.ServiceStatus{Name: s.Name, Team: team, Protocol: s.Protocol, Servers: []wire.ServerStatus{}}
	load := func(uint64) int { return 0 }
	switch s.Protocol {
	case conf.HTTP:
		if svc := r.http[s.Name]; svc != nil {
			st, waiting, running, total := svc.Dispatcher().Stats()
			out.Waiting, out.Running, out.Slots = waiting, running, total
			out.Offered, out.Answered, out.NotRun, out.Unknown = st.Offered, st.Answered, st.NotRun, st.Unknown
			inFlight := svc.Dispatcher().InFlight()
			load = func(id uint64) int { return inFlight[id] }
		}
	case conf.TCP:
		if svc := r.tcp[s.Name]; svc != nil {
			open := svc.OpenConnections()
			load = func(id uint64) int { return open[id] }
			out.Offered = svc.Accepted.Load()
			out.NotRun = svc.Refused.Load()
		}
	case conf.UDP:
		load = func(id uint64) int {
			if n := r.flowCounts[id]; n != nil {
				return int(n.Load())
			}
			return 0
		}
	}
	for _, v := range s.Servers {
		out.Servers = append(out.Servers, wire.ServerStatus{Name: v.Name, State: v.State,
			Load: load(serverID(s.Name, v.Name)), Slots: v.Slots, Connections: v.Connections, Quarantined: r.quarantined[s.AddressKey(v.Address)]})
	}
	return out
}

// allHosts returns the other hosts, ordered by data centre and name: the members
// in this data centre and the hosts of other data centres in the platform's list.
func (h *Host) allHosts(ctx context.Context) []store.Host {
	if len(*h.foreignHosts.Load()) == 0 {
		h.refreshHostList(ctx)
	}
	out := slices.Clone(*h.foreignHosts.Load())
	h.callControl(func() {
		for _, m := range h.control.memb.Members() {
			if m.Health == memb.Left || m.Health == memb.Seeded {
				continue
			}
			out = append(out, store.Host{Name: m.Name, DataCentre: h.settings.DataCentre, PeerAddress: m.Address})
		}
	})
	slices.SortFunc(out, func(a, b store.Host) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(out, func(a, b store.Host) bool { return a.Name == b.Name })
}

// callHosts runs call concurrently for each of the hosts, with hostCallTimeout,
// and waits until all calls have returned.
func callHosts(ctx context.Context, hosts []store.Host, call func(ctx context.Context, i int, host store.Host)) {
	const maxConcurrent = 64
	semaphore := make(chan struct{}, maxConcurrent)
	var group sync.WaitGroup
	for i, host := range hosts {
		group.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
			defer cancel()
			call(ctx, i, host)
		}()
	}
	group.Wait()
}

// ClusterStatus requests the status of every host and returns them together with
// this host's own, without the services if brief is set.
func (h *Host) ClusterStatus(ctx context.Context, brief bool) *wire.ClusterStatus {
	hosts := h.allHosts(ctx)
	out := &wire.ClusterStatus{From: h.settings.Name, Hosts: make([]wire.HostView, len(hosts), len(hosts)+1)}
	callHosts(ctx, hosts, func(ctx context.Context, i int, host store.Host) {
		v := wire.HostView{Name: host.Name, DataCentre: host.DataCentre}
		st := &wire.HostStatus{}
		if err := h.callPeer(ctx, host.PeerAddress, "/peer/status", wire.StatusRequest{Brief: brief}, st); err != nil {
			v.Error = "unreachable"
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				v.Error = "unreachable: " + rootCause(err)
			}
		} else {
			v.Status = st
		}
		out.Hosts[i] = v
	})
	self := h.BriefStatus()
	if !brief {
		self = h.Status()
	}
	out.Hosts = append(out.Hosts, wire.HostView{Name: h.settings.Name, DataCentre: h.settings.DataCentre, Status: self})
	for _, v := range out.Hosts {
		if v.Status != nil {
			out.Latest = max(out.Latest, v.Status.Revision)
		}
	}
	slices.SortFunc(out.Hosts, func(a, b wire.HostView) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// rootCause returns the message of the innermost error that err wraps.
func rootCause(err error) string {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err.Error()
		}
		err = next
	}
}

// serveStatus answers with the status of all hosts.
func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.ClusterStatus(r.Context(), r.URL.Query().Has("brief")))
}

// eventsResponse holds the events of all hosts that responded.
type eventsResponse struct {
	Events []event.Event `json:"events"`
	// Unresponsive contains the names of the hosts that did not respond.
	Unresponsive []string `json:"silent"`
}

// servePeerEvents answers another host with the events of this host that match its
// filter.
func (h *Host) servePeerEvents(w http.ResponseWriter, r *http.Request) {
	var f event.Filter
	if !decodeBody(w, r, &f) {
		return
	}
	list, _ := h.events.List(f)
	writeCompressed(w, list)
}

// Timeline returns the merged events of all hosts that match f, and the names of
// the hosts that did not respond.
func (h *Host) Timeline(ctx context.Context, f event.Filter) ([]event.Event, []string) {
	hosts := h.allHosts(ctx)
	lists := make([][]event.Event, len(hosts)+1)
	errs := make([]error, len(hosts))
	callHosts(ctx, hosts, func(ctx context.Context, i int, host store.Host) {
		errs[i] = h.callPeer(ctx, host.PeerAddress, "/peer/events", f, &lists[i])
	})
	lists[len(hosts)], _ = h.events.List(f)
	unresponsive := []string{}
	for i, err := range errs {
		if err != nil {
			unresponsive = append(unresponsive, hosts[i].Name)
		}
	}
	return event.Merge(lists...), unresponsive
}

// serveEvents answers with the events of all hosts that match the query.
func (h *Host) serveEvents(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := event.Filter{Service: q.Get("service"), Kind: event.Kind(q.Get("kind")), Host: q.Get("host")}
	if v := q.Get("since"); v != "" {
		t, err := time.Parse(time.RFC3339Nano, v)
		if err != nil {
			http.Error(w, fmt.Sprintf("since must be a time such as 2006-01-02T15:04:05Z, not %q", v), http.StatusBadRequest)
			return
		}
		f.Since = t
	}
	events, unresponsive := h.Timeline(r.Context(), f)
	if events == nil {
		events = []event.Event{}
	}
	writeJSON(w, http.StatusOK, eventsResponse{Events: events, Unresponsive: unresponsive})
}

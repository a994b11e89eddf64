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

// askTimeout bounds the wait for each host's answer.
const askTimeout = 1500 * time.Millisecond

// Status returns all that the host says of itself.
func (h *Host) Status() *wire.HostStatus {
	s := h.BriefStatus()
	r := h.routes.Load()
	if r.adopted == nil {
		return s
	}
	for team, sec := range r.adopted.Document.Teams {
		for i := range sec.Services {
			s.Services = append(s.Services, r.serviceStatus(team, &sec.Services[i]))
		}
	}
	slices.SortFunc(s.Services, func(a, b wire.ServiceStatus) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Brief returns the status without the services, whose number may be large.
func (h *Host) BriefStatus() *wire.HostStatus {
	s := &wire.HostStatus{
		Name: h.set.Name, DataCentre: h.set.DataCentre, At: time.Now(), Started: h.started,
		Leaving: h.leaving.Load(), PlatformDown: h.platformDown.Load(), Alarm: h.alarm.Load().(string),
		Flows: h.plane.PinnedFlows(), Members: []wire.MemberStatus{}, Services: []wire.ServiceStatus{},
	}
	h.call(func() {
		c := &h.control
		s.InForceSince = c.adoptedAt
		for _, m := range c.memb.Members() {
			s.Members = append(s.Members, wire.MemberStatus{Name: m.Name, Address: m.Address,
				Health: m.Health.String(), Leaving: m.Leaving, Revision: c.memb.AppVersion(m.Name)})
		}
	})
	if a := h.routes.Load().adopted; a != nil {
		s.Revision = a.Head.Revision
	}
	return s
}

// servePeerStatus answers another host.
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

// serviceStatus describes one service at this host.
func (r *routes) serviceStatus(team string, s *conf.Service) wire.ServiceStatus {
	out := wire.ServiceStatus{Name: s.Name, Team: team, Protocol: s.Protocol, Servers: []wire.ServerStatus{}}
	load := func(uint64) int { return 0 }
	switch s.Protocol {
	case conf.HTTP:
		if svc := r.http[s.Name]; svc != nil {
			st, waiting, running, total := svc.Dispatcher().Stats()
			out.Waiting, out.Running, out.Slots = waiting, running, total
			out.Offered, out.Answered, out.NotRun, out.Unknown = st.Offered, st.Answered, st.NotRun, st.Unknown
			using := svc.Dispatcher().InFlight()
			load = func(id uint64) int { return using[id] }
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
			if n := r.loads[id]; n != nil {
				return int(n.Load())
			}
			return 0
		}
	}
	for _, v := range s.Servers {
		out.Servers = append(out.Servers, wire.ServerStatus{Name: v.Name, State: v.State,
			Load: load(serverID(s.Name, v.Name)), Slots: v.Slots, Connections: v.Connections, Quarantined: r.resting[s.AddressKey(v.Address)]})
	}
	return out
}

// allHosts lists the hosts that should exist: the members of this data centre
// and what the platform's list names elsewhere.
func (h *Host) allHosts(ctx context.Context) []store.Host {
	if len(*h.foreign.Load()) == 0 {
		h.readHosts(ctx)
	}
	out := slices.Clone(*h.foreign.Load())
	h.call(func() {
		for _, m := range h.control.memb.Members() {
			if m.Health == memb.Left || m.Health == memb.Seeded {
				continue
			}
			out = append(out, store.Host{Name: m.Name, DataCentre: h.set.DataCentre, PeerAddress: m.Address})
		}
	})
	slices.SortFunc(out, func(a, b store.Host) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return slices.CompactFunc(out, func(a, b store.Host) bool { return a.Name == b.Name })
}

// askAll calls ask for each other host at once and waits for all.
func askAll(ctx context.Context, hosts []store.Host, ask func(ctx context.Context, i int, x store.Host)) {
	const atOnce = 64
	tickets := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i, x := range hosts {
		group.Add(1)
		tickets <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-tickets }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			ask(ctx, i, x)
		}()
	}
	group.Wait()
}

// Cluster asks every host for its status, without the services if brief.
func (h *Host) ClusterStatus(ctx context.Context, brief bool) *wire.ClusterStatus {
	hosts := h.allHosts(ctx)
	out := &wire.ClusterStatus{From: h.set.Name, Hosts: make([]wire.HostView, len(hosts), len(hosts)+1)}
	askAll(ctx, hosts, func(ctx context.Context, i int, x store.Host) {
		v := wire.HostView{Name: x.Name, DataCentre: x.DataCentre}
		st := &wire.HostStatus{}
		if err := h.askPeer(ctx, x.PeerAddress, "/peer/status", wire.StatusRequest{Brief: brief}, st); err != nil {
			v.Error = "unreachable"
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				v.Error = "unreachable: " + rootCause(err)
			}
		} else {
			v.Status = st
		}
		out.Hosts[i] = v
	})
	own := h.BriefStatus()
	if !brief {
		own = h.Status()
	}
	out.Hosts = append(out.Hosts, wire.HostView{Name: h.set.Name, DataCentre: h.set.DataCentre, Status: own})
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

// rootCause returns the innermost message of an error.
func rootCause(err error) string {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err.Error()
		}
		err = next
	}
}

func (h *Host) serveStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.ClusterStatus(r.Context(), r.URL.Query().Has("brief")))
}

// eventsAnswer is the time line of all hosts that answered.
type eventsAnswer struct {
	Events []event.Event `json:"events"`
	// Silent names the hosts that did not answer.
	Silent []string `json:"silent"`
}

func (h *Host) servePeerEvents(w http.ResponseWriter, r *http.Request) {
	var f event.Filter
	if !decodeBody(w, r, &f) {
		return
	}
	list, _ := h.events.List(f)
	writeCompressed(w, list)
}

// Timeline merges the time lines of all hosts.
func (h *Host) Timeline(ctx context.Context, f event.Filter) ([]event.Event, []string) {
	hosts := h.allHosts(ctx)
	lists := make([][]event.Event, len(hosts)+1)
	errs := make([]error, len(hosts))
	askAll(ctx, hosts, func(ctx context.Context, i int, x store.Host) {
		errs[i] = h.askPeer(ctx, x.PeerAddress, "/peer/events", f, &lists[i])
	})
	lists[len(hosts)], _ = h.events.List(f)
	silent := []string{}
	for i, err := range errs {
		if err != nil {
			silent = append(silent, hosts[i].Name)
		}
	}
	return event.Merge(lists...), silent
}

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
	events, silent := h.Timeline(r.Context(), f)
	if events == nil {
		events = []event.Event{}
	}
	writeJSON(w, http.StatusOK, eventsAnswer{Events: events, Silent: silent})
}

// Package capac measures the cost of the control plane of a data centre. It runs
// the control code of many hosts (pkg/memb, pkg/gossip and pkg/conf) in one
// process over a simulated network in virtual time, and measures traffic, CPU
// time, heap, and calls to the platform.
package capac

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/gossip"
	"lagoonramp.org/lagoonramp/pkg/memb"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Cost holds the measured cost of the control plane for a number of hosts.
type Cost struct {
	Hosts int `json:"hosts"`
	// ControlBytesPerSecond is the control traffic of a host, sent and received.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	// CPUFraction is the CPU time of a host's control plane as a fraction of one core.
	CPUFraction float64 `json:"cpuShare"`
	// HeapBytes is the heap of a host's control plane, including the decoded
	// document.
	HeapBytes float64 `json:"heapBytes"`
	// PlatformCallsPerSecond is the rate of calls to the platform of all hosts
	// together.
	PlatformCallsPerSecond float64 `json:"platformCallsPerSecond"`
	// InForceP999Seconds is the 99.9th percentile, over edits and hosts, of the time
	// from the commit of an edit until a host has it in force.
	InForceP999Seconds float64 `json:"inForceP999Seconds"`
}

// Settings configures a measurement. The zero value selects the defaults.
type Settings struct {
	// Duration is the measured virtual time, without the warm-up. The default is
	// 120 s.
	Duration time.Duration
	// EditInterval is the time between edits. The default is 10 s. For comparison,
	// 950 edits a day are one in 91 s.
	EditInterval time.Duration
	// LossRate is the probability that a datagram between hosts is lost or a fetch
	// fails.
	LossRate float64
	// Services is the number of services in the document. The default is 2,000
	// services with 4,500 servers.
	Services int
	// Seed is the seed of all random choices.
	Seed uint64
}

const (
	// stepInterval is the resolution of the virtual time and the delay of a
	// datagram.
	stepInterval = 10 * time.Millisecond
	// tickInterval is the interval between ticks of a host's state machines.
	tickInterval = 50 * time.Millisecond
	// warmUp is the initial virtual time that is not measured.
	warmUp = 20 * time.Second
	// watchTimeout is the time after which a watching host renews its watch call
	// if there was no edit.
	watchTimeout        = 10 * time.Second
	serversPer4Services = 9 // 4,500 servers behind 2,000 services.
	teamCount           = 60
	fetchOverhead       = 600 // Bytes of an HTTP request and response without their bodies.
)

// node is the control plane of one host.
type node struct {
	name       string
	id         uint64
	memb       *memb.Machine
	gossip     *gossip.Machine
	adopter    conf.Adopter
	sealer     *peer.Sealer
	opener     *peer.Opener
	generation uint64
	// transferred is the number of bytes sent and received.
	transferred int
	// adoptedAt maps the revisions that the host adopted to the time of adoption.
	adoptedAt map[uint64]time.Duration
}

// delivery is a pending event: the arrival of a datagram, or a callback if callback
// is not nil.
type delivery struct {
	due      time.Duration
	to       int
	data     []byte
	callback func(now time.Duration)
}

// simulation runs the nodes and the network between them.
type simulation struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration
	nodes       []*node
	indexByName map[string]int
	indexByID   map[uint64]int
	pending     []delivery
	heads       []*conf.Head
	// committedAt maps each revision to the time of its commit.
	committedAt   map[uint64]time.Duration
	platformCalls int
	doc           conf.Document
	// bodies maps the digests of sections to their encoded bodies.
	bodies map[string][]byte
}

// Measure simulates a data centre with the given number of hosts and returns the
// cost of its control plane.
func Measure(hosts int, settings Settings) Cost {
	if settings.Duration == 0 {
		settings.Duration = 120 * time.Second
	}
	if settings.EditInterval == 0 {
		settings.EditInterval = 10 * time.Second
	}
	if settings.Services == 0 {
		settings.Services = 2000
	}
	before := heapInUse()
	sim := newSimulation(hosts, settings)
	sim.commitEdit(0)
	sim.runUntil(warmUp)
	for _, n := range sim.nodes {
		n.transferred = 0
	}
	sim.platformCalls = 0
	cpu := cpuTime()
	sim.runUntil(warmUp + settings.Duration)
	cpu = cpuTime() - cpu
	cost := Cost{Hosts: hosts, CPUFraction: cpu.Seconds() / settings.Duration.Seconds() / float64(hosts)}
	for _, n := range sim.nodes {
		cost.ControlBytesPerSecond += float64(n.transferred) / settings.Duration.Seconds() / float64(hosts)
	}
	// The nodes share the section bodies in this process, so that HeapBytes contains
	// only a part of them. A real host holds a copy of its own.
	cost.HeapBytes = float64(heapInUse()-before) / float64(hosts)
	cost.PlatformCallsPerSecond = float64(sim.platformCalls) / settings.Duration.Seconds()
	cost.InForceP999Seconds = sim.inForcePercentile(0.999)
	runtime.KeepAlive(sim)
	return cost
}

// heapInUse returns the size of the live heap after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpuTime returns the CPU time that this process has used, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newSimulation returns a simulation in which no configuration is committed yet.
// The first four hosts are the seeds of the membership.
func newSimulation(hosts int, settings Settings) *simulation {
	sim := &simulation{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, uint64(hosts))), indexByName: map[string]int{},
		indexByID: map[uint64]int{}, committedAt: map[uint64]time.Duration{}, bodies: map[string][]byte{}}
	key := peer.Key{ID: 1, Secret: []byte("a key for the measurement")}
	var seeds []memb.Member
	for i := range hosts {
		name := fmt.Sprintf("host-%03d", i)
		id := rendez.Hash(name)
		rng := rand.New(rand.NewPCG(settings.Seed, id))
		n := &node{name: name, id: id, adoptedAt: map[uint64]time.Duration{},
			memb:   memb.New(memb.Member{Name: name, Address: name, Incarnation: 1}, memb.Settings{}, rng),
			gossip: gossip.New(id, gossip.Settings{}, rng),
			sealer: peer.NewSealer(key, id, 1, 0), opener: peer.NewOpener([]peer.Key{key})}
		sim.nodes = append(sim.nodes, n)
		sim.indexByName[name] = i
		sim.indexByID[id] = i
		if i < 4 {
			seeds = append(seeds, memb.Member{Name: name, Address: name})
		}
	}
	for _, n := range sim.nodes {
		n.memb.Seed(0, seeds)
	}
	sim.buildDocument()
	return sim
}

// buildDocument builds a document with Settings.Services services.
func (sim *simulation) buildDocument() {
	sim.doc.Teams = map[string]conf.Section{}
	servers := 0
	for i := range sim.settings.Services {
		team := fmt.Sprintf("team-%02d", i%teamCount)
		s := conf.Service{Name: fmt.Sprintf("service-%04d", i), Protocol: conf.TCP,
			Address: fmt.Sprintf("198.18.%d.%d:443", i/250, i%250+1)}
		for servers < (i+1)*serversPer4Services/4 {
			s.Servers = append(s.Servers, conf.Server{Name: fmt.Sprintf("server-%d", servers), DataCentre: "sapporo",
				Address: fmt.Sprintf("10.1.%d.%d:8443", servers/250, servers%250+1), Slots: 3, Connections: 2000, State: conf.Active})
			servers++
		}
		section := sim.doc.Teams[team]
		section.Services = append(section.Services, s)
		sim.doc.Teams[team] = section
	}
}

// commitEdit commits a new revision in which one server of one team differs. The
// hosts that watch the platform adopt it after one step.
func (sim *simulation) commitEdit(edit int) {
	head := &conf.Head{Revision: uint64(len(sim.heads) + 1), Sections: map[string]conf.SectionRef{}}
	team := fmt.Sprintf("team-%02d", edit%teamCount)
	section := sim.doc.Teams[team]
	if len(section.Services) > 0 && len(section.Services[0].Servers) > 0 {
		section.Services[0].Servers[0].Connections = 2000 + edit
	}
	sim.doc.Teams[team] = section
	for name, s := range sim.doc.Teams {
		body := conf.EncodeSection(s)
		d := conf.Digest(body)
		if sim.bodies[d] == nil {
			sim.bodies[d] = body
		}
		ref := conf.SectionRef{Revision: head.Revision, Digest: d}
		if n := len(sim.heads); n > 0 && sim.heads[n-1].Sections[name].Digest == d {
			ref = sim.heads[n-1].Sections[name]
		}
		head.Sections[name] = ref
		if ref.Revision == head.Revision {
			head.History = append(head.History, conf.Commit{Revision: head.Revision, Team: name, Digest: d,
				ID: d[:26], Who: "an operator", At: time.Unix(int64(head.Revision), 0)})
		}
	}
	if n := len(sim.heads); n > 0 {
		history := append(slices.Clone(sim.heads[n-1].History), head.History...)
		head.History = history[max(0, len(history)-100):]
	}
	sim.heads = append(sim.heads, head)
	sim.committedAt[head.Revision] = sim.now
	for _, n := range sim.nodes {
		if n.gossip.ShouldWatch() {
			sim.platformCalls += 2 // The watch returns and is started again; one body is read.
			sim.after(stepInterval, func(now time.Duration) { sim.adopt(now, n, head) })
		}
	}
}

// after schedules a callback.
func (sim *simulation) after(d time.Duration, f func(now time.Duration)) {
	sim.pending = append(sim.pending, delivery{due: sim.now + d, callback: f})
}

// adopt offers a head and the bodies that the host lacks to the host's adopter. It
// returns the encoded size of both if the host adopted the head, 0 otherwise.
func (sim *simulation) adopt(now time.Duration, n *node, head *conf.Head) int {
	bodies := map[string][]byte{}
	for _, d := range n.adopter.MissingBodies(head) {
		bodies[d] = sim.bodies[d]
	}
	size := sim.encodedSize(head, bodies)
	adopted, _, err := n.adopter.Offer(head, bodies, conf.FromPeer)
	if err != nil {
		panic("capac: invalid head: " + err.Error())
	}
	if !adopted {
		return 0
	}
	n.adoptedAt[head.Revision] = now
	n.memb.SetAppVersion(head.Revision)
	for _, to := range n.gossip.SetRevision(head.Revision) {
		sim.send(n, sim.indexByID[to], peer.KindNotice, struct {
			Revision uint64 `json:"revision"`
		}{head.Revision})
	}
	return size
}

// encodedSize returns the size in bytes of the response to a fetch, as the daemon
// encodes it.
func (sim *simulation) encodedSize(head *conf.Head, bodies map[string][]byte) int {
	config := wire.PeerConfig{Head: head, Bodies: map[string]json.RawMessage{}}
	for d, b := range bodies {
		config.Bodies[d] = b
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressor).Encode(config); err != nil {
		panic("capac: cannot encode the configuration: " + err.Error())
	}
	_ = compressor.Close()
	return out.Len()
}

// send seals a message and sends it to another host. The network may lose it.
func (sim *simulation) send(from *node, to int, kind peer.Kind, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("capac: cannot encode the message: " + err.Error())
	}
	data := from.sealer.Seal(nil, kind, body)
	from.transferred += len(data)
	if sim.rng.Float64() < sim.settings.LossRate {
		return
	}
	sim.pending = append(sim.pending, delivery{due: sim.now + stepInterval, to: to, data: data})
}

// runUntil runs the simulation until a virtual time.
func (sim *simulation) runUntil(end time.Duration) {
	next := sim.now + sim.settings.EditInterval
	for edit := 1; sim.now < end; {
		sim.now += stepInterval
		if sim.now >= next && sim.now > warmUp {
			next += sim.settings.EditInterval
			sim.commitEdit(edit)
			edit++
		}
		sim.deliverDue()
		for i, n := range sim.nodes {
			if (sim.now+time.Duration(i)*stepInterval)%tickInterval == 0 {
				sim.tickNode(n)
			}
			if n.gossip.ShouldWatch() && sim.now%watchTimeout == 0 {
				sim.platformCalls++
			}
		}
	}
}

// deliverDue handles the deliveries that are due and keeps the others pending.
func (sim *simulation) deliverDue() {
	pending := sim.pending
	sim.pending = nil
	for _, d := range pending {
		switch {
		case d.due > sim.now:
			sim.pending = append(sim.pending, d)
		case d.callback != nil:
			d.callback(sim.now)
		default:
			sim.receive(sim.nodes[d.to], d.data)
		}
	}
}

// receive handles a datagram that arrived at a host.
func (sim *simulation) receive(n *node, data []byte) {
	n.transferred += len(data)
	h, payload, err := n.opener.Open(data)
	if err != nil {
		panic("capac: cannot open the datagram: " + err.Error())
	}
	switch h.Kind {
	case peer.KindMember:
		var m memb.Message
		if err := json.Unmarshal(payload, &m); err != nil {
			panic("capac: cannot decode the message: " + err.Error())
		}
		sim.sendAll(n, n.memb.Receive(sim.now, &m))
		sim.fetch(n, n.gossip.ObserveRevision(sim.now, h.From, m.AppVersion))
	case peer.KindNotice:
		var m struct {
			Revision uint64 `json:"revision"`
		}
		if err := json.Unmarshal(payload, &m); err != nil {
			panic("capac: cannot decode the notice: " + err.Error())
		}
		sim.fetch(n, n.gossip.ObserveRevision(sim.now, h.From, m.Revision))
	}
}

// sendAll sends membership messages.
func (sim *simulation) sendAll(n *node, envelopes []memb.Envelope) {
	for _, s := range envelopes {
		sim.send(n, sim.indexByName[s.Address], peer.KindMember, s.Message)
	}
}

// tickNode ticks the state machines of a host and updates its list of hosts after
// a membership change.
func (sim *simulation) tickNode(n *node) {
	sim.sendAll(n, n.memb.Tick(sim.now))
	n.memb.Events()
	if generation := n.memb.Generation(); generation != n.generation {
		n.generation = generation
		live := []uint64{n.id}
		for _, m := range n.memb.Members() {
			if m.Health == memb.Alive || m.Health == memb.Suspect {
				live = append(live, m.ID())
			}
		}
		slices.Sort(live)
		n.gossip.SetHosts(live)
	}
	sim.fetch(n, n.gossip.Tick(sim.now))
}

// fetch fetches a configuration from a peer. A fetch fails with the same
// probability as a datagram is lost.
func (sim *simulation) fetch(n *node, request *gossip.Fetch) {
	if request == nil {
		return
	}
	from := sim.nodes[sim.indexByID[request.Peer]]
	if sim.rng.Float64() < sim.settings.LossRate {
		sim.after(time.Second, func(now time.Duration) { n.gossip.FetchFailed(now, *request) })
		return
	}
	sim.after(2*stepInterval, func(now time.Duration) {
		inForce := from.adopter.InForce()
		if inForce == nil {
			n.gossip.FetchFailed(now, *request)
			return
		}
		size := sim.adopt(now, n, inForce.Head) + fetchOverhead
		n.transferred += size
		from.transferred += size
		if n.adopter.Revision() < request.Revision {
			n.gossip.FetchFailed(now, *request)
		}
	})
}

// inForcePercentile returns the given quantile, over edits and hosts, of the time
// from the commit of an edit until a host adopted it, in seconds. An edit that a
// host skipped counts as adopted with the next revision that the host adopted. The
// initial configuration and the last edit are left out.
func (sim *simulation) inForcePercentile(quantile float64) float64 {
	var delays []float64
	for rev := uint64(2); rev < uint64(len(sim.heads)); rev++ {
		for _, n := range sim.nodes {
			delays = append(delays, n.inForceAt(rev, uint64(len(sim.heads)))-sim.committedAt[rev].Seconds())
		}
	}
	if len(delays) == 0 {
		return 0
	}
	slices.Sort(delays)
	return delays[min(len(delays)-1, int(quantile*float64(len(delays))))]
}

// inForceAt returns the time in seconds at which a host adopted a revision or, if
// it skipped it, the next one up to last.
func (n *node) inForceAt(rev, last uint64) float64 {
	for r := rev; r <= last; r++ {
		if t, ok := n.adoptedAt[r]; ok {
			return t.Seconds()
		}
	}
	const never = 1e6
	return never
}

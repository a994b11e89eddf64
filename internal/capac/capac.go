// Package capac measures what the control of a data centre of hosts costs: it
// runs the real control code, pkg/memb, pkg/gossip and pkg/conf, of many hosts
// in one process over a small fake network, in virtual time, and counts bytes,
// processor time, heap and calls to the platform.
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

// Row is what one size costs.
type Cost struct {
	Hosts int `json:"hosts"`
	// ControlBytesPerSecond is what a host sends and receives.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	// CPUShare is the share of a core that a host's control takes.
	CPUFraction float64 `json:"cpuShare"`
	// HeapBytes is what a host's control holds, the document included.
	HeapBytes float64 `json:"heapBytes"`
	// PlatformCallsPerSecond is of all hosts together.
	PlatformCallsPerSecond float64 `json:"platformCallsPerSecond"`
	// InForceP999Seconds is how long an edit takes to reach a host, 99.9th
	// percentile over edits and hosts.
	InForceP999Seconds float64 `json:"inForceP999Seconds"`
}

// Settings of a measurement. The zero value is usable.
type Settings struct {
	// Duration is the virtual time. The default is 120 s.
	Duration time.Duration
	// EditEvery is the time between edits. The default is 10 s; 950 a day are
	// one in 91 s.
	EditInterval time.Duration
	// Loss is the loss between hosts.
	LossRate float64
	// Services is the size of the document. The default is 2,000 services
	// with 4,500 servers.
	Services int
	Seed     uint64
}

const (
	step          = 10 * time.Millisecond
	controlEvery  = 50 * time.Millisecond
	warm          = 20 * time.Second
	watchWait     = 10 * time.Second
	serversPer4   = 9 // 4,500 servers behind 2,000 services.
	teams         = 60
	fetchOverhead = 600 // An HTTP request and answer without bodies, in bytes.
)

// node is the control of one host.
type node struct {
	name    string
	id      uint64
	memb    *memb.Machine
	spread  *gossip.Machine
	adopter conf.Adopter
	sealer  *peer.Sealer
	opener  *peer.Opener
	gen     uint64
	bytes   int
	adopted map[uint64]time.Duration
}

// mail is a datagram or a fetched configuration on its way.
type mail struct {
	at   time.Duration
	to   int
	data []byte
	then func(now time.Duration)
}

// world runs the nodes.
type world struct {
	set   Settings
	rng   *rand.Rand
	now   time.Duration
	nodes []*node
	index map[string]int
	byID  map[uint64]int
	mail  []mail
	heads []*conf.Head
	at    map[uint64]time.Duration
	calls int
	doc   conf.Document
	body  map[string][]byte
}

// Measure runs hosts in one data centre and returns what they cost.
func Measure(hosts int, set Settings) Cost {
	if set.Duration == 0 {
		set.Duration = 120 * time.Second
	}
	if set.EditInterval == 0 {
		set.EditInterval = 10 * time.Second
	}
	if set.Services == 0 {
		set.Services = 2000
	}
	before := heap()
	w := newWorld(hosts, set)
	w.commit(0)
	w.run(warm)
	for _, n := range w.nodes {
		n.bytes = 0
	}
	w.calls = 0
	cpu := processor()
	w.run(warm + set.Duration)
	cpu = processor() - cpu
	// The document's bodies are shared in this process; a host holds one copy.
	row := Cost{Hosts: hosts, CPUFraction: cpu.Seconds() / set.Duration.Seconds() / float64(hosts)}
	for _, n := range w.nodes {
		row.ControlBytesPerSecond += float64(n.bytes) / set.Duration.Seconds() / float64(hosts)
	}
	row.HeapBytes = float64(heap()-before) / float64(hosts)
	row.PlatformCallsPerSecond = float64(w.calls) / set.Duration.Seconds()
	row.InForceP999Seconds = w.percentile(0.999)
	runtime.KeepAlive(w)
	return row
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func newWorld(hosts int, set Settings) *world {
	w := &world{set: set, rng: rand.New(rand.NewPCG(set.Seed, uint64(hosts))), index: map[string]int{},
		byID: map[uint64]int{}, at: map[uint64]time.Duration{}, body: map[string][]byte{}}
	key := peer.Key{ID: 1, Secret: []byte("a key for the measurement")}
	var seeds []memb.Member
	for i := range hosts {
		name := fmt.Sprintf("host-%03d", i)
		id := rendez.Hash(name)
		rng := rand.New(rand.NewPCG(set.Seed, id))
		n := &node{name: name, id: id, adopted: map[uint64]time.Duration{},
			memb:   memb.New(memb.Member{Name: name, Address: name, Incarnation: 1}, memb.Settings{}, rng),
			spread: gossip.New(id, gossip.Settings{}, rng),
			sealer: peer.NewSealer(key, id, 1, 0), opener: peer.NewOpener([]peer.Key{key})}
		w.nodes = append(w.nodes, n)
		w.index[name] = i
		w.byID[id] = i
		if i < 4 {
			seeds = append(seeds, memb.Member{Name: name, Address: name})
		}
	}
	for _, n := range w.nodes {
		n.memb.Seed(0, seeds)
	}
	w.document()
	return w
}

// document makes a document of the target's size.
func (w *world) document() {
	w.doc.Teams = map[string]conf.Section{}
	servers := 0
	for i := range w.set.Services {
		team := fmt.Sprintf("team-%02d", i%teams)
		s := conf.Service{Name: fmt.Sprintf("service-%04d", i), Protocol: conf.TCP,
			Address: fmt.Sprintf("198.18.%d.%d:443", i/250, i%250+1)}
		for servers < (i+1)*serversPer4/4 {
			s.Servers = append(s.Servers, conf.Server{Name: fmt.Sprintf("server-%d", servers), DataCentre: "sapporo",
				Address: fmt.Sprintf("10.1.%d.%d:8443", servers/250, servers%250+1), Slots: 3, Connections: 2000, State: conf.Active})
			servers++
		}
		sec := w.doc.Teams[team]
		sec.Services = append(sec.Services, s)
		w.doc.Teams[team] = sec
	}
}

// commit makes an edit; the watching hosts get it first.
func (w *world) commit(edit int) {
	head := &conf.Head{Revision: uint64(len(w.heads) + 1), Sections: map[string]conf.SectionRef{}}
	team := fmt.Sprintf("team-%02d", edit%teams)
	sec := w.doc.Teams[team]
	if len(sec.Services) > 0 && len(sec.Services[0].Servers) > 0 {
		sec.Services[0].Servers[0].Connections = 2000 + edit
	}
	w.doc.Teams[team] = sec
	for name, s := range w.doc.Teams {
		body := conf.EncodeSection(s)
		d := conf.Digest(body)
		if w.body[d] == nil {
			w.body[d] = body
		}
		ref := conf.SectionRef{Revision: head.Revision, Digest: d}
		if n := len(w.heads); n > 0 && w.heads[n-1].Sections[name].Digest == d {
			ref = w.heads[n-1].Sections[name]
		}
		head.Sections[name] = ref
		if ref.Revision == head.Revision {
			head.History = append(head.History, conf.Commit{Revision: head.Revision, Team: name, Digest: d,
				ID: d[:26], Who: "an operator", At: time.Unix(int64(head.Revision), 0)})
		}
	}
	if n := len(w.heads); n > 0 {
		all := append(slices.Clone(w.heads[n-1].History), head.History...)
		head.History = all[max(0, len(all)-100):]
	}
	w.heads = append(w.heads, head)
	w.at[head.Revision] = w.now
	for _, n := range w.nodes {
		if n.spread.ShouldWatch() {
			w.calls += 2 // The watch answers and begins anew; one body is read.
			w.after(step, func(now time.Duration) { w.adopt(now, n, head) })
		}
	}
}

func (w *world) after(d time.Duration, f func(now time.Duration)) {
	w.mail = append(w.mail, mail{at: w.now + d, then: f})
}

// adopt offers a head to a host with the bodies that it lacks.
func (w *world) adopt(now time.Duration, n *node, head *conf.Head) int {
	bodies := map[string][]byte{}
	for _, d := range n.adopter.MissingBodies(head) {
		bodies[d] = w.body[d]
	}
	size := w.packed(head, bodies)
	ok, _, err := n.adopter.Offer(head, bodies, conf.FromPeer)
	if err != nil {
		panic("capac: a head must be good: " + err.Error())
	}
	if !ok {
		return 0
	}
	n.adopted[head.Revision] = now
	n.memb.SetAppVersion(head.Revision)
	for _, to := range n.spread.SetRevision(head.Revision) {
		w.send(n, w.byID[to], peer.KindNotice, struct {
			Revision uint64 `json:"revision"`
		}{head.Revision})
	}
	return size
}

// packed returns the bytes of a fetch's answer, as the daemon encodes it.
func (w *world) packed(head *conf.Head, bodies map[string][]byte) int {
	c := wire.PeerConfig{Head: head, Bodies: map[string]json.RawMessage{}}
	for d, b := range bodies {
		c.Bodies[d] = b
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(c); err != nil {
		panic("capac: a configuration must be encodable: " + err.Error())
	}
	_ = z.Close()
	return out.Len()
}

// send seals a message and puts it on its way.
func (w *world) send(from *node, to int, kind peer.Kind, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic("capac: a message must be encodable: " + err.Error())
	}
	data := from.sealer.Seal(nil, kind, body)
	from.bytes += len(data)
	if w.rng.Float64() < w.set.LossRate {
		return
	}
	w.mail = append(w.mail, mail{at: w.now + step, to: to, data: data})
}

// run goes on until a virtual time.
func (w *world) run(end time.Duration) {
	next := w.now + w.set.EditInterval
	for edit := 1; w.now < end; {
		w.now += step
		if w.now >= next && w.now > warm {
			next += w.set.EditInterval
			w.commit(edit)
			edit++
		}
		w.deliver()
		for i, n := range w.nodes {
			if (w.now+time.Duration(i)*step)%controlEvery == 0 {
				w.tick(n)
			}
			if n.spread.ShouldWatch() && w.now%watchWait == 0 {
				w.calls++
			}
		}
	}
}

func (w *world) deliver() {
	due := w.mail
	w.mail = nil
	for _, m := range due {
		switch {
		case m.at > w.now:
			w.mail = append(w.mail, m)
		case m.then != nil:
			m.then(w.now)
		default:
			w.receive(w.nodes[m.to], m.data)
		}
	}
}

func (w *world) receive(n *node, data []byte) {
	n.bytes += len(data)
	h, payload, err := n.opener.Open(data)
	if err != nil {
		panic("capac: a datagram must be good: " + err.Error())
	}
	switch h.Kind {
	case peer.KindMember:
		var m memb.Message
		if err := json.Unmarshal(payload, &m); err != nil {
			panic("capac: a message must be good: " + err.Error())
		}
		w.post(n, n.memb.Receive(w.now, &m))
		w.fetch(n, n.spread.ObserveRevision(w.now, h.From, m.AppVersion))
	case peer.KindNotice:
		var m struct {
			Revision uint64 `json:"revision"`
		}
		if err := json.Unmarshal(payload, &m); err != nil {
			panic("capac: a notice must be good: " + err.Error())
		}
		w.fetch(n, n.spread.ObserveRevision(w.now, h.From, m.Revision))
	}
}

func (w *world) post(n *node, sends []memb.Envelope) {
	for _, s := range sends {
		w.send(n, w.index[s.Address], peer.KindMember, s.Message)
	}
}

func (w *world) tick(n *node) {
	w.post(n, n.memb.Tick(w.now))
	n.memb.Events()
	if g := n.memb.Generation(); g != n.gen {
		n.gen = g
		live := []uint64{n.id}
		for _, m := range n.memb.Members() {
			if m.Health == memb.Alive || m.Health == memb.Suspect {
				live = append(live, m.ID())
			}
		}
		slices.Sort(live)
		n.spread.SetHosts(live)
	}
	w.fetch(n, n.spread.Tick(w.now))
}

// fetch gets a configuration from a peer; it is lost as datagrams are.
func (w *world) fetch(n *node, f *gossip.Fetch) {
	if f == nil {
		return
	}
	from := w.nodes[w.byID[f.Peer]]
	if w.rng.Float64() < w.set.LossRate {
		w.after(time.Second, func(now time.Duration) { n.spread.FetchFailed(now, *f) })
		return
	}
	w.after(2*step, func(now time.Duration) {
		a := from.adopter.InForce()
		if a == nil {
			n.spread.FetchFailed(now, *f)
			return
		}
		size := w.adopt(now, n, a.Head) + fetchOverhead
		n.bytes += size
		from.bytes += size
		if n.adopter.Revision() < f.Revision {
			n.spread.FetchFailed(now, *f)
		}
	})
}

// percentile returns the time within which a share of all hosts had the edits
// in force. An edit that a host skipped counts when it had a later one.
func (w *world) percentile(share float64) float64 {
	var all []float64
	for rev := uint64(2); rev < uint64(len(w.heads)); rev++ {
		for _, n := range w.nodes {
			all = append(all, n.inForce(rev, uint64(len(w.heads)))-w.at[rev].Seconds())
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// inForce returns when a host had a revision or a later one, in seconds.
func (n *node) inForce(rev, last uint64) float64 {
	for r := rev; r <= last; r++ {
		if t, ok := n.adopted[r]; ok {
			return t.Seconds()
		}
	}
	const never = 1e6
	return never
}

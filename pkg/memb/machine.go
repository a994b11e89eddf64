package memb

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Settings of a Machine. The zero value is usable.
type Settings struct {
	// Period is the time between probes. The default is 500 ms.
	Period time.Duration
	// AckTimeout is the wait for an Ack before others are asked to probe. The
	// default is 150 ms.
	AckTimeout time.Duration
	// Indirect is how many others are asked to probe. The default is 3.
	Indirect int
	// Suspicion is how long a suspect of a small group may refute. The
	// default is 1.5 s. It grows with the logarithm of the group.
	Suspicion time.Duration
	// Remember is how long dead members are remembered. The default is 10 min.
	Remember time.Duration
	// SyncEvery bounds how often lists are exchanged. The default is 10 s; a
	// host whose list never was that of another exchanges it every second.
	SyncEvery time.Duration
	// Quiet is how long a host's list must not have changed before it is
	// compared, since news may still be on their way. The default is 5 s.
	Quiet time.Duration
}

const (
	defaultPeriod     = 500 * time.Millisecond
	defaultAckTimeout = 150 * time.Millisecond
	defaultIndirect   = 3
	defaultSuspicion  = 1500 * time.Millisecond
	defaultRemember   = 10 * time.Minute
	defaultSyncEvery  = 10 * time.Second
	defaultQuiet      = 5 * time.Second
	// firstSync is the time between exchanges of a host that joins.
	firstSync = time.Second
	// maxNews bounds the news of one message.
	maxNews = 6
	// maxSync bounds the members of one Sync.
	maxSync = 8
	// maxMembers bounds the list against a peer that floods names.
	maxMembers = 4096
	// maxSlowness bounds how much a host distrusts its own probes.
	maxSlowness = 6
	// wakeFactor times the period is the gap between ticks that tells a pause.
	wakeFactor = 3
	// revisitEvery is how often a dead or seeded member is pinged.
	revisitEvery = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	for _, f := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&s.Period, defaultPeriod},
		{&s.AckTimeout, defaultAckTimeout},
		{&s.Suspicion, defaultSuspicion},
		{&s.Remember, defaultRemember},
		{&s.SyncEvery, defaultSyncEvery},
		{&s.Quiet, defaultQuiet},
	} {
		if *f.v == 0 {
			*f.v = f.def
		}
	}
	if s.Indirect == 0 {
		s.Indirect = defaultIndirect
	}
	return s
}

// record is what is kept of another member.
type record struct {
	Member
	// changed is when the health last changed.
	changed time.Duration
	// sent counts the messages that carried the member as news.
	sent int
	note uint64
}

// probe is a ping under way.
type probe struct {
	target   string
	sequence uint64
	sentAt   time.Duration
	indirect bool
}

// relay is a ping made for another host.
type relay struct {
	origin   string
	sequence uint64
	at       time.Duration
}

// Event tells an embedder that a member changed.
type Event struct {
	Member Member
	// Restarted tells that the host came back under its old name.
	Restarted bool
}

// Machine is the membership of one host.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	self    Member
	members map[string]*record
	// names lists the members sorted, so that runs can be repeated.
	names []string
	// ring is the probing order; ringAt is the next place in it.
	ring       []string
	ringAt     int
	probe      *probe
	relays     map[uint64]relay
	sequence   uint64
	nextProbe  time.Duration
	nextVisit  time.Duration
	nextSync   time.Duration
	lastTick   time.Duration
	slowness   int
	generation uint64
	events     []Event
	note       uint64
	news       []*record
	// agreed tells that the latest digest received was the own one.
	agreed bool
	// settled tells that a digest received was the own one at least once.
	settled bool
	// changedAt is when the list last changed.
	changedAt time.Duration
}

// New returns a machine for a host. The incarnation must be higher than any
// that the host had before, for example the wall time of its start.
func New(self Member, set Settings, rng *rand.Rand) *Machine {
	if rng == nil {
		panic("memb: a random source must be given")
	}
	self.Health = Alive
	return &Machine{
		set:     set.withDefaults(),
		rng:     rng,
		self:    self,
		members: map[string]*record{},
		relays:  map[uint64]relay{},
	}
}

// Self returns the host's own entry.
func (m *Machine) Self() Member { return m.self }

// SetNote sets the note that travels with the host's messages.
func (m *Machine) SetNote(n uint64) { m.note = n }

// Note returns the latest note heard from a member.
func (m *Machine) Note(name string) uint64 {
	if r := m.members[name]; r != nil {
		return r.note
	}
	return 0
}

// Generation grows whenever the list of members or a state changes.
func (m *Machine) Generation() uint64 { return m.generation }

// Events returns the changes since the last call.
func (m *Machine) Events() []Event {
	e := m.events
	m.events = nil
	return e
}

// Members returns the other members sorted by name.
func (m *Machine) Members() []Member {
	out := make([]Member, 0, len(m.names))
	for _, n := range m.names {
		out = append(out, m.members[n].Member)
	}
	return out
}

// Seed names hosts that a list or the settings know. They count as members
// only after they have answered.
func (m *Machine) Seed(now time.Duration, hosts []Member) {
	for _, h := range hosts {
		if h.Name == m.self.Name || m.members[h.Name] != nil {
			continue
		}
		h.Health = Seeded
		h.Incarnation = 0
		m.insert(now, h)
	}
}

// Leave makes the host say that it takes no new flows.
func (m *Machine) Leave() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Incarnation++
	m.generation++
}

// SetJoining sets whether the host says that it is still joining.
func (m *Machine) SetJoining(joining bool) {
	if m.self.Joining == joining {
		return
	}
	m.self.Joining = joining
	m.self.Incarnation++
	m.generation++
}

// Agreed reports whether the host's list was the same as that of a host that
// sent a message lately.
func (m *Machine) Agreed() bool { return m.agreed }

// SetForgot sets what the host says of its memory.
func (m *Machine) SetForgot(forgot bool) {
	if m.self.Forgot == forgot {
		return
	}
	m.self.Forgot = forgot
	m.self.Incarnation++
	m.generation++
}

// Goodbye returns the messages that say that the host is gone.
func (m *Machine) Goodbye() []Send {
	m.self.Health = Left
	m.self.Incarnation++
	var out []Send
	for _, n := range m.names {
		r := m.members[n]
		if r.Health != Alive && r.Health != Suspect {
			continue
		}
		out = append(out, m.message(r.Address, Message{Kind: Sync, News: []Member{m.self}}))
	}
	return out
}

// insert adds a member.
func (m *Machine) insert(now time.Duration, h Member) *record {
	r := &record{Member: h, changed: now}
	m.members[h.Name] = r
	at, _ := slices.BinarySearch(m.names, h.Name)
	m.names = slices.Insert(m.names, at, h.Name)
	return r
}

// message frames a message with what always travels.
func (m *Machine) message(to string, msg Message) Send {
	msg.From = m.self
	msg.Note = m.note
	if r := m.suspectAt(to); r != nil {
		msg.News = append([]Member{r.Member}, msg.News...)
	}
	msg.Digest = m.digest()
	return Send{Address: to, Message: msg}
}

// suspectAt returns the suspect with an address. Each message to a suspect
// tells it of the suspicion, so that it can refute.
func (m *Machine) suspectAt(address string) *record {
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect && r.Address == address {
			return r
		}
	}
	return nil
}

// digest hashes the states that hosts should agree on.
func (m *Machine) digest() uint64 {
	var sum uint64
	add := func(h *Member) {
		state := uint64(h.Health)<<1 | 1
		if h.Health == Suspect {
			state = uint64(Alive)<<1 | 1
		}
		sum += rendez.Score(rendez.Hash(h.Name)^h.Incarnation, state)
	}
	add(&m.self)
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Alive || r.Health == Suspect {
			add(&r.Member)
		}
	}
	return sum
}

// takeNews returns news for one message, the least told first.
func (m *Machine) takeNews() []Member {
	limit := 3 * bits.Len(uint(len(m.names)+1))
	slices.SortStableFunc(m.news, func(a, b *record) int { return a.sent - b.sent })
	var out []Member
	for _, r := range m.news {
		if len(out) == maxNews {
			break
		}
		r.sent++
		out = append(out, r.Member)
	}
	m.news = slices.DeleteFunc(m.news, func(r *record) bool { return r.sent >= limit })
	return out
}

// spread queues a member as news.
func (m *Machine) spread(r *record) {
	r.sent = 0
	if !slices.Contains(m.news, r) {
		m.news = append(m.news, r)
	}
}

// Tick does what is due. It should be called at least four times a period.
func (m *Machine) Tick(now time.Duration) []Send {
	woke := m.lastTick > 0 && now-m.lastTick > wakeFactor*m.set.Period
	m.lastTick = now
	if woke {
		m.wake(now)
	}
	var out []Send
	out = m.checkProbe(now, out)
	m.checkSuspects(now)
	m.forget(now)
	if now >= m.nextVisit {
		m.nextVisit = now + revisitEvery
		out = m.revisit(out)
	}
	if m.probe == nil && now >= m.nextProbe {
		m.nextProbe = now + m.set.Period
		out = m.startProbe(now, out)
	}
	return out
}

// wake is called after a pause of the process. What was under way is
// forgotten and suspects get their time again; the own incarnation grows,
// since the others may have declared this host dead.
func (m *Machine) wake(now time.Duration) {
	m.probe = nil
	m.nextSync = 0
	m.settled = false
	m.self.Incarnation++
	m.generation++
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Suspect {
			r.changed = now
		}
	}
}

func (m *Machine) startProbe(now time.Duration, out []Send) []Send {
	target := m.nextTarget()
	if target == nil {
		return out
	}
	m.sequence++
	m.probe = &probe{target: target.Name, sequence: m.sequence, sentAt: now}
	return append(out, m.message(target.Address, Message{Kind: Ping, Sequence: m.sequence, News: m.takeNews()}))
}

// nextTarget returns the next member in the probing order, which is shuffled
// after each round.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for m.ringAt < len(m.ring) {
			r := m.members[m.ring[m.ringAt]]
			m.ringAt++
			if r != nil && (r.Health == Alive || r.Health == Suspect) {
				return r
			}
		}
		m.ring = slices.Clone(m.names)
		m.rng.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
		m.ringAt = 0
	}
	return nil
}

// checkProbe goes on with the ping under way.
func (m *Machine) checkProbe(now time.Duration, out []Send) []Send {
	p := m.probe
	if p == nil {
		return out
	}
	patience := m.set.AckTimeout * time.Duration(1+m.slowness)
	if !p.indirect && now-p.sentAt >= patience {
		p.indirect = true
		return m.askOthers(p, out)
	}
	if !p.indirect || now-p.sentAt < 3*patience {
		return out
	}
	m.probe = nil
	m.slowness = min(m.slowness+1, maxSlowness)
	r := m.members[p.target]
	if r == nil || r.Health != Alive {
		return out
	}
	m.suspect(now, r)
	m.sequence++
	return append(out, m.message(r.Address, Message{Kind: Ping, Sequence: m.sequence}))
}

func (m *Machine) askOthers(p *probe, out []Send) []Send {
	asked := 0
	for _, i := range m.rng.Perm(len(m.names)) {
		r := m.members[m.names[i]]
		if r.Health != Alive || r.Name == p.target {
			continue
		}
		out = append(out, m.message(r.Address, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.target}))
		asked++
		if asked == m.set.Indirect {
			break
		}
	}
	return out
}

func (m *Machine) suspect(now time.Duration, r *record) {
	r.Health = Suspect
	r.changed = now
	m.spread(r)
}

// suspicion returns how long a suspect may refute.
func (m *Machine) suspicion() time.Duration {
	grow := max(1, float64(bits.Len(uint(len(m.names)+1)))/3)
	return time.Duration(float64(m.set.Suspicion)*grow) + m.set.AckTimeout*time.Duration(m.slowness)
}

func (m *Machine) checkSuspects(now time.Duration) {
	limit := m.suspicion()
	for _, n := range m.names {
		r := m.members[n]
		if r.Health == Suspect && now-r.changed >= limit {
			m.become(now, r, Dead, false)
			m.spread(r)
		}
	}
}

// become changes a member's health and reports it.
func (m *Machine) become(now time.Duration, r *record, h Health, restarted bool) {
	r.Health = h
	r.changed = now
	m.changedAt = now
	m.generation++
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// forget drops members that are gone for long.
func (m *Machine) forget(now time.Duration) {
	m.names = slices.DeleteFunc(m.names, func(n string) bool {
		r := m.members[n]
		gone := r.Health == Dead || r.Health == Left || r.Health == Seeded
		if gone && now-r.changed > m.set.Remember {
			delete(m.members, n)
			m.generation++
			return true
		}
		return false
	})
}

// revisit pings a member that is dead or has not answered yet, so that the
// parts of a healed network find each other.
func (m *Machine) revisit(out []Send) []Send {
	var lost []*record
	for _, n := range m.names {
		if r := m.members[n]; r.Health == Dead || r.Health == Seeded {
			lost = append(lost, r)
		}
	}
	const most = 3
	for _, i := range m.rng.Perm(len(lost)) {
		if i >= most && len(lost) > 2*most {
			continue
		}
		m.sequence++
		out = append(out, m.message(lost[i].Address, Message{Kind: Ping, Sequence: m.sequence, News: []Member{lost[i].Member}}))
	}
	return out
}

// Receive handles a message of another host.
func (m *Machine) Receive(now time.Duration, msg *Message) []Send {
	if msg.From.Name == m.self.Name || msg.From.Name == "" {
		return nil
	}
	sender := m.heard(now, msg)
	for i := range msg.News {
		m.learn(now, &msg.News[i])
	}
	var out []Send
	switch msg.Kind {
	case Ping:
		out = append(out, m.message(msg.From.Address, Message{Kind: Ack, Sequence: msg.Sequence, News: m.takeNews()}))
	case Ack:
		out = m.acked(msg, out)
	case PingRequest:
		out = m.pingFor(now, msg, out)
	}
	if msg.Reply {
		out = append(out, m.list(msg.From.Address, false)...)
	}
	return m.compare(now, sender, msg, out)
}

// heard notes that the sender lives.
func (m *Machine) heard(now time.Duration, msg *Message) *record {
	from := msg.From
	m.learn(now, &from)
	r := m.members[from.Name]
	if r != nil && msg.Note > r.note {
		r.note = msg.Note
	}
	if r != nil && r.Health == Suspect && from.Incarnation == r.Incarnation {
		m.becomeQuietly(now, r)
	}
	return r
}

// becomeQuietly clears a suspicion by direct evidence.
func (m *Machine) becomeQuietly(now time.Duration, r *record) {
	r.Health = Alive
	r.changed = now
}

// learn merges news of one member.
func (m *Machine) learn(now time.Duration, news *Member) {
	if news.Name == m.self.Name {
		m.refute(news)
		return
	}
	if news.Health == Seeded || news.Health > Left || news.Name == "" {
		return
	}
	r := m.members[news.Name]
	if r == nil {
		if len(m.members) >= maxMembers {
			return
		}
		r = m.insert(now, *news)
		m.changedAt = now
		m.generation++
		m.events = append(m.events, Event{Member: r.Member})
		m.spread(r)
		return
	}
	if !overrides(news, &r.Member) {
		return
	}
	was := r.Member
	r.Member = *news
	r.changed = now
	m.changedAt = now
	m.spread(r)
	same := was.Health == news.Health || was.Health == Alive && news.Health == Suspect || was.Health == Suspect && news.Health == Alive
	if same && was.Leaving == news.Leaving && was.Address == news.Address && was.Forgot == news.Forgot && was.Joining == news.Joining {
		return
	}
	m.generation++
	restarted := was.Health == Alive && news.Health == Alive && news.Forgot && !was.Forgot
	m.events = append(m.events, Event{Member: r.Member, Restarted: restarted})
}

// refute answers a belief about this host that is not true.
func (m *Machine) refute(news *Member) {
	if m.self.Health == Left || news.Incarnation < m.self.Incarnation {
		return
	}
	if news.Health == Alive && news.Incarnation == m.self.Incarnation && news.Leaving == m.self.Leaving {
		return
	}
	m.self.Incarnation = news.Incarnation + 1
}

// acked handles an Ack: of the ping under way, or of one made for another.
func (m *Machine) acked(msg *Message, out []Send) []Send {
	if r, ok := m.relays[msg.Sequence]; ok {
		delete(m.relays, msg.Sequence)
		if o := m.members[r.origin]; o != nil {
			out = append(out, m.message(o.Address, Message{Kind: Ack, Sequence: r.sequence, Target: msg.From.Name, News: []Member{msg.From}}))
		}
		return out
	}
	p := m.probe
	if p == nil || p.sequence != msg.Sequence {
		return out
	}
	if msg.From.Name == p.target || strings.EqualFold(msg.Target, p.target) {
		m.probe = nil
		m.slowness = max(m.slowness-1, 0)
	}
	return out
}

// pingFor pings a member for another host.
func (m *Machine) pingFor(now time.Duration, msg *Message, out []Send) []Send {
	t := m.members[msg.Target]
	if t == nil {
		return out
	}
	for seq, r := range m.relays {
		if now-r.at > 4*m.set.Period {
			delete(m.relays, seq)
		}
	}
	m.sequence++
	m.relays[m.sequence] = relay{origin: msg.From.Name, sequence: msg.Sequence, at: now}
	return append(out, m.message(t.Address, Message{Kind: Ping, Sequence: m.sequence}))
}

// compare starts an exchange of lists if the sender's differs from this one.
func (m *Machine) compare(now time.Duration, sender *record, msg *Message, out []Send) []Send {
	if sender == nil {
		return out
	}
	m.agreed = msg.Digest == m.digest()
	m.settled = m.settled || m.agreed
	if m.agreed || msg.Kind == Sync || now < m.nextSync {
		return out
	}
	m.nextSync = now + firstSync
	if m.settled {
		if now-m.changedAt < m.set.Quiet {
			return out
		}
		m.nextSync = now + m.set.SyncEvery
	}
	return append(out, m.list(sender.Address, true)...)
}

// list returns the whole list in as many messages as it needs.
func (m *Machine) list(to string, reply bool) []Send {
	var out []Send
	var part []Member
	for i, n := range m.names {
		if r := m.members[n]; r.Health != Seeded {
			part = append(part, r.Member)
		}
		if len(part) == maxSync || i == len(m.names)-1 {
			out = append(out, m.message(to, Message{Kind: Sync, News: part, Reply: reply}))
			part = nil
			reply = false
		}
	}
	if len(m.names) == 0 {
		out = append(out, m.message(to, Message{Kind: Sync, Reply: reply}))
	}
	return out
}

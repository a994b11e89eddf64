package once

import "time"

// State is what a host knows of a key.
type State uint8

// The states.
const (
	// Absent: nothing is known.
	Absent State = iota
	// Reserved: another host said that it is about to run the request.
	Reserved
	// Running: this host reserves the key or runs the request.
	Running
	// Answered: the request was run; the answer may be kept.
	Answered
	// Lost: the request was handed to a server and no answer came.
	Unanswered
)

// Answer is a kept answer.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
	// Truncated tells that the body was too large to keep.
	Truncated bool `json:"truncated"`
}

// Record is what is kept of a key.
type Record struct {
	State State
	// Host runs or ran the request.
	Host uint64
	// Run tells the runs of the host apart, also after a restart; it is set
	// in state Reserved.
	AttemptID uint64
	// Print identifies the request's method and path, so that a key that is
	// used for another request is refused.
	Fingerprint uint64
	// At is when the record last changed.
	UpdatedAt time.Duration
	// Answer is set in state Answered at the host that ran the request.
	Answer *Answer
	// waiters are told when the request has ended.
	waiters []chan struct{}
}

// Settings of a Ledger. The zero value is usable.
type Settings struct {
	// Window is how long records are kept. The default is 10 min.
	Window time.Duration
	// MaxRecords bounds the records. The default is 50,000.
	MaxRecords int
	// MaxBody bounds the bytes of a kept answer. The default is 16 KiB.
	MaxBody int
	// MaxBytes bounds the bytes of all kept answers; beyond it, only that the
	// request was answered is kept. The default is 16 MiB.
	MaxBytes int
}

const (
	defaultWindow     = 10 * time.Minute
	defaultMaxRecords = 50_000
	defaultMaxBody    = 16 << 10
	defaultMaxBytes   = 16 << 20
)

// Verdict is what a host does with a request.
type Decision uint8

// The verdicts.
const (
	// Proceed: the key is new here; reserve it at others, then run.
	Proceed Decision = iota + 1
	// Join: the request runs here; wait for its end.
	Join
	// Replay: give the kept answer.
	Replay
	// Elsewhere: another host runs or ran it; ask that host.
	Forward
	// Unknown: it may have run; do not run it.
	OutcomeUnknown
	// Mismatch: the key was used for another request.
	Mismatch
	// Full: no room; the request is not run.
	Full
)

// Ledger keeps the records of one host.
type Ledger struct {
	set     Settings
	self    uint64
	records map[string]*Record
	// order lists keys by age for expiry.
	order []aged
	// bytes is the size of the kept answers' bodies.
	bytes int
}

type aged struct {
	key string
	at  time.Duration
}

// NewLedger returns an empty ledger for a host.
func NewLedger(self uint64, set Settings) *Ledger {
	if set.Window == 0 {
		set.Window = defaultWindow
	}
	if set.MaxRecords == 0 {
		set.MaxRecords = defaultMaxRecords
	}
	if set.MaxBody == 0 {
		set.MaxBody = defaultMaxBody
	}
	if set.MaxBytes == 0 {
		set.MaxBytes = defaultMaxBytes
	}
	return &Ledger{set: set, self: self, records: map[string]*Record{}}
}

// Window returns how long records are kept.
func (l *Ledger) Window() time.Duration { return l.set.Window }

// MaxBody returns how many bytes of an answer are kept.
func (l *Ledger) MaxBody() int { return l.set.MaxBody }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Lookup returns the record of a key, or nil.
func (l *Ledger) Lookup(key string) *Record { return l.records[key] }

// Begin decides on a request that arrived at this host as the key's owner.
// After Proceed the key is Running; the caller must end it with Finish, Lose
// or Release.
func (l *Ledger) Begin(now time.Duration, key string, print uint64) (Decision, *Record) {
	l.expire(now)
	r := l.records[key]
	if r == nil {
		if len(l.records) >= l.set.MaxRecords {
			return Full, nil
		}
		return Proceed, l.add(now, key, Record{State: Running, Host: l.self, Fingerprint: print})
	}
	return l.verdict(r, print), r
}

// Follow decides on a repeat that another host sent here because this host
// ran the request.
func (l *Ledger) DecideForwarded(key string, print uint64) (Decision, *Record) {
	r := l.records[key]
	if r == nil {
		return OutcomeUnknown, nil
	}
	v := l.verdict(r, print)
	if v == Forward {
		v = OutcomeUnknown
	}
	return v, r
}

func (l *Ledger) verdict(r *Record, print uint64) Decision {
	switch {
	case r.Fingerprint != print:
		return Mismatch
	case r.State == Running:
		return Join
	case r.State == Answered && r.Answer != nil:
		return Replay
	case r.Host != l.self:
		return Forward
	}
	return OutcomeUnknown
}

func (l *Ledger) add(now time.Duration, key string, r Record) *Record {
	r.UpdatedAt = now
	l.records[key] = &r
	l.order = append(l.order, aged{key, now})
	return &r
}

// Reserve handles another host's wish to run a key. It returns the record if
// the key is known already; else the key is now reserved for that host. The
// run must differ for each try of the host, also after a restart, so that
// only a doubled message is taken for the same try.
func (l *Ledger) Reserve(now time.Duration, key string, print, host, run uint64) (known *Record, ok bool) {
	l.expire(now)
	if r := l.records[key]; r != nil {
		if r.State == Reserved && r.Host == host && r.AttemptID == run {
			return nil, true
		}
		return r, true
	}
	if len(l.records) >= l.set.MaxRecords {
		return nil, false
	}
	l.add(now, key, Record{State: Reserved, Host: host, AttemptID: run, Fingerprint: print})
	return nil, true
}

// Finish notes that the request was answered, and wakes those that joined.
func (l *Ledger) Finish(now time.Duration, key string, a *Answer) {
	l.end(now, key, Answered, a)
}

// Lose notes that the request was handed over and not answered.
func (l *Ledger) MarkUnanswered(now time.Duration, key string) {
	l.end(now, key, Unanswered, nil)
}

func (l *Ledger) end(now time.Duration, key string, s State, a *Answer) {
	r := l.records[key]
	if r == nil || r.State != Running {
		return
	}
	r.State = s
	l.keep(r, a)
	r.UpdatedAt = now
	r.wake()
}

// keep stores an answer in a record, without its body if the bound of bytes
// is reached.
func (l *Ledger) keep(r *Record, a *Answer) {
	l.drop(r)
	r.Answer = a
	if a == nil {
		return
	}
	if l.bytes+len(a.Body) > l.set.MaxBytes {
		short := *a
		short.Body = nil
		short.Truncated = true
		r.Answer = &short
	}
	l.bytes += len(r.Answer.Body)
}

// drop no longer counts a record's answer.
func (l *Ledger) drop(r *Record) {
	if r.Answer != nil {
		l.bytes -= len(r.Answer.Body)
	}
}

// Release forgets a key whose request was not run. Where it is reserved for
// another host, only that host may release it, for the same run.
func (l *Ledger) Release(key string, host, run uint64) {
	r := l.records[key]
	if r == nil || r.Host != host {
		return
	}
	if r.State != Running && (r.State != Reserved || r.AttemptID != run) {
		return
	}
	delete(l.records, key)
	r.wake()
}

// Wait returns a channel that is closed when the record's request ends.
func (r *Record) Done() <-chan struct{} {
	c := make(chan struct{})
	r.waiters = append(r.waiters, c)
	return c
}

func (r *Record) wake() {
	for _, c := range r.waiters {
		close(c)
	}
	r.waiters = nil
}

// expire forgets records that are older than the window. A request that still
// runs is kept.
func (l *Ledger) expire(now time.Duration) {
	for len(l.order) > 0 && now-l.order[0].at > l.set.Window {
		a := l.order[0]
		l.order = l.order[1:]
		r := l.records[a.key]
		if r == nil {
			continue
		}
		if r.State == Running || now-r.UpdatedAt <= l.set.Window {
			l.order = append(l.order, aged{a.key, now})
			continue
		}
		l.drop(r)
		delete(l.records, a.key)
	}
}

// Each calls f with every record. It must not change the ledger.
func (l *Ledger) Each(f func(key string, r *Record)) {
	for k, r := range l.records {
		f(k, r)
	}
}

// Shared returns the record without what belongs to this process.
func (r *Record) Export() Record {
	return Record{State: r.State, Host: r.Host, AttemptID: r.AttemptID, Fingerprint: r.Fingerprint}
}

// Take takes over a record of a host that leaves. What is known here already
// is kept, but for a mere reservation, which an answer replaces.
func (l *Ledger) Import(now time.Duration, key string, r Record, a *Answer) {
	known := l.records[key]
	if known != nil && (known.State != Reserved || r.State != Answered) {
		return
	}
	r.Answer = nil
	r.waiters = nil
	r.UpdatedAt = now
	if r.State == Running {
		r.State = Reserved
	}
	switch {
	case known != nil:
		*known = r
		l.keep(known, a)
	case len(l.records) < l.set.MaxRecords:
		l.keep(l.add(now, key, r), a)
	}
}

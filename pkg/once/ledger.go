package once

import "time"

// State is the state of a key's request, as known to a host.
type State uint8

// States of a request.
const (
	// Absent is the state of a key without a record.
	Absent State = iota
	// Reserved means that another host has reserved the key and may run the
	// request.
	Reserved
	// Running means that this host reserves the key at its peers or runs the
	// request.
	Running
	// Answered means that the request has run. The record may hold the answer.
	Answered
	// Unanswered means that the request was sent to a server and that no
	// answer was received.
	Unanswered
)

// Answer is the stored answer to a request.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
	// Truncated reports whether the body was too large to store.
	Truncated bool `json:"truncated"`
}

// Record is a host's record of a key.
type Record struct {
	State State
	// Host is the ID of the host that runs or ran the request.
	Host uint64
	// AttemptID identifies the attempt for which Host reserved the key. It
	// differs for each attempt, even after a restart, and is set in state
	// Reserved.
	AttemptID uint64 `json:"Run"`
	// Fingerprint identifies the request's method and path. It allows rejecting
	// a key that is reused for another request.
	Fingerprint uint64 `json:"Print"`
	// UpdatedAt is the time of the record's last change.
	UpdatedAt time.Duration `json:"At"`
	// Answer is set in state Answered on the host that ran the request.
	Answer *Answer
	// waiters are closed when the request ends.
	waiters []chan struct{}
}

// Settings configures a Ledger. Zero fields select the defaults.
type Settings struct {
	// Window is how long records are kept after their last change. The default
	// is 10 min.
	Window time.Duration
	// MaxRecords is the maximum number of records. The default is 50,000.
	MaxRecords int
	// MaxBody is the maximum size of one stored answer body in bytes. The
	// default is 16 KiB.
	MaxBody int
	// MaxBytes is the maximum total size of all stored answer bodies. Answers
	// beyond it are stored without their bodies. The default is 16 MiB.
	MaxBytes int
}

const (
	defaultWindow     = 10 * time.Minute
	defaultMaxRecords = 50_000
	defaultMaxBody    = 16 << 10
	defaultMaxBytes   = 16 << 20
)

// Decision is what a host has to do with a request.
type Decision uint8

// Decisions on a request.
const (
	// Proceed means that the key is new here: reserve it at the peers of its
	// Plan, then run the request.
	Proceed Decision = iota + 1
	// Join means that the request is running here: wait until it ends.
	Join
	// Replay means that the stored answer is to be returned.
	Replay
	// Forward means that another host runs or ran the request: forward it to
	// Record.Host.
	Forward
	// OutcomeUnknown means that the request may have run and must not run again.
	OutcomeUnknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// Full means that the ledger holds MaxRecords records. The request must
	// not run.
	Full
)

// Ledger keeps the records of one host.
type Ledger struct {
	settings Settings
	self     uint64
	records  map[string]*Record
	// expiryQueue lists the keys in the order in which they are checked for
	// expiry.
	expiryQueue []expiryEntry
	// answerBytes is the total size of the stored answer bodies.
	answerBytes int
}

// expiryEntry is a key and the time at which it was queued for expiry.
type expiryEntry struct {
	key      string
	queuedAt time.Duration
}

// NewLedger returns an empty ledger for the host with ID self.
func NewLedger(self uint64, settings Settings) *Ledger {
	if settings.Window == 0 {
		settings.Window = defaultWindow
	}
	if settings.MaxRecords == 0 {
		settings.MaxRecords = defaultMaxRecords
	}
	if settings.MaxBody == 0 {
		settings.MaxBody = defaultMaxBody
	}
	if settings.MaxBytes == 0 {
		settings.MaxBytes = defaultMaxBytes
	}
	return &Ledger{settings: settings, self: self, records: map[string]*Record{}}
}

// Window returns how long records are kept after their last change.
func (l *Ledger) Window() time.Duration { return l.settings.Window }

// MaxBody returns the maximum size of a stored answer body in bytes. Finish does
// not enforce it; the application must.
func (l *Ledger) MaxBody() int { return l.settings.MaxBody }

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Lookup returns the record of a key, or nil if there is none.
func (l *Ledger) Lookup(key string) *Record { return l.records[key] }

// Begin decides what to do with a request for a key that this host owns. After
// Proceed the key is in state Running until the application calls Finish,
// MarkUnanswered or Release. The record is nil after Full.
func (l *Ledger) Begin(now time.Duration, key string, fingerprint uint64) (Decision, *Record) {
	l.expire(now)
	r := l.records[key]
	if r == nil {
		if len(l.records) >= l.settings.MaxRecords {
			return Full, nil
		}
		return Proceed, l.add(now, key, Record{State: Running, Host: l.self, Fingerprint: fingerprint})
	}
	return l.decide(r, fingerprint), r
}

// DecideForwarded decides what to do with a repeated request that another host
// forwarded here because its record names this host. It returns
// OutcomeUnknown where Begin returns Forward, so that a request is not
// forwarded again. The record is nil if this host has none.
func (l *Ledger) DecideForwarded(key string, fingerprint uint64) (Decision, *Record) {
	r := l.records[key]
	if r == nil {
		return OutcomeUnknown, nil
	}
	decision := l.decide(r, fingerprint)
	if decision == Forward {
		decision = OutcomeUnknown
	}
	return decision, r
}

// decide returns the decision on a request whose key has record r.
func (l *Ledger) decide(r *Record, fingerprint uint64) Decision {
	switch {
	case r.Fingerprint != fingerprint:
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

// add inserts a copy of r as the record of key and queues the key for expiry.
func (l *Ledger) add(now time.Duration, key string, r Record) *Record {
	r.UpdatedAt = now
	l.records[key] = &r
	l.expiryQueue = append(l.expiryQueue, expiryEntry{key, now})
	return &r
}

// Reserve reserves a key for an attempt of another host to run its request. It
// returns the existing record if there is one, and false if the ledger is full.
// A repeated call for the same attempt succeeds. The attempt ID must differ for
// each attempt of the host, even after a restart, so that only a duplicated
// message counts as a repetition.
func (l *Ledger) Reserve(now time.Duration, key string, fingerprint, host, attemptID uint64) (existing *Record, ok bool) {
	l.expire(now)
	if r := l.records[key]; r != nil {
		if r.State == Reserved && r.Host == host && r.AttemptID == attemptID {
			return nil, true
		}
		return r, true
	}
	if len(l.records) >= l.settings.MaxRecords {
		return nil, false
	}
	l.add(now, key, Record{State: Reserved, Host: host, AttemptID: attemptID, Fingerprint: fingerprint})
	return nil, true
}

// Finish records that the request was answered, and notifies the waiters. a is
// the answer to store, or nil to store none.
func (l *Ledger) Finish(now time.Duration, key string, a *Answer) {
	l.complete(now, key, Answered, a)
}

// MarkUnanswered records that the request may have run and has no known answer,
// and notifies the waiters.
func (l *Ledger) MarkUnanswered(now time.Duration, key string) {
	l.complete(now, key, Unanswered, nil)
}

// complete ends a running request in state s with answer a.
func (l *Ledger) complete(now time.Duration, key string, s State, a *Answer) {
	r := l.records[key]
	if r == nil || r.State != Running {
		return
	}
	r.State = s
	l.storeAnswer(r, a)
	r.UpdatedAt = now
	r.closeWaiters()
}

// storeAnswer stores an answer in a record, without its body if the body would
// exceed MaxBytes.
func (l *Ledger) storeAnswer(r *Record, a *Answer) {
	l.subtractAnswer(r)
	r.Answer = a
	if a == nil {
		return
	}
	if l.answerBytes+len(a.Body) > l.settings.MaxBytes {
		truncated := *a
		truncated.Body = nil
		truncated.Truncated = true
		r.Answer = &truncated
	}
	l.answerBytes += len(r.Answer.Body)
}

// subtractAnswer subtracts the record's answer from answerBytes.
func (l *Ledger) subtractAnswer(r *Record) {
	if r.Answer != nil {
		l.answerBytes -= len(r.Answer.Body)
	}
}

// Release removes the record of a key whose request did not run. It does
// nothing unless the record names the same host and the request is running
// here or is reserved for the same attempt.
func (l *Ledger) Release(key string, host, attemptID uint64) {
	r := l.records[key]
	if r == nil || r.Host != host {
		return
	}
	if r.State != Running && (r.State != Reserved || r.AttemptID != attemptID) {
		return
	}
	delete(l.records, key)
	r.closeWaiters()
}

// Done returns a channel that is closed when the request of the record ends.
func (r *Record) Done() <-chan struct{} {
	c := make(chan struct{})
	r.waiters = append(r.waiters, c)
	return c
}

// closeWaiters closes the channels that Done returned.
func (r *Record) closeWaiters() {
	for _, c := range r.waiters {
		close(c)
	}
	r.waiters = nil
}

// expire removes records that have not changed for longer than the window. Keys
// that were queued longer ago, but whose request is running or whose record has
// changed since, are queued again.
func (l *Ledger) expire(now time.Duration) {
	for len(l.expiryQueue) > 0 && now-l.expiryQueue[0].queuedAt > l.settings.Window {
		oldest := l.expiryQueue[0]
		l.expiryQueue = l.expiryQueue[1:]
		r := l.records[oldest.key]
		if r == nil {
			continue
		}
		if r.State == Running || now-r.UpdatedAt <= l.settings.Window {
			l.expiryQueue = append(l.expiryQueue, expiryEntry{oldest.key, now})
			continue
		}
		l.subtractAnswer(r)
		delete(l.records, oldest.key)
	}
}

// Each calls f for every record. f must not modify the ledger.
func (l *Ledger) Each(f func(key string, r *Record)) {
	for k, r := range l.records {
		f(k, r)
	}
}

// Export returns the part of the record that is sent to another host: all but
// the answer, the waiters and the time, which is relative to the host's epoch.
func (r *Record) Export() Record {
	return Record{State: r.State, Host: r.Host, AttemptID: r.AttemptID, Fingerprint: r.Fingerprint}
}

// Import adds a record that a leaving host handed over. An existing record is
// kept, except that an answered request replaces a reservation.
func (l *Ledger) Import(now time.Duration, key string, r Record, a *Answer) {
	existing := l.records[key]
	if existing != nil && (existing.State != Reserved || r.State != Answered) {
		return
	}
	r.Answer = nil
	r.waiters = nil
	r.UpdatedAt = now
	if r.State == Running {
		r.State = Reserved
	}
	switch {
	case existing != nil:
		*existing = r
		l.storeAnswer(existing, a)
	case len(l.records) < l.settings.MaxRecords:
		l.storeAnswer(l.add(now, key, r), a)
	}
}

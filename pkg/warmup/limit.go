package warmup

import "time"

// Limit limits the new flows that one host sends to one cold server. The zero
// value allows none.
type Limit struct {
	// feeders is the number of hosts that feed the server, and rank the number of
	// those before this host. This host feeds the server if rank < feeders.
	feeders, rank int
	spacing       time.Duration
	// coldSince is when the server became cold, as far as this host knows.
	coldSince time.Duration
	// sentAt is when the latest flow was sent. It is valid if hasSent is true.
	sentAt  time.Duration
	hasSent bool
}

// SetShare sets the result of Settings.Share for the server, and the rank of this
// host.
func (l *Limit) SetShare(feeders int, spacing time.Duration, rank int) {
	l.feeders, l.spacing, l.rank = feeders, spacing, rank
}

// IsFeeder reports whether this host feeds the server.
func (l *Limit) IsFeeder() bool { return l.rank < l.feeders }

// Feeders returns the number of hosts that feed the server.
func (l *Limit) Feeders() int { return l.feeders }

// Spacing returns the minimum spacing between flows.
func (l *Limit) Spacing() time.Duration { return l.spacing }

// Start records that the server became cold.
func (l *Limit) Start(now time.Duration) { l.coldSince = now }

// RecordSent records that a flow was sent to the server.
func (l *Limit) RecordSent(now time.Duration) { l.sentAt, l.hasSent = now, true }

// Next returns when the next flow may be sent by a host that feeds servers from
// feedFrom on; ok is false if it does not feed the server. The feeders start one
// after the other, since a server whose feeders all start at once would get as
// many flows at the same time.
func (l *Limit) Next(feedFrom time.Duration) (at time.Duration, ok bool) {
	if !l.IsFeeder() {
		return 0, false
	}
	at = max(l.coldSince, feedFrom) + l.spacing*time.Duration(l.rank)/time.Duration(l.feeders)
	if l.hasSent {
		at = max(at, l.sentAt+l.spacing)
	}
	return at, true
}

package steer

import "time"

const (
	// minWait and maxWait bound the time after which a SYN goes to another
	// server.
	minWait = 20 * time.Millisecond
	maxWait = 190 * time.Millisecond
	// firstWait is used before a handshake was seen.
	firstWait = 60 * time.Millisecond
)

// estimator learns how long handshakes with the servers of a data centre take,
// by the method of RFC 6298.
type estimator struct {
	mean, deviation time.Duration
}

// centre returns the estimator of a data centre.
func (t *Table) centre(name string) *estimator {
	e := t.centres[name]
	if e == nil {
		e = &estimator{}
		t.centres[name] = e
	}
	return e
}

// add notes how long a handshake took.
func (e *estimator) add(took time.Duration) {
	if e.mean == 0 {
		e.mean = took
		e.deviation = took / 2
		return
	}
	diff := took - e.mean
	e.mean += diff / 8
	e.deviation += (max(diff, -diff) - e.deviation) / 4
}

// wait returns how long an answer to a SYN is waited for.
func (e *estimator) wait() time.Duration {
	if e.mean == 0 {
		return firstWait
	}
	return min(max(e.mean+4*e.deviation, minWait), maxWait)
}

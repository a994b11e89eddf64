package steer

import "time"

const (
	// minHandshakeTimeout and maxHandshakeTimeout bound the time after which a
	// SYN is sent to another server.
	minHandshakeTimeout = 20 * time.Millisecond
	maxHandshakeTimeout = 190 * time.Millisecond
	// initialHandshakeTimeout is used until a handshake has been measured.
	initialHandshakeTimeout = 60 * time.Millisecond
)

// handshakeEstimator estimates how long handshakes with the servers of a data
// centre take, by the method of RFC 6298.
type handshakeEstimator struct {
	mean, deviation time.Duration
}

// estimator returns the handshake estimator of a data centre.
func (t *Table) estimator(dataCentre string) *handshakeEstimator {
	e := t.estimators[dataCentre]
	if e == nil {
		e = &handshakeEstimator{}
		t.estimators[dataCentre] = e
	}
	return e
}

// add records the duration of a handshake.
func (e *handshakeEstimator) add(took time.Duration) {
	if e.mean == 0 {
		e.mean = took
		e.deviation = took / 2
		return
	}
	diff := took - e.mean
	e.mean += diff / 8
	e.deviation += (max(diff, -diff) - e.deviation) / 4
}

// timeout returns how long to wait for the answer to a SYN.
func (e *handshakeEstimator) timeout() time.Duration {
	if e.mean == 0 {
		return initialHandshakeTimeout
	}
	return min(max(e.mean+4*e.deviation, minHandshakeTimeout), maxHandshakeTimeout)
}

package slots

import (
	"time"
)

// Settings configures a Book. The zero value selects the defaults.
type Settings struct {
	// Rest is the time after which the new owner of a slot uses it although the
	// former owner has not handed it over. The default is 2 s.
	Rest time.Duration
	// RestLost is the time for which a slot is not used after its former owner
	// or borrower has left the list of hosts. It is shorter than Rest because
	// the failure of a host is detected with a delay, in which requests end.
	// The default is 200 ms.
	RestLost time.Duration
	// Hold is the time after which a borrowed slot returns to its lender when
	// it becomes idle, even if requests wait. The default is 500 ms.
	Hold time.Duration
	// RenewEvery is the interval at which a borrower renews its leases. The
	// default is 500 ms. A lease expires after three intervals without renewal.
	RenewEvery time.Duration
	// AskTimeout is the timeout for a Grant. The default is 20 ms.
	AskTimeout time.Duration
	// Pushback is the time for which a slot is not used after its server has
	// shed a request. The default is 20 ms.
	Pushback time.Duration
	// AskPause is the delay before the next Want after all other owners have
	// refused. The default is 100 ms.
	AskPause time.Duration
}

const (
	defaultHandoverTimeout = 2 * time.Second
	defaultLostHostDelay   = 200 * time.Millisecond
	defaultMaxBorrowTime   = 500 * time.Millisecond
	defaultRenewInterval   = 500 * time.Millisecond
	defaultBorrowTimeout   = 20 * time.Millisecond
	defaultRefusalBackoff  = 100 * time.Millisecond
	defaultShedBackoff     = 20 * time.Millisecond
	// leaseIntervals is the duration of a lease in units of RenewEvery.
	leaseIntervals = 3
)

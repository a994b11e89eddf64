package slots

import (
	"time"
)

// Settings configures a Pool. The zero value selects the defaults.
type Settings struct {
	// HandoverTimeout is the time after which the new owner of a slot uses it
	// although the former owner has not handed it over. The default is 2 s.
	HandoverTimeout time.Duration
	// LostHostDelay is the time for which a slot is not used after its former
	// owner or borrower has left the list of hosts. It is shorter than
	// HandoverTimeout because the failure of a host is detected with a delay,
	// in which requests end. The default is 200 ms.
	LostHostDelay time.Duration
	// MaxBorrowTime is the time after which a borrowed slot returns to its
	// lender when it becomes idle, even if requests wait. The default is
	// 500 ms.
	MaxBorrowTime time.Duration
	// RenewInterval is the interval at which a borrower renews its leases. The
	// default is 500 ms. A lease expires after three intervals without renewal.
	RenewInterval time.Duration
	// BorrowTimeout is the timeout for a BorrowReply. The default is 20 ms.
	BorrowTimeout time.Duration
	// ShedBackoff is the time for which a slot is not used after its server has
	// shed a request. The default is 20 ms.
	ShedBackoff time.Duration
	// RefusalBackoff is the delay before the next BorrowRequest after every
	// other owner has refused or not replied in time. The default is 100 ms.
	RefusalBackoff time.Duration
}

const (
	defaultHandoverTimeout = 2 * time.Second
	defaultLostHostDelay   = 200 * time.Millisecond
	defaultMaxBorrowTime   = 500 * time.Millisecond
	defaultRenewInterval   = 500 * time.Millisecond
	defaultBorrowTimeout   = 20 * time.Millisecond
	defaultRefusalBackoff  = 100 * time.Millisecond
	defaultShedBackoff     = 20 * time.Millisecond
	// leaseIntervals is the duration of a lease in units of RenewInterval.
	leaseIntervals = 3
)

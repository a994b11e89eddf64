package slots

import (
	"time"
)

// Settings of a Book. The zero value is usable.
type Settings struct {
	// Rest is how long a slot with a new home is not used unless its former
	// home hands it over. The default is 2 s.
	HandoverTimeout time.Duration
	// RestLost is the same for a slot whose former home or borrower is lost,
	// which was noticed late anyway. The default is 200 ms.
	LostHostDelay time.Duration
	// Hold is how long a borrowed slot may be used for one request after the
	// other. The default is 500 ms.
	MaxBorrowTime time.Duration
	// RenewEvery is how often a borrower renews. The default is 500 ms; a
	// lender takes a slot back after three times as long.
	RenewInterval time.Duration
	// AskTimeout is the wait for a Grant. The default is 20 ms.
	BorrowTimeout time.Duration
	// Pushback is how long a slot rests after its server shed a request. The
	// default is 20 ms.
	ShedBackoff time.Duration
	// AskPause is the pause after all homes refused. The default is 100 ms.
	RefusalBackoff time.Duration
}

const (
	defaultRest       = 2 * time.Second
	defaultRestLost   = 200 * time.Millisecond
	defaultHold       = 500 * time.Millisecond
	defaultRenewEvery = 500 * time.Millisecond
	defaultAskTimeout = 20 * time.Millisecond
	defaultAskPause   = 100 * time.Millisecond
	defaultPushback   = 20 * time.Millisecond
	// reclaimAfter times RenewEvery without a Renew ends a loan.
	reclaimAfter = 3
)

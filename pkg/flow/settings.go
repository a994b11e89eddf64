package flow

import "time"

// Settings configures a Table. A field that is zero takes its default, so that
// the zero value is usable.
type Settings struct {
	// MaxEntries bounds the entries of the table, redirects included. The
	// default is 500,000.
	MaxEntries int
	// IdleTimeout is the time without datagrams after which a flow ends. The
	// default is 60 s.
	IdleTimeout time.Duration
	// CloseLinger is how long a flow is kept after a datagram with HintCloses.
	// The default is 2 s.
	CloseLinger time.Duration
	// QueryTimeout is the wait for a reply before a Query is repeated. The
	// default is 30 ms.
	QueryTimeout time.Duration
	// MaxQueryAttempts bounds how often a Query is sent to a host. The default
	// is 8, so that a host that pauses for a short time is not taken for one
	// that does not hold the flow.
	MaxQueryAttempts int
	// MaxQueriedHosts bounds the hosts that are queried for a flow. The default
	// is 3.
	MaxQueriedHosts int
	// MaxQueuedDatagrams bounds the datagrams that are queued per flow while
	// hosts are queried for its holder. The default is 16.
	MaxQueuedDatagrams int
	// MaxPendingQueries bounds the flows for which hosts are queried at the
	// same time. The default is 4096.
	MaxPendingQueries int
	// SilentAfter is the time without a reply after which a flow that had
	// replies before is ended as silent. The default is 8 s; if negative, flows
	// are never ended as silent.
	UnresponsiveTimeout time.Duration
	// MinUnanswered is the minimum number of unanswered datagrams for a flow to
	// be ended as silent. The default is 4.
	MinUnanswered int
	// LoadMargin is the relative difference by which the load of the first
	// candidate must exceed that of the second for the second to be chosen. The
	// default is 0.05.
	LoadMargin float64
	// RefreshInterval is the interval at which the exception of a live flow is
	// sent again. The default is 5 min.
	RefreshInterval time.Duration
	// MaxExceptionBytesPerSecond bounds the exceptions sent per second, in
	// bytes. The default is 4,000.
	MaxExceptionBytesPerSecond int
}

const (
	defaultMaxEntries                 = 500_000
	defaultIdleTimeout                = 60 * time.Second
	defaultCloseLinger                = 2 * time.Second
	defaultQueryTimeout               = 30 * time.Millisecond
	defaultMaxQueryAttempts           = 8
	defaultMaxQueriedHosts            = 3
	defaultMaxQueuedDatagrams         = 16
	defaultMaxPendingQueries          = 4096
	defaultSilentAfter                = 8 * time.Second
	defaultMinUnanswered              = 4
	defaultLoadMargin                 = 0.05
	defaultRefreshInterval            = 5 * time.Minute
	defaultMaxExceptionBytesPerSecond = 4000
)

// withDefaults returns s with the zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	setDefaultInt(&s.MaxEntries, defaultMaxEntries)
	setDefaultDuration(&s.IdleTimeout, defaultIdleTimeout)
	setDefaultDuration(&s.CloseLinger, defaultCloseLinger)
	setDefaultDuration(&s.QueryTimeout, defaultQueryTimeout)
	setDefaultInt(&s.MaxQueryAttempts, defaultMaxQueryAttempts)
	setDefaultInt(&s.MaxQueriedHosts, defaultMaxQueriedHosts)
	setDefaultInt(&s.MaxQueuedDatagrams, defaultMaxQueuedDatagrams)
	setDefaultInt(&s.MaxPendingQueries, defaultMaxPendingQueries)
	setDefaultDuration(&s.UnresponsiveTimeout, defaultSilentAfter)
	setDefaultInt(&s.MinUnanswered, defaultMinUnanswered)
	setDefaultDuration(&s.RefreshInterval, defaultRefreshInterval)
	setDefaultInt(&s.MaxExceptionBytesPerSecond, defaultMaxExceptionBytesPerSecond)
	if s.LoadMargin == 0 {
		s.LoadMargin = defaultLoadMargin
	}
	return s
}

// setDefaultInt sets *v to d if it is zero.
func setDefaultInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// setDefaultDuration sets *v to d if it is zero.
func setDefaultDuration(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

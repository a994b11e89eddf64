package flow

import "time"

// Settings configures a Table. A field that is zero takes its default, so that
// the zero value is usable.
type Settings struct {
	// MaxFlows bounds the entries of the table, redirects included. The default
	// is 500,000.
	MaxFlows int
	// IdleTimeout is the time without datagrams after which a flow ends. The
	// default is 60 s.
	IdleTimeout time.Duration
	// CloseLinger is how long a flow is kept after a datagram with HintCloses.
	// The default is 2 s.
	CloseLinger time.Duration
	// AskTimeout is the wait for a reply before an Ask is repeated. The default
	// is 30 ms.
	AskTimeout time.Duration
	// AskTries bounds how often an Ask is sent to a host. The default is 8, so
	// that a host that pauses for a short time is not taken for one that does
	// not hold the flow.
	AskTries int
	// AskWidth bounds the hosts that are queried for a flow. The default is 3.
	AskWidth int
	// MaxStash bounds the datagrams that are queued per flow while hosts are
	// queried for its holder. The default is 16.
	MaxStash int
	// MaxAsking bounds the flows for which hosts are queried at the same time.
	// The default is 4096.
	MaxAsking int
	// SilentAfter is the time without a reply after which a flow that had
	// replies before is ended as silent. The default is 8 s; if negative, flows
	// are never ended as silent.
	SilentAfter time.Duration
	// SilentPackets is the minimum number of unanswered datagrams for a flow to
	// be ended as silent. The default is 4.
	SilentPackets int
	// Margin is the relative difference by which the load of the first
	// candidate must exceed that of the second for the second to be chosen. The
	// default is 0.05.
	Margin float64
	// Refresh is the interval at which the exception of a live flow is sent
	// again. The default is 5 min.
	Refresh time.Duration
	// TellBytes bounds the exceptions sent per second, in bytes. The default is
	// 4,000.
	TellBytes int
}

const (
	defaultMaxEntries         = 500_000
	defaultIdleTimeout        = 60 * time.Second
	defaultCloseLinger        = 2 * time.Second
	defaultQueryTimeout       = 30 * time.Millisecond
	defaultMaxQueryAttempts   = 8
	defaultMaxQueriedHosts    = 3
	defaultMaxQueuedDatagrams = 16
	defaultMaxPendingQueries  = 4096
	defaultSilentAfter        = 8 * time.Second
	defaultMinUnanswered      = 4
	defaultLoadMargin         = 0.05
	defaultRefreshInterval    = 5 * time.Minute
	defaultMaxExceptionBytes  = 4000
)

// withDefaults returns s with the zero fields set to their defaults.
func (s Settings) withDefaults() Settings {
	setDefaultInt(&s.MaxFlows, defaultMaxEntries)
	setDefaultDuration(&s.IdleTimeout, defaultIdleTimeout)
	setDefaultDuration(&s.CloseLinger, defaultCloseLinger)
	setDefaultDuration(&s.AskTimeout, defaultQueryTimeout)
	setDefaultInt(&s.AskTries, defaultMaxQueryAttempts)
	setDefaultInt(&s.AskWidth, defaultMaxQueriedHosts)
	setDefaultInt(&s.MaxStash, defaultMaxQueuedDatagrams)
	setDefaultInt(&s.MaxAsking, defaultMaxPendingQueries)
	setDefaultDuration(&s.SilentAfter, defaultSilentAfter)
	setDefaultInt(&s.SilentPackets, defaultMinUnanswered)
	setDefaultDuration(&s.Refresh, defaultRefreshInterval)
	setDefaultInt(&s.TellBytes, defaultMaxExceptionBytes)
	if s.Margin == 0 {
		s.Margin = defaultLoadMargin
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

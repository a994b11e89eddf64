package flow

import "time"

// Settings bounds a Table. The zero value is usable: each field that is zero
// takes its default.
type Settings struct {
	// MaxFlows bounds the entries of the table. The default is 500,000.
	MaxEntries int
	// IdleTimeout ends a flow without datagrams. The default is 60 s.
	IdleTimeout time.Duration
	// CloseLinger keeps a flow after a closing hint. The default is 2 s.
	CloseLinger time.Duration
	// AskTimeout is the wait for an answer before asking again. The default
	// is 30 ms.
	QueryTimeout time.Duration
	// AskTries bounds how often a host is asked. The default is 8, so that a
	// host that pauses shortly is not taken for one that holds nothing.
	MaxQueryAttempts int
	// AskWidth bounds how many hosts are asked. The default is 3.
	MaxQueriedHosts int
	// MaxStash bounds the datagrams kept of a flow while its holder is
	// sought. The default is 16.
	MaxQueuedDatagrams int
	// MaxAsking bounds the flows whose holder is sought at one time. The
	// default is 4096.
	MaxPendingQueries int
	// SilentAfter is how long a flow that was answered before may stay
	// unanswered before it is ended. The default is 8 s; negative is never.
	SilentAfter time.Duration
	// SilentPackets is how many datagrams must have stayed unanswered. The
	// default is 4.
	MinUnanswered int
	// Margin is the relative load by which the first candidate must exceed
	// the second before the second is taken. The default is 0.05.
	LoadMargin float64
	// Refresh is how often the exceptions of a living flow are told again.
	// The default is 5 min.
	RefreshInterval time.Duration
	// TellBytes bounds the exceptions told in a second, in bytes. The default
	// is 4,000.
	MaxExceptionBytesPerSecond int
}

const (
	defaultMaxFlows      = 500_000
	defaultIdleTimeout   = 60 * time.Second
	defaultCloseLinger   = 2 * time.Second
	defaultAskTimeout    = 30 * time.Millisecond
	defaultAskTries      = 8
	defaultAskWidth      = 3
	defaultMaxStash      = 16
	defaultMaxAsking     = 4096
	defaultSilentAfter   = 8 * time.Second
	defaultSilentPackets = 4
	defaultMargin        = 0.05
	defaultRefresh       = 5 * time.Minute
	defaultTellBytes     = 4000
)

// withDefaults returns s with defaults in place of zeros.
func (s Settings) withDefaults() Settings {
	orInt(&s.MaxEntries, defaultMaxFlows)
	orTime(&s.IdleTimeout, defaultIdleTimeout)
	orTime(&s.CloseLinger, defaultCloseLinger)
	orTime(&s.QueryTimeout, defaultAskTimeout)
	orInt(&s.MaxQueryAttempts, defaultAskTries)
	orInt(&s.MaxQueriedHosts, defaultAskWidth)
	orInt(&s.MaxQueuedDatagrams, defaultMaxStash)
	orInt(&s.MaxPendingQueries, defaultMaxAsking)
	orTime(&s.SilentAfter, defaultSilentAfter)
	orInt(&s.MinUnanswered, defaultSilentPackets)
	orTime(&s.RefreshInterval, defaultRefresh)
	orInt(&s.MaxExceptionBytesPerSecond, defaultTellBytes)
	if s.LoadMargin == 0 {
		s.LoadMargin = defaultMargin
	}
	return s
}

func orInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func orTime(v *time.Duration, d time.Duration) {
	if *v == 0 {
		*v = d
	}
}

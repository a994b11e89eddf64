package flow

import "time"

// Settings bounds a Table. The zero value is usable: each field that is zero
// takes its default.
type Settings struct {
	// MaxFlows bounds the entries of the table. The default is 500,000.
	MaxFlows int
	// IdleTimeout ends a flow without datagrams. The default is 60 s.
	IdleTimeout time.Duration
	// CloseLinger keeps a flow after a closing hint. The default is 2 s.
	CloseLinger time.Duration
	// AskTimeout is the wait for an answer before asking again. The default
	// is 30 ms.
	AskTimeout time.Duration
	// AskTries bounds how often a host is asked. The default is 8, so that a
	// host that pauses shortly is not taken for one that holds nothing.
	AskTries int
	// AskWidth bounds how many hosts are asked. The default is 3.
	AskWidth int
	// MaxStash bounds the datagrams kept of a flow while its holder is
	// sought. The default is 16.
	MaxStash int
	// MaxAsking bounds the flows whose holder is sought at one time. The
	// default is 4096.
	MaxAsking int
	// SilentAfter is how long a flow that was answered before may stay
	// unanswered before it is ended. The default is 8 s; negative is never.
	SilentAfter time.Duration
	// SilentPackets is how many datagrams must have stayed unanswered. The
	// default is 4.
	SilentPackets int
	// Margin is the relative load by which the first candidate must exceed
	// the second before the second is taken. The default is 0.05.
	Margin float64
	// Refresh is how often the exceptions of a living flow are told again.
	// The default is 5 min.
	Refresh time.Duration
	// TellBytes bounds the exceptions told in a second, in bytes. The default
	// is 4,000.
	TellBytes int
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
	orInt(&s.MaxFlows, defaultMaxFlows)
	orTime(&s.IdleTimeout, defaultIdleTimeout)
	orTime(&s.CloseLinger, defaultCloseLinger)
	orTime(&s.AskTimeout, defaultAskTimeout)
	orInt(&s.AskTries, defaultAskTries)
	orInt(&s.AskWidth, defaultAskWidth)
	orInt(&s.MaxStash, defaultMaxStash)
	orInt(&s.MaxAsking, defaultMaxAsking)
	orTime(&s.SilentAfter, defaultSilentAfter)
	orInt(&s.SilentPackets, defaultSilentPackets)
	orTime(&s.Refresh, defaultRefresh)
	orInt(&s.TellBytes, defaultTellBytes)
	if s.Margin == 0 {
		s.Margin = defaultMargin
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

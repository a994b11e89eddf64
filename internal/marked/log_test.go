package marked

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lagoonramp.org/lagoonramp/pkg/steer"
)

// TestRefusalIsExplained guards against a refusal under overload whose log line
// does not lead to its cause: priority, waiting time and why the hold ended.
func TestRefusalIsExplained(t *testing.T) {
	key := steer.Key{Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443")}
	for _, c := range []struct {
		refusal refusal
		cause   any
	}{
		{refusal{key: key, reason: steer.Overload, priority: 2, waited: 1100 * time.Millisecond}, "holdEnded"},
		{refusal{key: key, reason: steer.Overload, priority: 2, waited: 700 * time.Millisecond, evicted: true}, "tooManyHeld"},
		{refusal{key: key, reason: steer.Overload, priority: 2, waited: 1100 * time.Millisecond, linkFull: true}, "linkFull"},
		{refusal{key: key, reason: steer.NoServer}, nil},
	} {
		is := is.New(t)
		core, lines := observer.New(zap.InfoLevel)
		newDecisionLog(zap.New(core)).flowRefused(0, c.refusal, nil)
		fields := lines.All()[0].ContextMap()
		is.Equal(fields["reason"], c.refusal.reason.String())
		is.Equal(fields["cause"], c.cause)
		if c.cause != nil {
			is.Equal(fields["priority"], int64(2))
			is.Equal(fields["waited"], c.refusal.waited)
		}
	}
}

package marked

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// decisionLog writes a line for each decision of the traffic loop, bounded by
// kind: of the ordinary ones a few a second, of the others more.
type decisionLog struct {
	ordinary *zap.Logger
	unusual  *zap.Logger
}

const (
	// ordinaryLines and unusualLines are how many lines of a kind are written
	// a second.
	ordinaryLines = 2
	unusualLines  = 20
	// slowAnswer is how long an answer takes that is noted.
	slowAnswer = 500 * time.Millisecond
)

func newDecisionLog(log *zap.Logger) *decisionLog {
	return &decisionLog{ordinary: sampled(log, ordinaryLines), unusual: sampled(log, unusualLines)}
}

func sampled(log *zap.Logger, lines int) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, lines, 0)
	}))
}

// flowFields names a flow, and the view by which it was decided.
func flowFields(now time.Duration, k steer.Key, by *published) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("caller", k.Caller), zap.Stringer("route", k.Service),
	}
	if by != nil {
		fields = append(fields, zap.Uint64("revision", by.view.StoreRevision), zap.Duration("age", now-by.confirmed))
	}
	return fields
}

func serverField(key string, s *fleet.Server) zap.Field {
	if s == nil {
		return zap.Skip()
	}
	return zap.String(key, s.ID)
}

// asked notes where a request goes. A request whose SYN went to more than one
// server is unusual.
func (l *decisionLog) asked(now time.Duration, p *steer.Packet, v *steer.Verdict, by *published, id func() string) {
	log := l.ordinary
	if v.Tries > 1 {
		log = l.unusual
	}
	if e := log.Check(zap.InfoLevel, "traffic: request forwarded"); e != nil {
		e.Write(append(flowFields(now, p.Key, by), zap.String("request", id()), serverField("server", v.Server), zap.Int("tries", v.Tries))...)
	}
}

// answered notes an answer that took long.
func (l *decisionLog) answered(now time.Duration, p *steer.Packet, v *steer.Verdict, by *published) {
	if v.AnswerTime < slowAnswer {
		return
	}
	if e := l.unusual.Check(zap.InfoLevel, "traffic: slow answer"); e != nil {
		e.Write(append(flowFields(now, p.Key, by), serverField("server", v.Server), zap.Duration("took", v.AnswerTime))...)
	}
}

func (l *decisionLog) dropped(now time.Duration, p *steer.Packet, why steer.Reason, by *published) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: packet dropped"); e != nil {
		e.Write(append(flowFields(now, p.Key, by), zap.Stringer("reason", why), zap.Uint32("mark", p.Mark))...)
	}
}

func (l *decisionLog) stale(now time.Duration, p *steer.Packet, by *published) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: SYN dropped, the host was paused"); e != nil {
		e.Write(flowFields(now, p.Key, by)...)
	}
}

func (l *decisionLog) refused(now time.Duration, p *steer.Packet, why steer.Reason, by *published) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: flow refused, not run"); e != nil {
		e.Write(append(flowFields(now, p.Key, by), zap.Stringer("reason", why))...)
	}
}

// resent notes that a flow's SYN goes to another server.
func (l *decisionLog) resent(now time.Duration, k steer.Key, silent, s *fleet.Server, by *published) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: server silent, SYN sent to another"); e != nil {
		e.Write(append(flowFields(now, k, by), serverField("silent", silent), serverField("server", s))...)
	}
}

// limit notes that new flows of a service are limited, or are no more.
func (l *decisionLog) limit(c steer.LimitChange) {
	text := "traffic: servers answer late, new flows are limited"
	if c.Limit == 0 {
		text = "traffic: servers answer in time, no limit any more"
	}
	l.unusual.Warn(text, zap.String("service", c.Service), zap.Float64("limit", c.Limit), zap.Int("busy", c.InFlight),
		zap.Float64("median", c.MedianRatio))
}

func (l *decisionLog) malformed(err error) {
	l.unusual.Warn("traffic: packet not understood", zap.Error(err))
}

func (l *decisionLog) failed(step string, err error) {
	l.unusual.Error("traffic: "+step, zap.Error(err))
}

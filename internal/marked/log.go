package marked

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// decisionLog logs the decisions of the traffic loop. The number of lines per
// second is limited for each message, more strictly for ordinary decisions than
// for unusual ones.
type decisionLog struct {
	ordinary *zap.Logger
	unusual  *zap.Logger
}

const (
	// ordinaryLinesPerSecond and unusualLinesPerSecond limit the lines of each
	// message.
	ordinaryLinesPerSecond = 2
	unusualLinesPerSecond  = 20
	// slowAnswerThreshold is the answer time from which an answer is logged.
	slowAnswerThreshold = 500 * time.Millisecond
)

func newDecisionLog(log *zap.Logger) *decisionLog {
	return &decisionLog{ordinary: newSampledLogger(log, ordinaryLinesPerSecond), unusual: newSampledLogger(log, unusualLinesPerSecond)}
}

// newSampledLogger returns a logger that writes each message at most lines times
// per second.
func newSampledLogger(log *zap.Logger, lines int) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, lines, 0)
	}))
}

// flowFields returns the log fields for a flow and for the view, which may be
// nil, on which the decision is based.
func flowFields(now time.Duration, k steer.Key, published *publishedView) []zap.Field {
	fields := []zap.Field{
		zap.Stringer("caller", k.Caller), zap.Stringer("route", k.Service),
	}
	if published != nil {
		fields = append(fields, zap.Uint64("revision", published.view.StoreRevision), zap.Duration("age", now-published.confirmedAt))
	}
	return fields
}

// serverField returns the log field for a server, or none if s is nil.
func serverField(key string, s *fleet.Server) zap.Field {
	if s == nil {
		return zap.Skip()
	}
	return zap.String(key, s.ID)
}

// requestForwarded logs the server of a request. A request of a flow whose SYN
// was sent to more than one server is unusual.
func (l *decisionLog) requestForwarded(now time.Duration, p *steer.Packet, v *steer.Verdict, published *publishedView, requestID func() string) {
	log := l.ordinary
	if v.Tries > 1 {
		log = l.unusual
	}
	if e := log.Check(zap.InfoLevel, "traffic: request forwarded"); e != nil {
		e.Write(append(flowFields(now, p.Key, published), zap.String("request", requestID()), serverField("server", v.Server), zap.Int("tries", v.Tries))...)
	}
}

// flowAdopted logs the first packet of a flow that was opened through another
// host.
func (l *decisionLog) flowAdopted(now time.Duration, p *steer.Packet, v *steer.Verdict, published *publishedView) {
	if e := l.ordinary.Check(zap.InfoLevel, "traffic: flow adopted"); e != nil {
		e.Write(append(flowFields(now, p.Key, published), serverField("server", v.Server), zap.Uint32("mark", p.Mark))...)
	}
}

// foreignMark logs a packet with the mark of another server than that of its
// flow: both answered the SYN.
func (l *decisionLog) foreignMark(now time.Duration, p *steer.Packet, v *steer.Verdict, published *publishedView) {
	if e := l.unusual.Check(zap.InfoLevel, "traffic: mark of another server, flow stays at its server"); e != nil {
		e.Write(append(flowFields(now, p.Key, published), serverField("server", v.Server), zap.Uint32("mark", p.Mark))...)
	}
}

// answerReceived logs an answer that took at least slowAnswerThreshold.
func (l *decisionLog) answerReceived(now time.Duration, p *steer.Packet, v *steer.Verdict, published *publishedView) {
	if v.AnswerTime < slowAnswerThreshold {
		return
	}
	if e := l.unusual.Check(zap.InfoLevel, "traffic: slow answer"); e != nil {
		e.Write(append(flowFields(now, p.Key, published), serverField("server", v.Server), zap.Duration("took", v.AnswerTime))...)
	}
}

func (l *decisionLog) packetDropped(now time.Duration, p *steer.Packet, reason steer.Reason, published *publishedView) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: packet dropped"); e != nil {
		e.Write(append(flowFields(now, p.Key, published), zap.Stringer("reason", reason), zap.Uint32("mark", p.Mark))...)
	}
}

func (l *decisionLog) staleSYNDropped(now time.Duration, p *steer.Packet, published *publishedView) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: SYN dropped, the host was paused"); e != nil {
		e.Write(flowFields(now, p.Key, published)...)
	}
}

// flowRefused logs a refusal, with what decided it in case of overload.
func (l *decisionLog) flowRefused(now time.Duration, r refusal, published *publishedView) {
	e := l.unusual.Check(zap.WarnLevel, "traffic: flow refused, not run")
	if e == nil {
		return
	}
	fields := append(flowFields(now, r.key, published), zap.Stringer("reason", r.reason))
	if r.reason == steer.Overload {
		cause := "holdEnded"
		switch {
		case r.evicted:
			cause = "tooManyHeld"
		case r.linkFull:
			cause = "linkFull"
		}
		fields = append(fields, zap.Int("priority", r.priority), zap.Duration("waited", r.waited), zap.String("cause", cause))
	}
	e.Write(fields...)
}

// flowReset logs that an open flow is reset because its server is unreachable.
func (l *decisionLog) flowReset(now time.Duration, r steer.Reset, published *publishedView) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: server unreachable, open flow reset"); e != nil {
		e.Write(append(flowFields(now, r.Key, published), serverField("server", r.Server))...)
	}
}

// probeEnded logs the result of a probe of a server.
func (l *decisionLog) probeEnded(r probeReport, published *publishedView) {
	if e := l.unusual.Check(zap.InfoLevel, "traffic: server probed"); e != nil {
		e.Write(serverField("server", r.probe.Server), zap.Stringer("result", r.result), zap.Duration("startedAt", r.probe.StartedAt),
			zap.Uint64("revision", published.view.StoreRevision))
	}
}

// synResent logs that the SYN of a flow is sent to another server.
func (l *decisionLog) synResent(now time.Duration, k steer.Key, unresponsive, s *fleet.Server, published *publishedView) {
	if e := l.unusual.Check(zap.WarnLevel, "traffic: server silent, SYN sent to another"); e != nil {
		e.Write(append(flowFields(now, k, published), serverField("silent", unresponsive), serverField("server", s))...)
	}
}

// noWarmServer logs that a SYN is deferred, refused or dropped because its service
// has only cold servers, and names one of these.
func (l *decisionLog) noWarmServer(now time.Duration, p *steer.Packet, v *steer.Verdict, table *steer.Table, published *publishedView) {
	e := l.unusual.Check(zap.WarnLevel, "traffic: only cold servers, SYN deferred or refused")
	if e == nil {
		return
	}
	s, rate, feeders := table.ColdServer(now, v.Service)
	e.Write(append(flowFields(now, p.Key, published), zap.String("service", v.Service), serverField("server", s),
		zap.Float64("rate", rate), zap.Int("feeders", feeders), zap.Bool("deferred", v.Action == steer.Hold))...)
}

// limitChanged logs the start or the end of a limit on the flows of a service.
func (l *decisionLog) limitChanged(c steer.LimitChange) {
	text := "traffic: servers answer late, new flows are limited"
	if c.Limit == 0 {
		text = "traffic: servers answer in time, limit on new flows removed"
	}
	l.unusual.Warn(text, zap.String("service", c.Service), zap.Float64("limit", c.Limit), zap.Int("busy", c.InFlight),
		zap.Float64("median", c.MedianRatio))
}

func (l *decisionLog) packetMalformed(err error) {
	l.unusual.Warn("traffic: malformed packet", zap.Error(err))
}

// operationFailed logs the failure of an operation that the text operation
// names.
func (l *decisionLog) operationFailed(operation string, err error) {
	l.unusual.Error("traffic: "+operation, zap.Error(err))
}

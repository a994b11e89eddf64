package steer

import (
	"math"
	"time"
)

const (
	// serverGain is the weight of a new answer in the slowness of a server, and
	// routeGain its weight in the typical answer time of a route.
	serverGain = 0.3
	routeGain  = 0.02
	// maxAnswerRatio bounds the effect of one answer, since some requests take
	// long by nature.
	maxAnswerRatio = 5.0
	// minSlowAnswers is the least number of answers for a server to count as
	// slow.
	minSlowAnswers = 3
	// A server is slow once its slowness exceeds slowThreshold, until it falls
	// below slowClearThreshold.
	slowThreshold      = 2.2
	slowClearThreshold = 1.5
	// slownessDecayTime is the time constant with which slowness decays without
	// new answers, so that a slow server is tried again.
	slownessDecayTime = 3 * time.Second
)

// typicalAnswerTime is a moving average of the answer times of a route, in
// seconds.
type typicalAnswerTime struct {
	mean    float64
	answers int
}

// add records an answer time and returns its ratio to the typical one.
func (a *typicalAnswerTime) add(took time.Duration) float64 {
	a.answers++
	gain := max(routeGain, 1/float64(a.answers))
	ratio := 1.0
	if a.mean > 0 {
		ratio = min(took.Seconds()/a.mean, maxAnswerRatio)
	}
	a.mean += gain * (min(took.Seconds(), max(a.mean, took.Seconds()/maxAnswerRatio)*maxAnswerRatio) - a.mean)
	return ratio
}

// slowness measures how slow a server is compared with the others of its
// routes. Its value is a moving average of the ratios of answer times to the
// typical ones, so 1 is typical.
type slowness struct {
	average   float64
	answers   int
	updatedAt time.Duration
	isSlow    bool
}

// add records an answer by the ratio of its time to the typical one.
func (s *slowness) add(now time.Duration, ratio float64) {
	s.average = s.decayed(now)
	s.answers++
	s.updatedAt = now
	s.average += serverGain * (ratio - s.average)
	s.updateIsSlow()
}

// decayed returns the slowness at a time. It decays to 1.
func (s *slowness) decayed(now time.Duration) float64 {
	if s.answers == 0 {
		return 1
	}
	return 1 + (s.average-1)*math.Exp(-float64(now-s.updatedAt)/float64(slownessDecayTime))
}

func (s *slowness) updateIsSlow() {
	if s.answers >= minSlowAnswers && s.average > slowThreshold {
		s.isSlow = true
	}
	if s.average < slowClearThreshold {
		s.isSlow = false
	}
}

// costFactor returns the factor by which slowness multiplies the cost of the
// server.
func (s *slowness) costFactor(now time.Duration) float64 {
	if !s.isSlow {
		return 1
	}
	f := s.decayed(now)
	if f < slowClearThreshold {
		s.isSlow = false
		return 1
	}
	return f
}

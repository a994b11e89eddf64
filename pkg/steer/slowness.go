package steer

import (
	"math"
	"time"
)

const (
	// speedGain is the weight of a new answer in a server's slowness, and
	// typicalGain that in what is typical of a route.
	speedGain   = 0.3
	typicalGain = 0.02
	// maxRatio bounds the part of one answer, since some requests are long by
	// nature.
	maxRatio = 5.0
	// minAnswers is how many answers it takes to call a server slow.
	minAnswers = 3
	// slowAbove is the slowness from which on a server is called slow, and
	// slowBelow that at which it is no more.
	slowAbove = 2.2
	slowBelow = 1.5
	// slowFades is the time in which a server's slowness fades by a factor of
	// e when nothing new is known of it, so that it is tried again.
	slowFades = 3 * time.Second
)

// typical learns how long the answers of a route take.
type typical struct {
	mean float64
	n    int
}

// add notes an answer and returns its time relative to the typical one.
func (y *typical) add(took time.Duration) float64 {
	y.n++
	gain := max(typicalGain, 1/float64(y.n))
	ratio := 1.0
	if y.mean > 0 {
		ratio = min(took.Seconds()/y.mean, maxRatio)
	}
	y.mean += gain * (min(took.Seconds(), max(y.mean, took.Seconds()/maxRatio)*maxRatio) - y.mean)
	return ratio
}

// speed is how slow a server is, relative to the others of its routes.
type speed struct {
	slowness float64
	answers  int
	at       time.Duration
	slow     bool
}

// add notes an answer by its ratio to the typical time.
func (s *speed) add(now time.Duration, ratio float64) {
	s.slowness = s.now(now)
	s.answers++
	s.at = now
	s.slowness += speedGain * (ratio - s.slowness)
	s.judge()
}

// now returns the slowness, which fades to 1.
func (s *speed) now(now time.Duration) float64 {
	if s.answers == 0 {
		return 1
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(now-s.at)/float64(slowFades))
}

func (s *speed) judge() {
	if s.answers >= minAnswers && s.slowness > slowAbove {
		s.slow = true
	}
	if s.slowness < slowBelow {
		s.slow = false
	}
}

// factor returns by what the cost of a server is multiplied.
func (s *speed) factor(now time.Duration) float64 {
	if !s.slow {
		return 1
	}
	f := s.now(now)
	if f < slowBelow {
		s.slow = false
		return 1
	}
	return f
}

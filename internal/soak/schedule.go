package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// schedule draws the faults of a run.
type schedule struct {
	rng *rand.Rand
	// faults and sequences are the faults to draw from.
	faults, sequences []fault
	// alternate says in which of two cycles a sequence starts.
	alternate int
	// cyclesWithSequence is the number of cycles in which none may start any more.
	cyclesWithSequence int
}

// newSchedule returns the schedule of a seed with the faults of the given names, or
// all if there are none.
func newSchedule(seed uint64, names []string) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 4)), alternate: int(seed % 2)}
	for _, f := range faults {
		switch {
		case len(names) > 0 && !slices.Contains(names, f.name):
		case f.severity == sequence:
			s.sequences = append(s.sequences, f)
		default:
			s.faults = append(s.faults, f)
		}
	}
	return s
}

// next returns the fault to start at a time since the start of the soak. It returns
// ok = false if none may start. A sequence starts in every other cycle, and no fault
// cuts hosts off the store while one is active, so that what was written can come
// into force.
func (s *schedule) next(elapsed time.Duration, sequenceActive bool) (f fault, ok bool) {
	cycle := int(elapsed / cycleDuration)
	due := len(s.faults) == 0 || cycle >= s.cyclesWithSequence && cycle%2 == s.alternate
	if len(s.sequences) > 0 && due && !sequenceActive {
		s.cyclesWithSequence = cycle + 1
		return s.sequences[s.rng.IntN(len(s.sequences))], true
	}
	if len(s.faults) == 0 {
		return fault{}, false
	}
	f = s.faults[s.rng.IntN(len(s.faults))]
	inFaultPhase := elapsed%cycleDuration <= faultPhase
	return f, f.severity == planned || inFaultPhase && !(f.severity == outOfTouch && sequenceActive)
}

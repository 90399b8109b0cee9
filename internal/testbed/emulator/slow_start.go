package emulator

import "time"

// slowStart is the period after the start of a machine in which it handles few offers and starts containers slowly.
type slowStart struct {
	spec         *MachineSpec
	recentOffers []time.Time // times of offers and probes in the current window
}

func (s *slowStart) reset() { s.recentOffers = nil }

// countOffer counts an offer or probe and reports whether the window now holds more than SlowStartCapacity of them.
func (s *slowStart) countOffer(startedAt, now time.Time) (exceeded bool) {
	if s.spec.SlowStartCapacity == 0 || now.Sub(startedAt) >= s.spec.SlowStartPeriod {
		s.recentOffers = nil
		return false
	}
	s.recentOffers = append(s.recentOffers, now)
	for len(s.recentOffers) > 0 && now.Sub(s.recentOffers[0]) > s.spec.SlowStartWindow {
		s.recentOffers = s.recentOffers[1:]
	}
	return len(s.recentOffers) > s.spec.SlowStartCapacity
}

// pace returns the pace at which the machine starts containers, as a fraction of the full pace. It rises linearly to 1.
func (s *slowStart) pace(startedAt time.Time) float64 {
	age := time.Since(startedAt)
	if age >= s.spec.SlowStartPeriod {
		return 1
	}
	initial := s.spec.SlowStartInitialPace
	return initial + (1-initial)*float64(age)/float64(s.spec.SlowStartPeriod)
}

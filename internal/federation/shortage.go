package federation

import "time"

// Shortage detects, with hysteresis, whether the origin is short of capacity: the state changes only
// after the opposite has been observed for MinDuration.
type Shortage struct {
	// MinDuration is how long the opposite state must be observed without interruption.
	MinDuration time.Duration
	active      bool
	// contradicted is set while the latest observations are the opposite of active, which they
	// have been since contradictedSince.
	contradicted      bool
	contradictedSince time.Duration
}

// Observe adds an observation, made at now, and reports whether there is a shortage.
func (s *Shortage) Observe(now time.Duration, short bool) bool {
	switch {
	case short == s.active:
		s.contradicted = false
	case !s.contradicted:
		s.contradicted, s.contradictedSince = true, now
	case now-s.contradictedSince >= s.MinDuration:
		s.active, s.contradicted = short, false
	}
	return s.active
}

// Active reports whether there was a shortage as of the last observation.
func (s *Shortage) Active() bool { return s.active }

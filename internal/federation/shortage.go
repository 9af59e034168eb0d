package federation

import "time"

// Shortage detects when the origin is short of capacity, with hysteresis: the observation has to
// hold for MinDuration before the state changes.
type Shortage struct {
	// MinDuration is how long the opposite must be observed without a break.
	MinDuration time.Duration
	active      bool
	// contradicted: the observations since then contradict active.
	contradicted      bool
	contradictedSince time.Duration
}

// Observe takes an observation and tells whether there is a shortage.
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

// Active tells whether there was a shortage at the last observation.
func (s *Shortage) Active() bool { return s.active }

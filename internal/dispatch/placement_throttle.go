package dispatch

import "time"

// placementThrottle keeps placement from taking more than a quarter of the time: on a full
// cluster with a long queue, a placement after each event took more than the processor
// has, and heartbeats went unanswered.
type placementThrottle struct{ nextDue time.Time }

const (
	// placementRestFactor is how long to rest after a placement, as a multiple of its duration.
	placementRestFactor = 3
	// maxPlacementRest bounds how long a heartbeat waits for a placement.
	maxPlacementRest = 100 * time.Millisecond
)

// recordPlacement notes a placement and how long it took.
func (p *placementThrottle) recordPlacement(began time.Time, took time.Duration) {
	p.nextDue = began.Add(took + min(placementRestFactor*took, maxPlacementRest))
}

// nextPlacement returns a channel that is ready as the next placement is due.
func (p *placementThrottle) nextPlacement() <-chan time.Time {
	if wait := time.Until(p.nextDue); wait > 0 {
		return time.After(wait)
	}
	return alreadyDue
}

// alreadyDue is always ready.
var alreadyDue = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

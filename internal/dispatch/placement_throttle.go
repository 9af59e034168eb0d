package dispatch

import "time"

// placementThrottle limits placement to a quarter of the time, unless maxPlacementRest shortens the
// pauses. On a full cluster with a long queue, placement after every event took more processor time
// than was available, and heartbeats were not answered.
type placementThrottle struct{ nextDue time.Time }

const (
	// placementRestFactor is the pause after a placement, as a multiple of its duration.
	placementRestFactor = 3
	// maxPlacementRest bounds that pause, and thus how long a heartbeat waits for a placement.
	maxPlacementRest = 100 * time.Millisecond
)

// recordPlacement schedules the next placement after one that began at the given time.
func (p *placementThrottle) recordPlacement(began time.Time, took time.Duration) {
	p.nextDue = began.Add(took + min(placementRestFactor*took, maxPlacementRest))
}

// nextPlacement returns a channel that is ready when the next placement is due.
func (p *placementThrottle) nextPlacement() <-chan time.Time {
	if wait := time.Until(p.nextDue); wait > 0 {
		return time.After(wait)
	}
	return alreadyDue
}

// alreadyDue is a channel that is always ready.
var alreadyDue = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

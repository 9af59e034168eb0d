package election

import (
	"sync/atomic"
	"time"
)

// How long a controller yields its candidacy.
const (
	// yieldAfterResignation is how long a controller that has resigned yields.
	yieldAfterResignation = 20 * time.Second
	// maxYield bounds how long a controller yields while there is no leader, because possibly no
	// other one is able to campaign.
	maxYield = 2 * time.Second
	// maxYieldUntilReady is the same bound for a controller that yields only because it is not
	// ready.
	maxYieldUntilReady = 500 * time.Millisecond
)

// candidacyYield decides whether this controller lets the others campaign first. Any goroutine may
// set requestedUntil and campaignNowUntil; the other fields belong to the goroutine of Elector.Run.
type candidacyYield struct {
	// noLeaderSince is when the leader key was first found missing; zero while there is a leader.
	noLeaderSince time.Time
	// resignedUntil is until when this controller yields because it has resigned.
	resignedUntil time.Time
	// requestedUntil is until when this controller was requested to yield, campaignNowUntil until
	// when it was requested to campaign without yielding, which takes precedence. Both are Unix
	// times in nanoseconds.
	requestedUntil   atomic.Int64
	campaignNowUntil atomic.Int64
}

// recordLeader records that there is a leader.
func (y *candidacyYield) recordLeader() { y.noLeaderSince = time.Time{} }

// recordResignation records that this controller has resigned.
func (y *candidacyYield) recordResignation() { y.resignedUntil = time.Now().Add(yieldAfterResignation) }

// shouldYield reports, while there is no leader, whether this controller lets the others campaign
// first. A nil ready function means that this controller is ready.
func (y *candidacyYield) shouldYield(ready func() bool) bool {
	now := time.Now()
	if y.noLeaderSince.IsZero() {
		y.noLeaderSince = now
	}
	if now.UnixNano() < y.campaignNowUntil.Load() {
		return false
	}
	withoutLeader := now.Sub(y.noLeaderSince)
	if ready != nil && !ready() && withoutLeader < maxYieldUntilReady {
		return true
	}
	requested := now.UnixNano() < y.requestedUntil.Load()
	resigned := !now.After(y.resignedUntil)
	return (requested || resigned) && withoutLeader < maxYield
}

// YieldCandidacy makes this controller let the others campaign first for a duration.
func (e *Elector) YieldCandidacy(d time.Duration) {
	e.yield.requestedUntil.Store(time.Now().Add(d).UnixNano())
}

// CampaignNow makes this controller campaign without yielding for a duration, even if it has just
// resigned.
func (e *Elector) CampaignNow(d time.Duration) {
	e.yield.campaignNowUntil.Store(time.Now().Add(d).UnixNano())
}

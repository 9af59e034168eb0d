package soak

import "time"

// combination is a group of faults that once, in combination, let tasks of cancelled jobs continue to
// run.
type combination struct {
	faults []scheduledFault
	// exclusive is set if the leader must not be disturbed: no other fault may come near the first
	// one of the combination.
	exclusive bool
}

// combinations are the functions that return a combination which starts at a given time.
var combinations = []func(start time.Duration, times agentTimes) combination{cancelOnHungMachines, cancelDuringFailovers}

// exclusionMargin is the minimum time between an exclusive fault and any other.
const exclusionMargin = 5 * time.Second

// The kills of a killLeaders fault follow one another.
const (
	leaderKills           = 4
	minLeaderKillInterval = 4 * time.Second
	leaderDowntime        = time.Second
	maxHeartbeatInterval  = 8 * time.Second // of all agentTimes
	// maxKillLeadersDuration is the maximum duration of a killLeaders fault, whose share is at most
	// one half.
	maxKillLeadersDuration = (leaderKills-1)*(minLeaderKillInterval+maxHeartbeatInterval/2) + leaderDowntime
)

// overlaps reports whether a fault overlaps another one or is within exclusionMargin of it.
func (f scheduledFault) overlaps(other scheduledFault) bool {
	duration := f.duration
	if f.kind == killLeaders {
		duration = max(duration, maxKillLeadersDuration)
	}
	return f.start < other.start+other.duration+exclusionMargin && other.start < f.start+duration+exclusionMargin
}

// cancelMost returns a fault in which most of the jobs that run until they are cancelled are
// cancelled at once, 200 ms after the given time.
func cancelMost(start time.Duration) scheduledFault {
	return scheduledFault{kind: cancelJobs, start: start + 200*time.Millisecond, share: 0.9}
}

// cancelOnHungMachines returns a combination in which jobs are cancelled while their machines hang.
// The machines hang longer than a leader waits for heartbeats and shorter than the agents' lease;
// some stop commands are lost, and the cloud is unavailable, so that no machine is deleted.
func cancelOnHungMachines(start time.Duration, times agentTimes) combination {
	hangTime := min(4*times.heartbeatInterval+2*time.Second, times.lease*9/10)
	return combination{exclusive: true, faults: []scheduledFault{
		{kind: hungMachines, start: start, duration: hangTime, share: 0.3},
		cancelMost(start),
		{kind: lostCommands, start: start, duration: hangTime, share: 0.3},
		{kind: cloudOutage, start: start, duration: 2 * times.lease},
	}}
}

// cancelDuringFailovers returns a combination in which jobs are cancelled while leaders are killed
// one after the other and commands are lost.
func cancelDuringFailovers(start time.Duration, times agentTimes) combination {
	return combination{faults: []scheduledFault{
		{kind: lostCommands, start: start, duration: times.lease, share: 0.5},
		cancelMost(start),
		{kind: killLeaders, start: start + 300*time.Millisecond, duration: time.Second, target: currentLeader},
	}}
}

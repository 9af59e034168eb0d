package soak

import "time"

// combination is some faults that, together, once made tasks of cancelled jobs run on.
type combination struct {
	faults []scheduledFault
	// exclusive: it needs a leader that is not disturbed, so that no other fault may be near its
	// first one.
	exclusive bool
}

var combinations = []func(start time.Duration, times agentTimes) combination{cancelOnHungMachines, cancelDuringFailovers}

// exclusionMargin is the least time between an exclusive fault and others.
const exclusionMargin = 5 * time.Second

// maxKillLeadersDuration is how long killing leaders one after the other takes at most.
const maxKillLeadersDuration = 20 * time.Second

// overlaps reports whether a fault overlaps another one or comes near it.
func (f scheduledFault) overlaps(other scheduledFault) bool {
	duration := f.duration
	if f.kind == killLeaders {
		duration = max(duration, maxKillLeadersDuration)
	}
	return f.start < other.start+other.duration+exclusionMargin && other.start < f.start+duration+exclusionMargin
}

// cancelMost cancels most of the jobs that run until they are cancelled, all at once.
func cancelMost(start time.Duration) scheduledFault {
	return scheduledFault{kind: cancelJobs, start: start + 200*time.Millisecond, share: 0.9}
}

// cancelOnHungMachines: jobs are cancelled while their machines hang, for longer than a leader waits
// for heartbeats and shorter than the workers' lease; some stop commands are lost, and the cloud
// deletes no machines.
func cancelOnHungMachines(start time.Duration, times agentTimes) combination {
	hangTime := min(4*times.heartbeatInterval+2*time.Second, times.lease*9/10)
	return combination{exclusive: true, faults: []scheduledFault{
		{kind: hungMachines, start: start, duration: hangTime, share: 0.3},
		cancelMost(start),
		{kind: lostCommands, start: start, duration: hangTime, share: 0.3},
		{kind: cloudOutage, start: start, duration: 2 * times.lease},
	}}
}

// cancelDuringFailovers: jobs are cancelled while leaders are killed one after the other, and
// commands are lost.
func cancelDuringFailovers(start time.Duration, times agentTimes) combination {
	return combination{faults: []scheduledFault{
		{kind: lostCommands, start: start, duration: times.lease, share: 0.5},
		cancelMost(start),
		{kind: killLeaders, start: start + 300*time.Millisecond, duration: time.Second, target: currentLeader},
	}}
}

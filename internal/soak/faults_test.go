package soak

import (
	"time"

	"leadproxy/internal/fake"
)

// beginFault begins a fault and returns the function that ends it.
func (r *run) beginFault(f scheduledFault) (end func()) {
	commandShare := min(1, 2*f.share)
	watchShare := min(1, 2*f.share)
	switch f.kind {
	case killController, killAllControllers, killLeaders, suspendController:
		return r.beginProcessFault(f)
	case cutStore, cutPeers, cutAgents, cutAllButAgents:
		return r.dropBytes(r.relaysOf(f), f.directions)
	case hungMachines, inboundCut, outboundCut, rebootedMachines, terminatedMachines, duplicateHeartbeats, replayedHeartbeats:
		return r.beginMachineFault(f)
	case storeOutage:
		r.deployment.Store.SetOutage(true)
		return func() { r.deployment.Store.SetOutage(false) }
	case slowStore:
		r.deployment.Store.SetDelay(time.Duration(f.share * float64(time.Second)))
		return func() { r.deployment.Store.SetDelay(0) }
	case lateWrites:
		return r.writeFaults.begin(messageFault{fake.Delayed, f.share, minMessageDelay, maxMessageDelay})
	case lostResponses:
		return r.writeFaults.begin(messageFault{kind: fake.ResponseLost, share: f.share})
	case lostWatches:
		return r.watchFaults.begin(messageFault{kind: fake.ResponseLost, share: watchShare})
	case lateWatches:
		return r.watchFaults.begin(messageFault{fake.ResponseLate, watchShare, 0, maxReadDelay})
	case lostReads:
		return r.readFaults.begin(messageFault{kind: fake.ResponseLost, share: f.share / 2})
	case lateReads:
		return r.readFaults.begin(messageFault{fake.ResponseLate, f.share / 2, 0, maxReadDelay})
	case lostCommands:
		return r.commandFaults.begin(messageFault{kind: fake.RequestLost, share: commandShare})
	case lateCommands:
		return r.commandFaults.begin(messageFault{fake.Delayed, commandShare, minMessageDelay, maxMessageDelay})
	case duplicateCommands:
		return r.commandFaults.begin(messageFault{kind: fake.Duplicated, share: commandShare})
	case repeatedCommands:
		return r.repeatFaults.begin(messageFault{fake.Repeated, commandShare, minMessageDelay, maxMessageDelay})
	case cloudOutage:
		return r.cloudFaults.begin(messageFault{kind: fake.Unavailable, share: 1})
	case cancelJobs:
		r.cancelSome(f.share)
	}
	return func() {}
}

// targetOf returns the index of the controller that a fault applies to. If it is the leader and
// there is none, the fault applies to the first controller.
func (r *run) targetOf(f scheduledFault) int {
	if leader := fake.Leader(r.deployment.Store, r.deployment.Controllers); f.target == currentLeader && leader >= 0 {
		return leader
	}
	return max(f.target, 0)
}

// beginProcessFault kills or suspends controllers; end restarts or resumes them.
func (r *run) beginProcessFault(f scheduledFault) (end func()) {
	target := r.targetOf(f)
	controllers := []*fake.Process{r.deployment.Controllers[target]}
	if f.kind == killAllControllers {
		controllers = r.deployment.Controllers
	}
	for _, controller := range controllers {
		if f.kind == suspendController {
			controller.Suspend()
		} else {
			controller.Kill()
		}
	}
	return func() {
		for _, controller := range controllers {
			r.resume(controller)
		}
	}
}

// resume makes sure that a controller is running, whether it was killed, suspended or neither.
func (r *run) resume(controller *fake.Process) {
	if controller.Running() {
		controller.Resume()
	} else {
		controller.Start(r.program)
	}
}

// relaysOf returns the relays that a fault applies to.
func (r *run) relaysOf(f scheduledFault) []*fake.Relay {
	relays := &r.deployment.Relays[r.targetOf(f)]
	switch f.kind {
	case cutStore:
		return []*fake.Relay{relays.Store}
	case cutPeers:
		return relays.Peers
	case cutAgents:
		return []*fake.Relay{relays.Agents}
	}
	return append([]*fake.Relay{relays.Store}, relays.Peers...)
}

// dropBytes makes relays drop all bytes in the given directions until end is called.
func (r *run) dropBytes(relays []*fake.Relay, directions []fake.Direction) (end func()) {
	setDropping := func(dropping bool) {
		for _, relay := range relays {
			for _, direction := range directions {
				relay.SetDropping(direction, dropping)
			}
		}
	}
	setDropping(true)
	return func() { setDropping(false) }
}

package soak

import (
	"slices"
	"time"

	"leadproxy/internal/fake"
)

// beginMachineFault begins a fault on a random share of the machines and returns the function that
// ends it on the same machines.
func (r *run) beginMachineFault(f scheduledFault) (end func()) {
	agents := r.randomAgents(f.share)
	setFault := r.machineFault(f.kind)
	for _, agent := range agents {
		setFault(agent, true)
	}
	return func() {
		for _, agent := range agents {
			setFault(agent, false)
		}
	}
}

// machineFault returns the function that begins (on) or ends a kind of fault on one machine.
func (r *run) machineFault(kind faultKind) func(agent *fake.Agent, on bool) {
	return map[faultKind]func(agent *fake.Agent, on bool){
		hungMachines: (*fake.Agent).SetHung,
		inboundCut:   (*fake.Agent).SetInboundCut,
		outboundCut:  (*fake.Agent).SetOutboundCut,
		rebootedMachines: func(agent *fake.Agent, on bool) {
			if on {
				agent.Reboot()
			}
		},
		terminatedMachines: func(agent *fake.Agent, on bool) {
			if on {
				r.deployment.Cloud.Terminate(agent.Name())
			}
		},
		duplicateHeartbeats: func(agent *fake.Agent, on bool) {
			if !on {
				agent.DuplicateHeartbeats(nil)
				return
			}
			delay := minMessageDelay + time.Duration(r.random.Int64N(int64(maxMessageDelay)))
			agent.DuplicateHeartbeats(func() time.Duration { return delay })
		},
		replayedHeartbeats: func(agent *fake.Agent, on bool) {
			if on {
				agent.SaveHeartbeat()
			} else {
				agent.ReplayHeartbeat()
			}
		},
	}[kind]
}

// randomAgents returns the agents of a random share of the machines that are up.
func (r *run) randomAgents(share float64) []*fake.Agent {
	return slices.DeleteFunc(r.deployment.Cloud.Agents(), func(*fake.Agent) bool { return r.random.Float64() >= share })
}

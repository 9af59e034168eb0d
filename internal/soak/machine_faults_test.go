package soak

import (
	"slices"
	"time"

	"leadproxy/internal/fake"
)

// beginMachineFault lets a fault begin on a share of the machines.
func (r *run) beginMachineFault(f scheduledFault) (end func()) {
	workers := r.randomAgents(f.share)
	set := r.machineFault(f.kind)
	for _, w := range workers {
		set(w, true)
	}
	return func() {
		for _, w := range workers {
			set(w, false)
		}
	}
}

// machineFault returns the function that lets a kind of fault begin and end on one machine.
func (r *run) machineFault(kind faultKind) func(w *fake.Agent, on bool) {
	return map[faultKind]func(w *fake.Agent, on bool){
		hungMachines: (*fake.Agent).SetHung,
		inboundCut:   (*fake.Agent).SetInboundCut,
		outboundCut:  (*fake.Agent).SetOutboundCut,
		rebootedMachines: func(w *fake.Agent, on bool) {
			if on {
				w.Reboot()
			}
		},
		terminatedMachines: func(w *fake.Agent, on bool) {
			if on {
				r.deployment.Cloud.Terminate(w.Name())
			}
		},
		duplicateHeartbeats: func(w *fake.Agent, on bool) {
			if !on {
				w.DuplicateHeartbeats(nil)
				return
			}
			delay := minMessageDelay + time.Duration(r.random.Int64N(int64(maxMessageDelay)))
			w.DuplicateHeartbeats(func() time.Duration { return delay })
		},
		replayedHeartbeats: func(w *fake.Agent, on bool) {
			if on {
				w.SaveHeartbeat()
			} else {
				w.ReplayHeartbeat()
			}
		},
	}[kind]
}

// randomAgents is a random share of the machines that are up.
func (r *run) randomAgents(share float64) []*fake.Agent {
	return slices.DeleteFunc(r.deployment.Cloud.Agents(), func(*fake.Agent) bool { return r.random.Float64() >= share })
}

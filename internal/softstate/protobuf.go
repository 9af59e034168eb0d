package softstate

import (
	"time"

	"leadproxy/internal/softstate/hintpb"
)

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// encode converts a batch to its protobuf message.
func encode(batch Batch) *hintpb.Batch {
	message := &hintpb.Batch{Term: batch.Term, Sequence: batch.Sequence}
	for _, m := range batch.Machines {
		message.Machines = append(message.Machines, encodeMachine(m))
	}
	if batch.Estimates != nil {
		message.Estimates = encodeEstimates(batch.Estimates)
	}
	return message
}

func encodeMachine(m Machine) *hintpb.Machine {
	message := &hintpb.Machine{Name: m.Name, Gone: m.Gone, Address: m.Address, AgentEpoch: m.AgentEpoch, FencingToken: m.FencingToken,
		SinceHeartbeatMs: toMillis(m.SinceHeartbeat), IdleMs: toMillis(m.Idle)}
	for _, image := range m.Images {
		message.Images = append(message.Images, &hintpb.Image{Name: image.Name, Gb: image.GB})
	}
	for _, a := range m.Allocations {
		message.Allocations = append(message.Allocations, &hintpb.Booking{Task: a.Task, Attempt: a.Attempt, RunningMs: toMillis(a.Running)})
	}
	return message
}

func encodeEstimates(e *Estimates) *hintpb.Learned {
	message := &hintpb.Learned{RunRatios: e.RunRatios, BootS: e.BootSeconds}
	for _, pool := range e.Pools {
		message.Pools = append(message.Pools, &hintpb.Offer{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot,
			BackoffLeftMs: toMillis(pool.BackoffLeft), BackoffMs: toMillis(pool.Backoff), Filled: int64(pool.Filled)})
	}
	return message
}

// decode converts a protobuf message to a batch. The values are validated when the batch is applied.
func decode(message *hintpb.Batch) Batch {
	batch := Batch{Term: message.GetTerm(), Sequence: message.GetSequence()}
	for _, m := range message.GetMachines() {
		batch.Machines = append(batch.Machines, decodeMachine(m))
	}
	if message.GetEstimates() != nil {
		batch.Estimates = decodeEstimates(message.GetEstimates())
	}
	return batch
}

func decodeMachine(message *hintpb.Machine) Machine {
	machine := Machine{Name: message.GetName(), Gone: message.GetGone(), Address: message.GetAddress(), AgentEpoch: message.GetAgentEpoch(), FencingToken: message.GetFencingToken(),
		SinceHeartbeat: fromMillis(message.GetSinceHeartbeatMs()), Idle: fromMillis(message.GetIdleMs())}
	for _, image := range message.GetImages() {
		machine.Images = append(machine.Images, Image{Name: image.GetName(), GB: image.GetGb()})
	}
	for _, a := range message.GetAllocations() {
		machine.Allocations = append(machine.Allocations, Allocation{Task: a.GetTask(), Attempt: a.GetAttempt(), Running: fromMillis(a.GetRunningMs())})
	}
	return machine
}

func decodeEstimates(message *hintpb.Learned) *Estimates {
	estimates := &Estimates{RunRatios: message.GetRunRatios(), BootSeconds: message.GetBootS()}
	for _, pool := range message.GetPools() {
		estimates.Pools = append(estimates.Pools, CapacityPool{Type: pool.GetType(), Zone: pool.GetZone(), Spot: pool.GetSpot(),
			BackoffLeft: fromMillis(pool.GetBackoffLeftMs()), Backoff: fromMillis(pool.GetBackoffMs()), Filled: int(pool.GetFilled())})
	}
	return estimates
}

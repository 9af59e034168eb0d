package softstate

import (
	"time"

	"leadproxy/internal/softstate/hintpb"
)

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// encode converts a batch to its message.
func encode(b Batch) *hintpb.Batch {
	out := &hintpb.Batch{Term: b.Term, Sequence: b.Sequence}
	for _, m := range b.Machines {
		out.Machines = append(out.Machines, encodeMachine(m))
	}
	if b.Estimates != nil {
		out.Estimates = encodeEstimates(b.Estimates)
	}
	return out
}

func encodeMachine(m Machine) *hintpb.Machine {
	out := &hintpb.Machine{Name: m.Name, Gone: m.Gone, Address: m.Address, AgentEpoch: m.AgentEpoch, FencingToken: m.FencingToken,
		SinceHeartbeatMs: toMillis(m.SinceHeartbeat), IdleMs: toMillis(m.Idle)}
	for _, image := range m.Images {
		out.Images = append(out.Images, &hintpb.Image{Name: image.Name, Gb: image.GB})
	}
	for _, a := range m.Allocations {
		out.Allocations = append(out.Allocations, &hintpb.Booking{Task: a.Task, Attempt: a.Attempt, RunningMs: toMillis(a.Running)})
	}
	return out
}

func encodeEstimates(e *Estimates) *hintpb.Learned {
	out := &hintpb.Learned{RunRatios: e.RunRatios, BootS: e.BootSeconds}
	for _, pool := range e.Pools {
		out.Pools = append(out.Pools, &hintpb.Offer{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot,
			BackoffLeftMs: toMillis(pool.BackoffLeft), BackoffMs: toMillis(pool.Backoff), Filled: int64(pool.Filled)})
	}
	return out
}

// decode converts a message to a batch. Its values are validated when the batch is applied.
func decode(b *hintpb.Batch) Batch {
	out := Batch{Term: b.GetTerm(), Sequence: b.GetSequence()}
	for _, m := range b.GetMachines() {
		out.Machines = append(out.Machines, decodeMachine(m))
	}
	if b.GetEstimates() != nil {
		out.Estimates = decodeEstimates(b.GetEstimates())
	}
	return out
}

func decodeMachine(m *hintpb.Machine) Machine {
	out := Machine{Name: m.GetName(), Gone: m.GetGone(), Address: m.GetAddress(), AgentEpoch: m.GetAgentEpoch(), FencingToken: m.GetFencingToken(),
		SinceHeartbeat: fromMillis(m.GetSinceHeartbeatMs()), Idle: fromMillis(m.GetIdleMs())}
	for _, image := range m.GetImages() {
		out.Images = append(out.Images, Image{Name: image.GetName(), GB: image.GetGb()})
	}
	for _, a := range m.GetAllocations() {
		out.Allocations = append(out.Allocations, Allocation{Task: a.GetTask(), Attempt: a.GetAttempt(), Running: fromMillis(a.GetRunningMs())})
	}
	return out
}

func decodeEstimates(e *hintpb.Learned) *Estimates {
	out := &Estimates{RunRatios: e.GetRunRatios(), BootSeconds: e.GetBootS()}
	for _, pool := range e.GetPools() {
		out.Pools = append(out.Pools, CapacityPool{Type: pool.GetType(), Zone: pool.GetZone(), Spot: pool.GetSpot(),
			BackoffLeft: fromMillis(pool.GetBackoffLeftMs()), Backoff: fromMillis(pool.GetBackoffMs()), Filled: int(pool.GetFilled())})
	}
	return out
}

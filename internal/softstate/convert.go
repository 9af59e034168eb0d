package softstate

import (
	"time"

	"leadproxy/internal/softstate/hintpb"
)

func toMillis(d time.Duration) int64    { return d.Milliseconds() }
func fromMillis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// encode turns a batch into its message.
func encode(b Batch) *hintpb.Batch {
	out := &hintpb.Batch{Term: b.Term, Sequence: b.Sequence}
	for _, m := range b.Machines {
		out.Machines = append(out.Machines, encodeMachine(m))
	}
	if b.Estimates != nil {
		out.Estimates = encodeLearned(b.Estimates)
	}
	return out
}

func encodeMachine(m Machine) *hintpb.Machine {
	out := &hintpb.Machine{Name: m.Name, Gone: m.Gone, Address: m.Address, AgentEpoch: m.AgentEpoch, FencingToken: m.FencingToken, SinceHeartbeatMs: toMillis(m.SinceHeartbeat), IdleMs: toMillis(m.Idle)}
	for _, i := range m.Images {
		out.Images = append(out.Images, &hintpb.Image{Name: i.Name, Gb: i.GB})
	}
	for _, k := range m.Allocations {
		out.Allocations = append(out.Allocations, &hintpb.Booking{Task: k.Task, Attempt: k.Attempt, RunningMs: toMillis(k.Running)})
	}
	return out
}

func encodeLearned(l *Estimates) *hintpb.Learned {
	out := &hintpb.Learned{RunRatios: l.RunRatios, BootS: l.BootSeconds}
	for _, o := range l.Pools {
		out.Pools = append(out.Pools, &hintpb.Offer{Type: o.Type, Zone: o.Zone, Spot: o.Spot, BackoffLeftMs: toMillis(o.BackoffLeft), BackoffMs: toMillis(o.Backoff), Filled: int64(o.Filled)})
	}
	return out
}

// decode reads a batch; what it says is checked when it is applied.
func decode(b *hintpb.Batch) Batch {
	out := Batch{Term: b.GetTerm(), Sequence: b.GetSequence()}
	for _, m := range b.GetMachines() {
		out.Machines = append(out.Machines, decodeMachine(m))
	}
	if b.GetEstimates() != nil {
		out.Estimates = decodeLearned(b.GetEstimates())
	}
	return out
}

func decodeMachine(m *hintpb.Machine) Machine {
	out := Machine{Name: m.GetName(), Gone: m.GetGone(), Address: m.GetAddress(), AgentEpoch: m.GetAgentEpoch(), FencingToken: m.GetFencingToken(),
		SinceHeartbeat: fromMillis(m.GetSinceHeartbeatMs()), Idle: fromMillis(m.GetIdleMs())}
	for _, i := range m.GetImages() {
		out.Images = append(out.Images, Image{Name: i.GetName(), GB: i.GetGb()})
	}
	for _, k := range m.GetAllocations() {
		out.Allocations = append(out.Allocations, Allocation{Task: k.GetTask(), Attempt: k.GetAttempt(), Running: fromMillis(k.GetRunningMs())})
	}
	return out
}

func decodeLearned(l *hintpb.Learned) *Estimates {
	out := &Estimates{RunRatios: l.GetRunRatios(), BootSeconds: l.GetBootS()}
	for _, o := range l.GetPools() {
		out.Pools = append(out.Pools, CapacityPool{Type: o.GetType(), Zone: o.GetZone(), Spot: o.GetSpot(),
			BackoffLeft: fromMillis(o.GetBackoffLeftMs()), Backoff: fromMillis(o.GetBackoffMs()), Filled: int(o.GetFilled())})
	}
	return out
}

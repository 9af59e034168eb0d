package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/rollout"
)

// This file carries out the actions of plans that drain machines.

// cordon has nothing start on the machines that plans empty, and keeps those that they have
// rented.
func (v *evictionState) cordon() {
	for _, m := range v.machines.live {
		cordoned, kept := false, false
		for _, p := range v.plans {
			cordoned = cordoned || p.rollout.IsCordoned(m.name)
			kept = kept || p.rollout.IsReplacement(m.name)
		}
		m.eviction.kept = kept
		if m.eviction.cordoned != cordoned {
			m.eviction.cordoned = cordoned
			v.placement.indexChanged(m)
			v.placement.markNeeded()
		}
	}
}

// carryOutPlan carries out an action of a plan.
func (c *Core) carryOutPlan(act rollout.Action) {
	switch a := act.(type) {
	case rollout.EvictTask:
		if m := c.machines.find(a.Machine); m != nil {
			c.moveTask(m, a.JobID, int32(a.Task))
		}
	case rollout.ReturnMachine:
		if m := c.machines.find(a.Machine); m != nil && (m.state == machineDeleting || c.evictions.isEmpty(m)) {
			c.returns.requestDelete(m, "drained")
		}
	case rollout.ScaleOutAhead:
		c.evictions.scaleOutAhead(a)
	}
}

// moveTask has a task stopped, after it has saved its progress if it can.
func (c *Core) moveTask(m *machine, id string, n int32) {
	for _, b := range slices.Clone(m.capacity.allocations) {
		j := c.jobs.list[b.job]
		if j.id != id || b.task != n || b.stopping || j.spec == nil {
			continue
		}
		b.moving = true
		grace := 0.0
		if j.spec.CheckpointIntervalS > 0 {
			grace = j.spec.CheckpointDurationS
		}
		c.log.Info("task evicted by a plan", "task", c.jobs.taskName(b), "machine", m.name, "grace_s", grace)
		c.stopAllocation(m, b, grace)
	}
}

// requestsFor are the scale-outs for a plan's replacements: one for each kind of machine, in
// parts of the size that the cloud accepts. They are none until all of the machines are known: a
// request that is made once for fewer machines can't be extended later.
func (v *evictionState) requestsFor(request string, like []string) map[string]autoscaler.PlannedScaleOut {
	counts := map[autoscaler.CapacityPool]int{}
	for _, name := range like {
		m := v.machines.find(name)
		switch {
		case m != nil && m.typ >= 0 && m.zone >= 0:
			counts[autoscaler.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}]++
		case !v.mayDisrupt():
			return nil
		}
	}
	requests := map[string]autoscaler.PlannedScaleOut{}
	for offer, n := range counts {
		for part := 0; n > 0; part++ {
			count := min(n, autoscaler.MaxScaleOut)
			name := fmt.Sprintf("%s-%s-%s-%t-%d", request, v.types.list[offer.Type].Name, v.machines.zones.list[offer.Zone], offer.Spot, part)
			requests[name] = autoscaler.PlannedScaleOut{Pool: offer, Count: count, Reason: "to replace machines that are drained"}
			n -= count
		}
	}
	return requests
}

// scaleOutAhead rents replacements. A request that the cloud has refused is repeated under its
// name when the pool may be used again.
func (v *evictionState) scaleOutAhead(a rollout.ScaleOutAhead) {
	requests := v.requestsFor(a.RequestID, a.Replaced)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		w := requests[name]
		if v.scaleOuts.byID[name] != nil || v.rented[name] != nil || v.clock.now < v.pools.pool(w.Pool).blockedUntil {
			continue
		}
		v.scaleOuts.startNamed(name, w)
	}
}

// rentedForPlan lists the machines of a plan's scale-outs, once all have a result.
func (v *evictionState) rentedForPlan(r *rollout.Record) (machines []string) {
	requests := v.requestsFor(r.ScaleOutRequestID, r.Batch)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if v.rented[name] == nil {
			return nil
		}
		machines = append(machines, v.rented[name]...)
	}
	return machines
}

// recordRented records the machines of a scale-out, if it may be a plan's.
func (v *evictionState) recordRented(request string, machines []string) {
	if !strings.HasPrefix(request, rollout.ScaleOutRequestPrefix) {
		return
	}
	if v.rented == nil {
		v.rented = map[string][]string{}
	}
	v.rented[request] = machines
}

package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/rollout"
)

// What plans that drain machines have done.

// cordon has nothing start on the machines that plans are emptying, and keeps those that
// they have hired.
func (c *Core) cordon() {
	for _, m := range c.machines.live {
		cordoned, kept := false, false
		for _, p := range c.evictions.plans {
			cordoned = cordoned || p.rollout.Cordons(m.name)
			kept = kept || p.rollout.Keeps(m.name)
		}
		m.eviction.kept = kept
		if m.eviction.cordoned != cordoned {
			m.eviction.cordoned = cordoned
			c.indexChanged(m)
			c.placement.needed = true
		}
	}
}

// carryOutPlan does what a plan wants.
func (c *Core) carryOutPlan(act rollout.Act) {
	switch a := act.(type) {
	case rollout.MoveTask:
		if m := c.machineIfKnown(a.Machine); m != nil {
			c.moveTask(m, a.Ref, int32(a.Task))
		}
	case rollout.ReturnMachine:
		if m := c.machineIfKnown(a.Machine); m != nil && (m.state == machineDeleting || c.isEmpty(m)) {
			c.askDelete(m, "drained")
		}
	case rollout.HireAhead:
		c.scaleOutAhead(a)
	}
}

// moveTask has a task stopped, after it has saved its progress if it can.
func (c *Core) moveTask(m *machine, ref string, n int32) {
	for _, b := range slices.Clone(m.capacity.allocations) {
		j := c.jobs.list[b.job]
		if j.id != ref || b.task != n || b.stopping || j.spec == nil {
			continue
		}
		b.moving = true
		grace := 0.0
		if j.spec.CheckpointIntervalS > 0 {
			grace = j.spec.CheckpointDurationS
		}
		c.log.Info("task is moved", "task", c.taskName(b), "machine", m.name, "grace_s", grace)
		c.stopAllocation(m, b, grace)
	}
}

// requestsFor are the hires for a plan's replacements: one for each kind of machine, in
// parts that the cloud takes. They are none until all of the machines are known: a request
// that is made once for fewer brings no more later.
func (c *Core) requestsFor(request string, like []string) map[string]autoscaler.PlannedScaleOut {
	counts := map[autoscaler.CapacityPool]int{}
	for _, name := range like {
		m := c.machineIfKnown(name)
		switch {
		case m != nil && m.typ >= 0 && m.zone >= 0:
			counts[autoscaler.CapacityPool{Type: m.typ, Zone: m.zone, Spot: m.spot}]++
		case !c.mayMove():
			return nil
		}
	}
	requests := map[string]autoscaler.PlannedScaleOut{}
	for offer, n := range counts {
		for part := 0; n > 0; part++ {
			count := min(n, autoscaler.MaxScaleOut)
			name := fmt.Sprintf("%s-%s-%s-%t-%d", request, c.autoscaling.types[offer.Type].Name, c.machines.zones.list[offer.Zone], offer.Spot, part)
			requests[name] = autoscaler.PlannedScaleOut{Pool: offer, Count: count, Reason: "to replace machines that are drained"}
			n -= count
		}
	}
	return requests
}

// scaleOutAhead hires replacements. A request that the cloud has refused is made again under
// its name when the offer may be asked for again.
func (c *Core) scaleOutAhead(a rollout.HireAhead) {
	requests := c.requestsFor(a.Request, a.Like)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		w := requests[name]
		if c.autoscaling.scaleOuts[name] != nil || c.evictions.rented[name] != nil || c.clock.now < c.autoscaling.pool(w.Pool).blockedUntil {
			continue
		}
		c.startNamedScaleOut(name, w)
	}
}

// rentedForPlan is what the requests for a plan's replacements have brought, once all are
// answered.
func (c *Core) rentedForPlan(r *rollout.Record) (machines []string) {
	requests := c.requestsFor(r.Hire, r.Batch)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if c.evictions.rented[name] == nil {
			return nil
		}
		machines = append(machines, c.evictions.rented[name]...)
	}
	return machines
}

// noteRented notes the machines of a hire, if it may be a plan's.
func (c *Core) noteRented(request string, machines []string) {
	if !strings.HasPrefix(request, rollout.HirePrefix) {
		return
	}
	if c.evictions.rented == nil {
		c.evictions.rented = map[string][]string{}
	}
	c.evictions.rented[request] = machines
}

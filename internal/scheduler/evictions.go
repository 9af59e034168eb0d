package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
)

// This file advances the plans that drain machines, and carries out their actions. What they decide
// is in package rollout.

// advancePlans advances all plans, beginning with another one each time.
func (c *Core) advancePlans() {
	names, due := c.plans.takeDue()
	if !due {
		return
	}
	for _, name := range names {
		c.advancePlan(name)
	}
	c.plans.updateCordons()
	c.plans.deleteOldPlans()
}

// advancePlan advances one plan: its actions are carried out, or its record is written first.
func (c *Core) advancePlan(name string) {
	p := c.plans.byName[name]
	before, _ := p.rollout.Record()
	for _, act := range p.rollout.Step(c.planViews.build(p)) {
		c.applyPlanAction(act)
	}
	c.plans.save(name, p)
	if after, _ := p.rollout.Record(); after.Phase != before.Phase || after.Paused != before.Paused {
		c.log.Info("draining", "plan", name, "phase", after.Phase, "paused", after.Paused, "step", after.Step, "batch", len(after.Batch), "drained", after.Drained, "why", after.Reason)
	}
}

// applyPlanAction carries out an action of a plan.
func (c *Core) applyPlanAction(act rollout.Action) {
	switch a := act.(type) {
	case rollout.EvictTask:
		if m := c.machines.find(a.Machine); m != nil {
			c.evictTask(m, a.JobID, int32(a.Task))
		}
	case rollout.ReturnMachine:
		if m := c.machines.find(a.Machine); m != nil && (m.state == machineDeleting || c.planViews.isEmpty(m)) {
			c.scaleIns.requestDelete(m, "drained")
		}
	case rollout.RentReplacements:
		c.replacements.rentReplacements(a)
	}
}

// evictTask has a task stopped, after it has saved its progress if it can.
func (c *Core) evictTask(m *machine, id string, n int32) {
	for _, b := range slices.Clone(m.capacity.allocations) {
		j := c.jobs.list[b.job]
		if j.id != id || b.task != n || b.stopping || j.spec == nil {
			continue
		}
		b.evictedByPlan = true
		grace := 0.0
		if j.spec.CheckpointIntervalS > 0 {
			grace = j.spec.CheckpointDurationS
		}
		c.log.Info("task evicted by a plan", "task", c.jobs.taskName(b), "machine", m.name, "grace_s", grace)
		c.stopAllocation(m, b, grace)
	}
}

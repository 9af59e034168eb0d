package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
)

// This file steps the plans that drain machines and carries out their actions. Package rollout
// decides what they do.

// advancePlans steps all plans if that is due. Each time another plan comes first, because plans
// share the disruption budgets.
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

// advancePlan steps one plan. It carries out the actions that the plan returns, and writes the
// record if it has changed.
func (c *Core) advancePlan(name string) {
	p := c.plans.byName[name]
	before, _ := p.rollout.Record()
	for _, action := range p.rollout.Step(c.planViews.build(p)) {
		c.applyPlanAction(action)
	}
	c.plans.save(name, p)
	if after, _ := p.rollout.Record(); after.Phase != before.Phase || after.Paused != before.Paused {
		c.log.Info("draining", "plan", name, "phase", after.Phase, "paused", after.Paused, "step", after.Step, "batch", len(after.Batch), "drained", after.Drained, "why", after.Reason)
	}
}

// applyPlanAction carries out an action of a plan. Actions are repeated until their effect shows,
// so each is idempotent.
func (c *Core) applyPlanAction(action rollout.Action) {
	switch a := action.(type) {
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

// evictTask stops a task of a machine. The grace period lets it save a checkpoint if it can.
func (c *Core) evictTask(m *machine, jobID string, task int32) {
	for _, alloc := range slices.Clone(m.capacity.allocations) {
		j := c.jobs.list[alloc.job]
		if j.id != jobID || alloc.task != task || alloc.stopping || j.spec == nil {
			continue
		}
		alloc.evictedByPlan = true
		grace := 0.0
		if j.spec.CheckpointIntervalS > 0 {
			grace = j.spec.CheckpointDurationS
		}
		c.log.Info("task evicted by a plan", "task", c.jobs.taskName(alloc), "machine", m.name, "grace_s", grace)
		c.stopAllocation(m, alloc, grace)
	}
}

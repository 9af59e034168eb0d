package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
)

// planViews builds the views of the present state that plans decide by. It owns nothing.
type planViews struct {
	term         uint64
	clock        *clock
	types        *machineTypes
	estimates    *runEstimates
	jobs         *jobTable
	machines     *machineTable
	agents       *agents
	disruptions  *disruptionMonitor
	replacements *replacements
}

func newPlanViews(c *Core) planViews {
	return planViews{term: c.term, clock: &c.clock, types: &c.types, estimates: &c.estimates, jobs: &c.jobs,
		machines: &c.machines, agents: &c.agents, disruptions: &c.disruptions, replacements: &c.replacements}
}

// capacityKey identifies a job whose tasks are to leave a zone. For each one, it is determined
// once per view whether another machine has the capacity for a task.
type capacityKey struct{ job, zone int32 }

// build returns the view of the present state for a plan. A machine of the record that is not
// known in this term counts as gone or failed only once MayDisrupt is true: before that, earlier
// leaders' machines may not be known yet.
func (v *planViews) build(p *plan) *rollout.View {
	record, _ := p.rollout.Record()
	hasCapacity := map[capacityKey]bool{}
	view := &rollout.View{Now: v.clock.now, WallMS: v.clock.wallMS, MayDisrupt: v.disruptions.mayDisrupt(), RunningJobs: v.jobs.runningJobCounter()}
	if record.Phase == rollout.PhaseSelecting {
		for _, m := range v.machines.live {
			if v.selects(&record, m) {
				view.Candidates = append(view.Candidates, v.machineView(m, hasCapacity))
			}
		}
	}
	for _, name := range record.Batch {
		if m := v.machines.find(name); m != nil {
			view.Batch = append(view.Batch, v.machineView(m, hasCapacity))
		} else {
			view.Batch = append(view.Batch, rollout.Machine{Name: name, Gone: view.MayDisrupt})
		}
	}
	if record.ScaleOutRequestID != "" {
		view.Rented = v.replacements.rentedForPlan(&record)
	}
	for _, name := range record.Replacements {
		if m := v.machines.find(name); m != nil {
			view.Replacements = append(view.Replacements, v.replacementView(m))
		} else {
			view.Replacements = append(view.Replacements, rollout.Replacement{Name: name, Failed: view.MayDisrupt})
		}
	}
	return view
}

// selects reports whether a plan selects a machine: it matches the specification and was rented
// before the plan was created.
func (v *planViews) selects(record *rollout.Record, m *machine) bool {
	if m.state == machineGone || m.state == machineDeleting || m.zone < 0 {
		return false
	}
	rentedMS := v.clock.wallMS - (v.clock.now - m.rental.rentedAt).Milliseconds()
	return rentedMS <= record.CreatedMS && record.Spec.Selects(m.name, m.typeName, v.machines.zones.list[m.zone])
}

// isEmpty reports whether it is proven that a machine runs no task and that no start command sent
// to it can still take effect.
func (v *planViews) isEmpty(m *machine) bool {
	runsNothing := m.trusted(v.term) && len(m.capacity.allocations) == 0 && len(m.recorded.inDoubtJobs) == 0
	return runsNothing && m.commands.idle()
}

// machineView returns the view of a machine.
func (v *planViews) machineView(m *machine, hasCapacity map[capacityKey]bool) rollout.Machine {
	view := rollout.Machine{Name: m.name, Empty: v.isEmpty(m), Gone: m.state == machineGone}
	if m.state == machineDeleting && len(m.capacity.allocations) == 0 {
		view.Empty = true
	}
	for _, alloc := range m.capacity.allocations {
		if j := v.jobs.list[alloc.job]; j.spec != nil && !j.ended() {
			view.Tasks = append(view.Tasks, v.taskView(m, j, alloc, hasCapacity))
		}
	}
	return view
}

// taskView returns the view of a task. A task that outlives its estimate is expected to run for at
// least a quarter of it.
func (v *planViews) taskView(m *machine, j *job, alloc *allocation, hasCapacity map[capacityKey]bool) rollout.Task {
	key := capacityKey{j.index, m.zone}
	if _, known := hasCapacity[key]; !known {
		hasCapacity[key] = v.hasCapacityElsewhere(m, j)
	}
	view := rollout.Task{Job: rolloutJob(j), Index: int(alloc.task), RemainingRun: v.estimates.expectedRun(j), Slack: j.slack(v.clock.now), Stopping: alloc.stopping, FitsElsewhere: hasCapacity[key]}
	if alloc.runningSince > 0 {
		ran := v.clock.now - alloc.runningSince
		view.RemainingRun = max(view.RemainingRun-ran, view.RemainingRun/4)
		if j.spec.CheckpointIntervalS <= 0 {
			view.LostProgress = ran
		}
	}
	return view
}

// hasCapacityElsewhere reports whether another machine can run a task of a job now that one machine
// runs.
func (v *planViews) hasCapacityElsewhere(from *machine, j *job) bool {
	return slices.ContainsFunc(v.machines.live, func(m *machine) bool {
		hasRoom := m != from && v.agents.schedulable(m) && !m.capacity.reserved && j.request.size.Within(m.capacity.free)
		return hasRoom && v.types.allowsPool(j, m.pool()) && j.allowsZoneBesideOthers(m.zone, from.zone, 1) && !j.avoids(m.index, v.clock.now)
	})
}

// replacementView returns the view of a machine that was rented as a replacement.
func (v *planViews) replacementView(m *machine) rollout.Replacement {
	view := rollout.Replacement{Name: m.name, Failed: m.state == machineGone || m.state == machineDeleting || m.health.quarantined}
	if v.agents.schedulable(m) && m.agent.EpochSeenAt() > 0 {
		view.HealthyFor = max(1, v.clock.now-m.agent.EpochSeenAt())
	}
	return view
}

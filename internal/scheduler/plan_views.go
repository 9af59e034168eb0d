package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
)

// planViews describes the present state to plans that drain machines. It owns nothing.
type planViews struct {
	term         uint64
	clock        *clock
	estimates    *runEstimates
	jobs         *jobTable
	machines     *machineTable
	agents       *agents
	disruptions  *disruptionMonitor
	replacements *replacements
}

func newPlanViews(c *Core) planViews {
	return planViews{term: c.term, clock: &c.clock, estimates: &c.estimates, jobs: &c.jobs,
		machines: &c.machines, agents: &c.agents, disruptions: &c.disruptions, replacements: &c.replacements}
}

// capacityKey is a job whose tasks are to leave a zone: whether there is room for one is determined
// once a step.
type capacityKey struct{ job, zone int32 }

// build describes the present state to a plan.
func (v *planViews) build(p *plan) *rollout.View {
	r, _ := p.rollout.Record()
	room := map[capacityKey]bool{}
	view := &rollout.View{Now: v.clock.now, WallMS: v.clock.wallMS, MayDisrupt: v.disruptions.mayDisrupt(), RunningJobs: v.jobs.runningJobCounter()}
	if r.Phase == rollout.PhaseSelecting {
		for _, m := range v.machines.live {
			if v.selects(&r, m) {
				view.Candidates = append(view.Candidates, v.machineView(m, room))
			}
		}
	}
	for _, name := range r.Batch {
		if m := v.machines.find(name); m != nil {
			view.Batch = append(view.Batch, v.machineView(m, room))
		} else {
			view.Batch = append(view.Batch, rollout.Machine{Name: name, Gone: view.MayDisrupt})
		}
	}
	if r.ScaleOutRequestID != "" {
		view.Rented = v.replacements.rentedForPlan(&r)
	}
	for _, name := range r.Replacements {
		if m := v.machines.find(name); m != nil {
			view.Replacements = append(view.Replacements, v.replacementView(m))
		} else {
			view.Replacements = append(view.Replacements, rollout.Replacement{Name: name, Failed: view.MayDisrupt})
		}
	}
	return view
}

// selects tells whether a machine is one of a plan's: it matches, and was rented before the plan
// was made.
func (v *planViews) selects(r *rollout.Record, m *machine) bool {
	if m.state == machineGone || m.state == machineDeleting || m.zone < 0 {
		return false
	}
	rentedMS := v.clock.wallMS - (v.clock.now - m.rental.rentedAt).Milliseconds()
	return rentedMS <= r.CreatedMS && r.Spec.Selects(m.name, m.typeName, v.machines.zones.list[m.zone])
}

// isEmpty tells whether a machine is proved to run nothing, and nothing that was sent there
// may still start.
func (v *planViews) isEmpty(m *machine) bool {
	runsNothing := m.trusted(v.term) && len(m.capacity.allocations) == 0 && len(m.recorded.inDoubtJobs) == 0
	return runsNothing && m.commands.idle()
}

// machineView is a machine as a plan sees it.
func (v *planViews) machineView(m *machine, room map[capacityKey]bool) rollout.Machine {
	out := rollout.Machine{Name: m.name, Empty: v.isEmpty(m), Gone: m.state == machineGone}
	if m.state == machineDeleting && len(m.capacity.allocations) == 0 {
		out.Empty = true
	}
	for _, b := range m.capacity.allocations {
		if j := v.jobs.list[b.job]; j.spec != nil && !j.ended() {
			out.Tasks = append(out.Tasks, v.taskView(m, j, b, room))
		}
	}
	return out
}

// taskView is a task as a plan sees it.
func (v *planViews) taskView(m *machine, j *job, b *allocation, room map[capacityKey]bool) rollout.Task {
	key := capacityKey{j.index, m.zone}
	if _, known := room[key]; !known {
		room[key] = v.hasCapacityElsewhere(m, j)
	}
	t := rollout.Task{Job: rolloutJob(j), Index: int(b.task), RemainingRun: v.estimates.expectedRun(j), Slack: j.slack(v.clock.now), Stopping: b.stopping, FitsElsewhere: room[key]}
	if b.runningSince > 0 {
		ran := v.clock.now - b.runningSince
		t.RemainingRun = max(t.RemainingRun-ran, t.RemainingRun/4)
		if j.spec.CheckpointIntervalS <= 0 {
			t.LostProgress = ran
		}
	}
	return t
}

// hasCapacityElsewhere tells whether there is room for a job's task on another machine now; for a job
// with gang scheduling, in its zone.
func (v *planViews) hasCapacityElsewhere(from *machine, j *job) bool {
	return slices.ContainsFunc(v.machines.live, func(m *machine) bool {
		return m != from && v.agents.schedulable(m) && j.allowsMachine(m.typeIndex, m.zone, m.spot) && j.request.size.Within(m.capacity.free) && (!j.spec.Gang || m.zone == from.zone)
	})
}

// replacementView is a machine that was rented for a plan, as the plan sees it.
func (v *planViews) replacementView(m *machine) rollout.Replacement {
	r := rollout.Replacement{Name: m.name, Failed: m.state == machineGone || m.state == machineDeleting || m.health.quarantined}
	if v.agents.schedulable(m) && m.agent.EpochSeenAt() > 0 {
		r.HealthyFor = max(1, v.clock.now-m.agent.EpochSeenAt())
	}
	return r
}

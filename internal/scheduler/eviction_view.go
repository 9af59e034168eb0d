package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
)

// What plans that drain machines are told of the world.

// roomKey is a job whose tasks are to leave a zone: whether there is room for one is looked
// for once a step.
type roomKey struct{ job, zone int32 }

// planView tells a plan how the world is.
func (c *Core) planView(p *plan) *rollout.View {
	r, _ := p.rollout.Record()
	room := map[roomKey]bool{}
	v := &rollout.View{Now: c.clock.now, WallMS: c.clock.wallMS, MayMove: c.mayMove(), Running: c.runningJobs()}
	if r.Phase == rollout.Choosing {
		for _, m := range c.machines.live {
			if c.selects(&r, m) {
				v.Candidates = append(v.Candidates, c.planMachine(m, room))
			}
		}
	}
	for _, name := range r.Batch {
		if m := c.machineIfKnown(name); m != nil {
			v.Batch = append(v.Batch, c.planMachine(m, room))
		} else {
			v.Batch = append(v.Batch, rollout.Machine{Name: name, Gone: v.MayMove})
		}
	}
	if r.Hire != "" {
		v.Hired = c.rentedForPlan(&r)
	}
	for _, name := range r.Replacements {
		if m := c.machineIfKnown(name); m != nil {
			v.Replacements = append(v.Replacements, c.replacement(m))
		} else {
			v.Replacements = append(v.Replacements, rollout.Replacement{Name: name, Failed: v.MayMove})
		}
	}
	return v
}

// machineIfKnown returns a machine that this term has heard of, or nil. One of an earlier
// leader's that nobody has heard of once jobs may be moved is gone: the cloud's list has been
// read since, and a lease has passed.
func (c *Core) machineIfKnown(name string) *machine {
	if i, ok := c.machines.indexByName[name]; ok {
		return c.machines.list[i]
	}
	return nil
}

// mayMove tells whether jobs may be disrupted on purpose: what an earlier leader has started
// is known, and what it has disrupted counts no more.
func (c *Core) mayMove() bool {
	return c.UnresolvedHosts() == 0 && c.clock.now-c.clock.termStart >= max(c.cfg.Operator.Drain.Budgets.Longest(), c.agents.lease)
}

// runningJobs counts the running jobs of a group, once for all who ask in a step.
func (c *Core) runningJobs() func(rollout.Group) int {
	var counts map[rollout.Group]int
	return func(g rollout.Group) int {
		if counts == nil {
			counts = map[rollout.Group]int{}
			for _, j := range c.jobs.active {
				if j.spec != nil && j.progress.allocated > 0 && !j.over() {
					counts[rollout.TeamGroup(j.spec.Team)]++
					counts[rollout.ClassGroup(j.spec.Class)]++
				}
			}
		}
		return counts[g]
	}
}

// selects tells whether a machine is one of a plan's: it matches, and was hired before the
// plan was made.
func (c *Core) selects(r *rollout.Record, m *machine) bool {
	if m.state == machineGone || m.state == machineDeleting || m.zone < 0 {
		return false
	}
	hiredMS := c.clock.wallMS - (c.clock.now - m.rental.rentedAt).Milliseconds()
	return hiredMS <= r.CreatedMS && r.Spec.Selects(m.name, m.typeName, c.machines.zones.list[m.zone])
}

// isEmpty tells whether a machine is proved to run nothing, and nothing that was sent there
// may still start.
func (c *Core) isEmpty(m *machine) bool {
	return m.trusted(c.term) && len(m.capacity.allocations) == 0 && len(m.commands.unresolvedStarts) == 0 && len(m.recorded.inDoubtJobs) == 0 && len(m.commands.pending) == 0 && m.commands.heldHeartbeat == nil
}

// planMachine is a machine as a plan sees it.
func (c *Core) planMachine(m *machine, room map[roomKey]bool) rollout.Machine {
	out := rollout.Machine{Name: m.name, Empty: c.isEmpty(m), Gone: m.state == machineGone}
	if m.state == machineDeleting && len(m.capacity.allocations) == 0 {
		out.Empty = true
	}
	for _, b := range m.capacity.allocations {
		if j := c.jobs.list[b.job]; j.spec != nil && !j.over() {
			out.Tasks = append(out.Tasks, c.planTask(m, j, b, room))
		}
	}
	return out
}

func (c *Core) planTask(m *machine, j *job, b *allocation, room map[roomKey]bool) rollout.Task {
	key := roomKey{j.index, m.zone}
	if _, known := room[key]; !known {
		room[key] = c.roomElsewhere(m, j)
	}
	t := rollout.Task{Job: accountOf(j), Index: int(b.task), Left: c.expectedRun(j), Slack: j.slack(c.clock.now), Stopping: b.stopping, HasRoom: room[key]}
	if b.runningSince > 0 {
		ran := c.clock.now - b.runningSince
		t.Left = max(t.Left-ran, t.Left/4)
		if j.spec.CheckpointIntervalS <= 0 {
			t.Lost = ran
		}
	}
	return t
}

// roomElsewhere tells whether a job's task would find room on another machine now; the tasks
// of a job that stays together, in its zone.
func (c *Core) roomElsewhere(from *machine, j *job) bool {
	return slices.ContainsFunc(c.machines.live, func(m *machine) bool {
		return m != from && c.accepts(m) && j.allows(m.typ, m.zone, m.spot) && j.request.size.Within(m.capacity.free) && (!j.spec.Gang || m.zone == from.zone)
	})
}

// replacement is a machine that was hired ahead, as a plan sees it.
func (c *Core) replacement(m *machine) rollout.Replacement {
	r := rollout.Replacement{Name: m.name, Failed: m.state == machineGone || m.state == machineDeleting || m.health.quarantined}
	if c.accepts(m) && m.agent.epochSeenAt > 0 {
		r.Healthy = max(1, c.clock.now-m.agent.epochSeenAt)
	}
	return r
}

package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/rollout"
)

// disruptionMonitor records disrupted jobs, which limits the evictions by plans. It owns the
// tracker and the set of logged disruptions. The tracker is nil unless the settings enable
// draining.
type disruptionMonitor struct {
	cfg      *Config
	clock    *clock
	log      *slog.Logger
	jobs     *jobTable
	machines *machineTable
	agents   *agents

	tracker *rollout.DisruptionTracker
	// logged has the ongoing disruptions that have been logged, by job ID.
	logged map[string]rollout.Disruption
}

func newDisruptionMonitor(c *Core) disruptionMonitor {
	return disruptionMonitor{cfg: &c.cfg, clock: &c.clock, log: c.log, jobs: &c.jobs, machines: &c.machines, agents: &c.agents}
}

// enable starts the tracking if the settings enable draining.
func (d *disruptionMonitor) enable() {
	if d.cfg.Operator.Rollouts.Enabled {
		d.tracker = rollout.NewDisruptionTracker(d.cfg.Operator.Rollouts.Budgets)
	}
}

// enabled reports whether the settings enable draining.
func (d *disruptionMonitor) enabled() bool { return d.tracker != nil }

// rolloutJob returns the identification of a job that package rollout uses.
func rolloutJob(j *job) rollout.Job {
	return rollout.Job{ID: j.id, Team: j.spec.Team, Class: j.spec.Class}
}

// recordDisruption records that a task has lost its machine. progressSaved means that it has saved
// a checkpoint; otherwise its whole run time counts as lost. Tasks that were neither running nor
// evicted do not count.
func (d *disruptionMonitor) recordDisruption(m *machine, alloc *allocation, progressSaved bool, reason string) {
	j := d.jobs.list[alloc.job]
	if d.tracker == nil || j.ended() || j.spec == nil || alloc.runningSince == 0 && !alloc.evictedByPlan {
		return
	}
	cause := rollout.Cause(reason)
	switch {
	case alloc.evictedByPlan:
		cause = rollout.CauseEviction
	case m.rental.terminationAt > 0:
		cause = "the cloud takes its machine back"
	}
	lost := time.Duration(0)
	if !progressSaved && alloc.runningSince > 0 {
		lost = d.clock.now - alloc.runningSince
	}
	d.tracker.TaskDisrupted(rolloutJob(j), int(alloc.task), lost, cause, d.clock.now)
}

// recordRunning records that a task runs.
func (d *disruptionMonitor) recordRunning(alloc *allocation) {
	if d.tracker != nil {
		d.tracker.TaskRunning(d.jobs.list[alloc.job].id, int(alloc.task), d.clock.now)
	}
}

// recordTaskFinished records that a task has finished.
func (d *disruptionMonitor) recordTaskFinished(j *job, task int32) {
	if d.tracker != nil {
		d.tracker.TaskFinished(j.id, int(task))
	}
}

// recordJobFinished records that a job has ended.
func (d *disruptionMonitor) recordJobFinished(j *job) {
	if d.tracker != nil {
		d.tracker.JobFinished(j.id)
	}
}

// update ends the disruptions whose progress is regained by now, and logs the changes.
func (d *disruptionMonitor) update() {
	d.tracker.Tick(d.clock.now)
	d.logDisruptions()
}

// logDisruptions logs the start and the end of each job's disruption.
func (d *disruptionMonitor) logDisruptions() {
	disrupted := map[string]rollout.Disruption{}
	for _, disruption := range d.tracker.Disruptions(d.clock.now) {
		if !disruption.Ongoing {
			continue
		}
		disrupted[disruption.Job.ID] = disruption
		if _, known := d.logged[disruption.Job.ID]; !known {
			d.log.Info("job is disrupted", "job", disruption.Job.ID, "team", disruption.Job.Team, "class", disruption.Job.Class, "cause", disruption.Cause, "seconds", disruption.Duration.Seconds())
		}
	}
	for id, disruption := range d.logged {
		if _, open := disrupted[id]; !open {
			d.log.Info("job is whole again", "job", id, "team", disruption.Job.Team, "class", disruption.Job.Class, "cause", disruption.Cause)
		}
	}
	d.logged = disrupted
}

// mayDisrupt reports whether plans may disrupt jobs. They may once it is known what earlier
// leaders have started, and the term is so old that no disruption they caused counts any more.
func (d *disruptionMonitor) mayDisrupt() bool {
	return d.machines.unresolvedHosts() == 0 && d.clock.now-d.clock.termStart >= max(d.cfg.Operator.Rollouts.Budgets.LongestWindow(), d.agents.lease)
}

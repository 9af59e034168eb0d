package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/rollout"
)

// disruptionMonitor keeps account of the jobs that are disrupted, which bounds what plans may do.
// It owns the tracker and which disruptions were logged. Without draining there is no tracker.
type disruptionMonitor struct {
	cfg      *Config
	clock    *clock
	log      *slog.Logger
	jobs     *jobTable
	machines *machineTable
	agents   *agents

	tracker *rollout.DisruptionTracker
	// logged are the disrupted jobs whose disruption was logged.
	logged map[string]rollout.Disruption
}

func newDisruptionMonitor(c *Core) disruptionMonitor {
	return disruptionMonitor{cfg: &c.cfg, clock: &c.clock, log: c.log, jobs: &c.jobs, machines: &c.machines, agents: &c.agents}
}

// enable begins the account, if the settings enable draining.
func (d *disruptionMonitor) enable() {
	if d.cfg.Operator.Rollouts.Enabled {
		d.tracker = rollout.NewDisruptionTracker(d.cfg.Operator.Rollouts.Budgets)
	}
}

// enabled tells whether the settings enable draining.
func (d *disruptionMonitor) enabled() bool { return d.tracker != nil }

// rolloutJob is a job as the account sees it.
func rolloutJob(j *job) rollout.Job {
	return rollout.Job{ID: j.id, Team: j.spec.Team, Class: j.spec.Class}
}

// recordDisruption charges a task that has lost its place. saved: its progress was saved.
func (d *disruptionMonitor) recordDisruption(m *machine, b *allocation, saved bool, why string) {
	j := d.jobs.list[b.job]
	if d.tracker == nil || j.ended() || j.spec == nil || b.runningSince == 0 && !b.evictedByPlan {
		return
	}
	cause := rollout.Cause(why)
	switch {
	case b.evictedByPlan:
		cause = rollout.CauseEviction
	case m.rental.terminationAt > 0:
		cause = "the cloud takes its machine back"
	}
	lost := time.Duration(0)
	if !saved && b.runningSince > 0 {
		lost = d.clock.now - b.runningSince
	}
	d.tracker.TaskDisrupted(rolloutJob(j), int(b.task), lost, cause, d.clock.now)
}

// recordRunning notes with the account of disruptions that a task runs.
func (d *disruptionMonitor) recordRunning(b *allocation) {
	if d.tracker != nil {
		d.tracker.TaskRunning(d.jobs.list[b.job].id, int(b.task), d.clock.now)
	}
}

// recordTaskFinished notes that a task has completed.
func (d *disruptionMonitor) recordTaskFinished(j *job, n int32) {
	if d.tracker != nil {
		d.tracker.TaskFinished(j.id, int(n))
	}
}

// recordJobFinished notes that a job has ended.
func (d *disruptionMonitor) recordJobFinished(j *job) {
	if d.tracker != nil {
		d.tracker.JobFinished(j.id)
	}
}

// update brings the account up to the present time.
func (d *disruptionMonitor) update() {
	d.tracker.Tick(d.clock.now)
	d.logDisruptions()
}

// logDisruptions logs the beginning and the end of each job's disruption.
func (d *disruptionMonitor) logDisruptions() {
	disrupted := map[string]rollout.Disruption{}
	for _, e := range d.tracker.Disruptions(d.clock.now) {
		if !e.Ongoing {
			continue
		}
		disrupted[e.Job.ID] = e
		if _, known := d.logged[e.Job.ID]; !known {
			d.log.Info("job is disrupted", "job", e.Job.ID, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause, "seconds", e.Duration.Seconds())
		}
	}
	for id, e := range d.logged {
		if _, open := disrupted[id]; !open {
			d.log.Info("job is whole again", "job", id, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause)
		}
	}
	d.logged = disrupted
}

// mayDisrupt tells whether jobs may be disrupted on purpose: what an earlier leader has started
// is known, and what it has disrupted counts no more.
func (d *disruptionMonitor) mayDisrupt() bool {
	return d.machines.unresolvedHosts() == 0 && d.clock.now-d.clock.termStart >= max(d.cfg.Operator.Rollouts.Budgets.LongestWindow(), d.agents.lease)
}

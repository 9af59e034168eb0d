package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Time limits for the decision whether a task is evicted.
const (
	// finishSoonThreshold is the expected remaining run time up to which a task is left to finish.
	finishSoonThreshold = 30 * time.Second
	// negligibleProgress is how much progress may be lost without waiting for the task to finish.
	negligibleProgress = 5 * time.Second
	// capacityWait is how long an eviction waits for capacity on another machine. After that the
	// task is evicted anyway and waits for a machine to be rented.
	capacityWait = 30 * time.Second
	// evictionOverhead is the time that an eviction takes from a job's slack, in addition to the
	// lost progress.
	evictionOverhead = 30 * time.Second
)

// drainMachine evicts the tasks of a machine that may be evicted now.
func (c *Controller) drainMachine(v *View, m *Machine) []Action {
	var actions []Action
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if t.Stopping {
			c.addWaitReason("%s/%d on %s to stop", t.Job.ID, t.Index, m.Name)
			continue
		}
		if c.evictionRecorded(m.Name, t) {
			// Tracked again: an earlier leader may have recorded the eviction, and the task has
			// run on since.
			c.disruptions.TaskDisrupted(t.Job, t.Index, t.LostProgress, CauseEviction, v.Now)
			actions = append(actions, EvictTask{Machine: m.Name, JobID: t.Job.ID, Task: t.Index})
			continue
		}
		if reason := c.evictionObstacle(v, t); reason != "" {
			c.addWaitReason("%s/%d on %s: %s", t.Job.ID, t.Index, m.Name, reason)
			continue
		}
		c.recordEviction(v, m, t)
	}
	if len(m.Tasks) == 0 {
		c.addWaitReason("%s to prove that it is empty", m.Name)
	}
	return actions
}

// evictionRecorded reports whether the record contains the eviction of a task from a machine.
func (c *Controller) evictionRecorded(machine string, t *Task) bool {
	return slices.ContainsFunc(c.record.Evictions, func(e EvictionRecord) bool {
		return e.JobID == t.Job.ID && e.Task == t.Index && e.Machine == machine
	})
}

// recordEviction adds a task's eviction to the record and to the disruptions. The task is stopped
// once the record is durable.
func (c *Controller) recordEviction(v *View, m *Machine, t *Task) {
	c.disruptions.TaskDisrupted(t.Job, t.Index, t.LostProgress, CauseEviction, v.Now)
	c.record.Evictions = append(slices.Clone(c.record.Evictions), EvictionRecord{
		JobID:          t.Job.ID,
		Team:           t.Job.Team,
		Class:          t.Job.Class,
		Task:           t.Index,
		Machine:        m.Name,
		LostProgressMS: t.LostProgress.Milliseconds(),
		StartedMS:      v.WallMS,
	})
	c.recordChanged()
}

// evictionObstacle returns why a task may not be evicted now, or "" if it may.
func (c *Controller) evictionObstacle(v *View, t *Task) string {
	waited := c.phaseDuration(v)
	remainingWait := seconds(c.record.Spec.WaitS) - waited
	waiting := remainingWait > 0
	lossAllowed := slices.Contains(c.record.Allowed, t.Job.ID)
	switch {
	case t.RemainingRun <= finishSoonThreshold && waiting:
		return "it ends soon"
	case t.LostProgress > negligibleProgress && !lossAllowed && waiting:
		return fmt.Sprintf("it can't save its progress and is left to end for %s", remainingWait.Round(time.Second))
	case t.LostProgress > negligibleProgress && !lossAllowed:
		return "it can't save its progress: allow the job, skip the machine, or abort"
	case t.missesDeadline() && waiting && !lossAllowed:
		return "its job's deadline, or that of one that waits for it, is near"
	case !t.FitsElsewhere && waited < capacityWait:
		return "there is no room for it elsewhere yet"
	case !v.MayDisrupt:
		return "all machines are to be heard of since the leader began"
	case len(c.record.Evictions) >= maxEvictions:
		return "there are as many moves as are recorded at once"
	}
	if err := c.disruptions.checkBudgets(t.Job, v.RunningJobs, v.Now); err != nil {
		return err.Error()
	}
	return ""
}

// missesDeadline reports whether an eviction now would use up the slack of a task that could
// otherwise finish in time.
func (t *Task) missesDeadline() bool {
	cost := t.LostProgress + evictionOverhead
	return t.Slack < cost && t.RemainingRun < t.Slack+cost
}

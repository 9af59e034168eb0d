package rollout

import (
	"fmt"
	"slices"
	"time"
)

// The times by which evictions are decided.
const (
	// finishesSoon is the expected run time up to which a task is left to finish.
	finishesSoon = 30 * time.Second
	// negligibleProgress may be lost without waiting for the task to finish.
	negligibleProgress = 5 * time.Second
	// capacityPatience is how long an eviction waits for capacity on another machine. After
	// that the task is evicted, and waits for a machine to be rented.
	capacityPatience = 30 * time.Second
	// evictionOverhead is the time that an eviction takes of a job's slack, in addition to the
	// lost progress.
	evictionOverhead = 30 * time.Second
)

// drainMachine evicts the tasks of a machine as far as they may be evicted now.
func (c *Rollout) drainMachine(v *View, m *Machine) []Act {
	var actions []Act
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if t.Stopping {
			c.waitFor("%s/%d on %s to stop", t.Job.Ref, t.Index, m.Name)
			continue
		}
		if c.evictionRecorded(m.Name, t) {
			// Counted again: an earlier leader may have recorded it, and the task ran on.
			c.disruptions.Lose(t.Job, t.Index, t.Lost, Move, v.Now)
			actions = append(actions, MoveTask{Machine: m.Name, Ref: t.Job.Ref, Task: t.Index})
			continue
		}
		if reason := c.evictionObstacle(v, t); reason != "" {
			c.waitFor("%s/%d on %s: %s", t.Job.Ref, t.Index, m.Name, reason)
			continue
		}
		c.recordEviction(v, m, t)
	}
	if len(m.Tasks) == 0 {
		c.waitFor("%s to prove that it is empty", m.Name)
	}
	return actions
}

// evictionRecorded reports whether the record has the eviction of a task from a machine.
func (c *Rollout) evictionRecorded(machine string, t *Task) bool {
	return slices.ContainsFunc(c.record.Moves, func(e EvictionRecord) bool {
		return e.JobID == t.Job.Ref && e.Task == t.Index && e.Machine == machine
	})
}

// recordEviction records the disruption and a task's eviction. The task is stopped once the
// record is durable.
func (c *Rollout) recordEviction(v *View, m *Machine, t *Task) {
	c.disruptions.Lose(t.Job, t.Index, t.Lost, Move, v.Now)
	c.record.Moves = append(slices.Clone(c.record.Moves), EvictionRecord{
		JobID:          t.Job.Ref,
		Team:           t.Job.Team,
		Class:          t.Job.Class,
		Task:           t.Index,
		Machine:        m.Name,
		LostProgressMS: t.Lost.Milliseconds(),
		StartedMS:      v.WallMS,
	})
	c.recordChanged()
}

// evictionObstacle is the reason for which a task may not be evicted now; "" if it may.
func (c *Rollout) evictionObstacle(v *View, t *Task) string {
	waited := c.phaseDuration(v)
	patience := seconds(c.record.Spec.WaitS) - waited
	patient := patience > 0
	allowed := slices.Contains(c.record.Allowed, t.Job.Ref)
	switch {
	case t.Left <= finishesSoon && patient:
		return "it ends soon"
	case t.Lost > negligibleProgress && !allowed && patient:
		return fmt.Sprintf("it can't save its progress and is left to end for %s", patience.Round(time.Second))
	case t.Lost > negligibleProgress && !allowed:
		return "it can't save its progress: allow the job, skip the machine, or abort"
	case t.missesDeadline() && patient && !allowed:
		return "its job's deadline, or that of one that waits for it, is near"
	case !t.HasRoom && waited < capacityPatience:
		return "there is no room for it elsewhere yet"
	case !v.MayMove:
		return "all machines are to be heard of since the leader began"
	case len(c.record.Moves) >= maxMoves:
		return "there are as many moves as are recorded at once"
	}
	if err := c.disruptions.checkBudgets(t.Job, v.Running, v.Now); err != nil {
		return err.Error()
	}
	return ""
}

// missesDeadline reports whether an eviction now would use up the slack of a task that could
// otherwise finish in time.
func (t *Task) missesDeadline() bool {
	cost := t.Lost + evictionOverhead
	return t.Slack < cost && t.Left < t.Slack+cost
}

package scheduler

import (
	"leadproxy/internal/wire"
)

func (c *Core) statusRequested(e StatusRequest) {
	i, ok := c.jobIndexByID[e.JobID]
	if !ok || c.jobs[i].origin != "" {
		c.emit(UserReply{ReplyTo: e.ReplyTo}) // users speak to a job's home alone
		return
	}
	j := c.jobs[i]
	c.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.status(j), TerminalStatePending: c.terminalStatePending(j)})
}

// status is what may be told about a job: a terminal state only once it is
// durable.
func (c *Core) status(j *job) wire.JobStatus {
	s := wire.JobStatus{ID: j.id, Status: wire.JobQueued, Done: j.done}
	switch {
	case j.terminalDurable:
		s.Status = j.terminal
		if j.terminal == wire.JobDone {
			s.Done = j.total
		}
	default:
		if j.delegated {
			s.Done, s.Running = c.federation.delegated.Progress(j.id)
		} else if j.tasks != nil {
			s.Running = c.runningTasks(j)
		}
		if s.Running > 0 {
			s.Status = wire.JobRunning
		}
	}
	return s
}

func (c *Core) runningTasks(j *job) int {
	n := 0
	if j.booked == 0 {
		return 0
	}
	for _, h := range j.hosts {
		for _, b := range c.machines[h.machine].allocations {
			if b.job == j.index && b.status == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (c *Core) cancelRequested(e CancelRequest) {
	i, ok := c.jobIndexByID[e.JobID]
	if !ok || c.jobs[i].origin != "" {
		c.emit(UserReply{ReplyTo: e.ReplyTo})
		return
	}
	j := c.jobs[i]
	if j.terminalDurable {
		c.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.status(j)})
		return
	}
	// A job whose transfer's record can't be read is away as well, in a cell that nobody can
	// name.
	if !j.over() && (!c.federation.delegated.Cancel(j.id, c.now) || j.delegated) {
		c.cancelDelegated(j, e.ReplyTo)
		return
	}
	j.replyTo = append(j.replyTo, e.ReplyTo)
	if !j.over() {
		c.log.Debug("job is being cancelled", "job", j.id)
		c.cancel(j)
	}
}

// cancel cancels a job. Its tasks are stopped now, not when that is durable: the write may
// be carried out and its answer lost, other nodes read it and tell the user, and we learn
// of it only after an outage. What its tasks do from here on is of no use to anybody.
func (c *Core) cancel(j *job) {
	c.finish(j, wire.JobCancelled)
	c.stopTasks(j)
}

// stopTasks has all tasks of a job stopped, also those that are being stopped already and have
// time to save: that may be more than a cancelled job's tasks have.
func (c *Core) stopTasks(j *job) {
	if j.booked == 0 {
		return
	}
	for _, m := range c.liveMachines {
		for k := len(m.allocations) - 1; k >= 0; k-- {
			if b := m.allocations[k]; b.job == j.index && (!b.stopping || b.gracePeriod > 0) {
				c.cancelWatch.counts.Due++
				c.stopAllocation(m, b, 0)
			}
		}
	}
}

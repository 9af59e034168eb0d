package scheduler

import (
	"leadproxy/internal/wire"
)

func (c *Core) statusRequested(e StatusRequest) {
	i, ok := c.jobs.indexByID[e.JobID]
	if !ok || c.jobs.list[i].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo}) // users speak to a job's home alone
		return
	}
	j := c.jobs.list[i]
	c.effects.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.status(j), TerminalStatePending: c.jobs.terminalStatePending(j)})
}

// status is what may be told about a job: a terminal state only once it is
// durable.
func (c *Core) status(j *job) wire.JobStatus {
	s := wire.JobStatus{ID: j.id, Status: wire.JobQueued, Done: j.progress.done}
	switch {
	case j.end.durable:
		s.Status = j.end.state
		if j.end.state == wire.JobDone {
			s.Done = j.progress.total
		}
	default:
		if j.transfer.delegated {
			s.Done, s.Running = c.federation.delegated.Progress(j.id)
		} else if j.progress.tasks != nil {
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
	if j.progress.allocated == 0 {
		return 0
	}
	for _, h := range j.record.hosts {
		for _, b := range c.machines.list[h.machine].capacity.allocations {
			if b.job == j.index && b.status == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (c *Core) cancelRequested(e CancelRequest) {
	i, ok := c.jobs.indexByID[e.JobID]
	if !ok || c.jobs.list[i].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo})
		return
	}
	j := c.jobs.list[i]
	if j.end.durable {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.status(j)})
		return
	}
	// A job whose transfer's record can't be read is away as well, in a cell that nobody can
	// name.
	if !j.over() && (!c.federation.delegated.Cancel(j.id, c.clock.now) || j.transfer.delegated) {
		c.cancelDelegated(j, e.ReplyTo)
		return
	}
	j.end.replyTo = append(j.end.replyTo, e.ReplyTo)
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
	if j.progress.allocated == 0 {
		return
	}
	for _, m := range c.machines.live {
		for k := len(m.capacity.allocations) - 1; k >= 0; k-- {
			if b := m.capacity.allocations[k]; b.job == j.index && (!b.stopping || b.gracePeriod > 0) {
				c.cancellations.counts.Due++
				c.stopAllocation(m, b, 0)
			}
		}
	}
}

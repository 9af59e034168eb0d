package scheduler

import (
	"leadproxy/internal/wire"
)

func (c *Core) handleStatusRequest(e StatusRequest) {
	i, ok := c.jobs.indexByID[e.JobID]
	if !ok || c.jobs.list[i].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: e.ReplyTo}) // users have access to a job in its origin cell alone
		return
	}
	j := c.jobs.list[i]
	c.effects.emit(UserReply{ReplyTo: e.ReplyTo, Known: true, Status: c.jobStatus(j), TerminalStatePending: c.jobs.terminalStatePending(j)})
}

// jobStatus is what users may know of a job: a terminal state only once it is durable.
func (c *Core) jobStatus(j *job) wire.JobStatus {
	s := wire.JobStatus{ID: j.id, Status: wire.JobQueued, Done: j.progress.done}
	switch {
	case j.end.durable:
		s.Status = j.end.state
		if j.end.state == wire.JobDone {
			s.Done = j.progress.total
		}
	default:
		if j.transfer.delegated {
			s.Done, s.Running = c.delegations.transfers.Progress(j.id)
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

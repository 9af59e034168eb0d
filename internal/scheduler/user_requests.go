package scheduler

import (
	"leadproxy/internal/wire"
)

// handleStatusRequest answers a user's request for the state of a job. A job of another cell counts
// as unknown.
func (c *Core) handleStatusRequest(event StatusRequest) {
	index, ok := c.jobs.indexByID[event.JobID]
	if !ok || c.jobs.list[index].transfer.origin != "" {
		c.effects.emit(UserReply{ReplyTo: event.ReplyTo}) // users can access a job only in its origin cell
		return
	}
	j := c.jobs.list[index]
	c.effects.emit(UserReply{ReplyTo: event.ReplyTo, Known: true, Status: c.jobStatus(j), TerminalStatePending: c.jobs.terminalStatePending(j)})
}

// jobStatus returns a job's state as users may see it: a terminal state only once it is durable.
func (c *Core) jobStatus(j *job) wire.JobStatus {
	status := wire.JobStatus{ID: j.id, Status: wire.JobQueued, Done: j.progress.done}
	switch {
	case j.end.durable:
		status.Status = j.end.state
		if j.end.state == wire.JobDone {
			status.Done = j.progress.total
		}
	default:
		if j.transfer.delegated {
			status.Done, status.Running = c.delegations.transfers.Progress(j.id)
		} else if j.progress.tasks != nil {
			status.Running = c.runningTasks(j)
		}
		if status.Running > 0 {
			status.Status = wire.JobRunning
		}
	}
	return status
}

// runningTasks returns how many tasks of a job the latest heartbeats report as running.
func (c *Core) runningTasks(j *job) int {
	running := 0
	if j.progress.allocated == 0 {
		return 0
	}
	for _, host := range j.record.hosts {
		for _, alloc := range c.machines.list[host.machine].capacity.allocations {
			if alloc.job == j.index && alloc.status == wire.TaskRunning {
				running++
			}
		}
	}
	return running
}

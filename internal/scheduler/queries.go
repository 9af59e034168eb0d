package scheduler

import (
	"leadproxy/internal/wire"
)

func (c *Core) statusAsked(e StatusAsked) {
	i, ok := c.jobIndex[e.Ref]
	if !ok || c.jobs[i].home != "" {
		c.emit(AnswerUser{To: e.To}) // users speak to a job's home alone
		return
	}
	j := c.jobs[i]
	c.emit(AnswerUser{To: e.To, Known: true, Status: c.status(j), Deciding: c.deciding(j)})
}

// status is what may be told about a job: a terminal state only once it is
// durable.
func (c *Core) status(j *job) wire.JobStatus {
	s := wire.JobStatus{Ref: j.ref, Status: wire.Queued, Done: j.done}
	switch {
	case j.terminalDurable:
		s.Status = j.terminal
		if j.terminal == wire.Done {
			s.Done = j.total
		}
	default:
		if j.away {
			s.Done, s.Running = c.transfers.home.Progress(j.ref)
		} else if j.tasks != nil {
			s.Running = c.runningTasks(j)
		}
		if s.Running > 0 {
			s.Status = wire.Running
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
		for _, b := range c.machines[h.machine].bookings {
			if b.job == j.index && b.status == wire.TaskRunning {
				n++
			}
		}
	}
	return n
}

func (c *Core) cancelAsked(e CancelAsked) {
	i, ok := c.jobIndex[e.Ref]
	if !ok || c.jobs[i].home != "" {
		c.emit(AnswerUser{To: e.To})
		return
	}
	j := c.jobs[i]
	if j.terminalDurable {
		c.emit(AnswerUser{To: e.To, Known: true, Status: c.status(j)})
		return
	}
	// A job whose transfer's record can't be read is away as well, in a cell that nobody can
	// name.
	if !j.over() && (!c.transfers.home.Cancel(j.ref, c.now) || j.away) {
		c.cancelAway(j, e.To)
		return
	}
	j.waiters = append(j.waiters, e.To)
	if !j.over() {
		c.log.Debug("job is being cancelled", "job", j.ref)
		c.abort(j)
	}
}

// abort cancels a job. Its tasks are stopped now, not when that is durable: the write may
// be carried out and its answer lost, other nodes read it and tell the user, and we learn
// of it only after an outage. What its tasks do from here on is of no use to anybody.
func (c *Core) abort(j *job) {
	c.finish(j, wire.Aborted)
	c.stopTasks(j)
}

// stopTasks has all tasks of a job stopped, also those that are being stopped already and have
// time to save: that may be more than a cancelled job's tasks have.
func (c *Core) stopTasks(j *job) {
	if j.booked == 0 {
		return
	}
	for _, m := range c.live {
		for k := len(m.bookings) - 1; k >= 0; k-- {
			if b := m.bookings[k]; b.job == j.index && (!b.stopping || b.grace > 0) {
				c.cancelled.counts.Due++
				c.stopBooking(m, b, 0)
			}
		}
	}
}

package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// This file decides which jobs are delegated to other cells, when, and to which.

// forwardingInterval is how often the queue is searched for jobs to be delegated.
const forwardingInterval = time.Second

// mayDelegate tells whether a job can run in another cell: whole, never started anywhere,
// of this cell, and not bound to a zone of it.
func (f *federationState) mayDelegate(j *job) bool {
	neverStarted := !j.progress.startedOnce && j.progress.allocated == 0 && len(j.record.hosts) == 0 && j.progress.done == 0
	boundHere := j.transfer.origin != "" || j.request.zone >= 0 || j.placement.reservedMachine != nil
	return j.placeable(f.clock.now) && neverStarted && !boundHere && !j.suspect() && f.delegated.MayBegin(j.id)
}

// expectedLate tells whether a job that begins after a wait misses its deadline or,
// without one, waits longer than it may.
func (f *federationState) expectedLate(j *job, wait time.Duration) bool {
	if j.priority.deadline == never {
		return f.clock.now-j.priority.arrived+wait > f.cells.MaxWait
	}
	return f.clock.now+wait+f.estimates.expectedRun(j) > j.priority.deadline
}

// forwardJobs delegates jobs to neighbours that have room for them while this cell is short of
// it.
func (c *Core) forwardJobs() {
	t := &c.federation
	late := c.federation.expectedLateJobs()
	if !t.shortage.Observe(c.clock.now, len(late) > 0 && !c.planner.canScaleOut()) {
		return
	}
	wanted := 0.0
	for _, j := range late {
		wanted += j.cores()
	}
	choice := c.federation.delegationInput()
	c.federation.requestCapacity(choice, wanted)
	for _, j := range late {
		if !choice.hasCredit() {
			break
		}
		c.federation.delegate(j, choice)
	}
	c.applyOriginEffects()
}

// delegationInput is the situation by which jobs are delegated.
type delegationInput struct {
	cells []federation.Cell // the neighbours, in order of preference
	used  []quota.Units     // by team, in all cells
}

// delegationInput describes the neighbours and what the teams use at present.
func (f *federationState) delegationInput() *delegationInput {
	o := &delegationInput{cells: make([]federation.Cell, len(f.neighbours)), used: f.uncertainUse()}
	for i := range o.used {
		o.used[i] = o.used[i].Plus(f.teams.At(int32(i)).Allocated())
	}
	idle := true
	for i, n := range f.neighbours {
		jobs, cores := f.delegatedTo(n)
		idle = idle && jobs == 0
		o.cells[i] = federation.Cell{Capacity: n.MaxCores, Used: cores, Jobs: n.MaxJobs - jobs}
		if f.clock.now < n.until && !n.Draining {
			o.cells[i].Credit = n.credit
		}
	}
	if idle {
		f.selector.Reset()
	}
	return o
}

// hasCredit tells whether some neighbour has offered capacity.
func (o *delegationInput) hasCredit() bool {
	return slices.ContainsFunc(o.cells, func(cell federation.Cell) bool { return cell.Credit > 0 })
}

// expectedLateJobs lists, in the order of the queue, the jobs that may be delegated and whose
// wait here is expected to be too long: what is ahead of them, and left of what runs, shared by
// all cores. A job that is delegated is ahead of none.
func (f *federationState) expectedLateJobs() []*job {
	cores, ahead := 0.0, 0.0
	for _, m := range f.machines.live {
		if f.agents.countsAsCapacity(m) {
			cores += m.capacity.total.CPUs
			ahead += f.placement.remainingWork(m)
		}
	}
	var late []*job
	for _, j := range f.placement.queue() {
		wait := f.cells.MaxWait + time.Second
		if cores > 0 {
			wait = settings.Seconds(ahead / cores)
		}
		if f.mayDelegate(j) && f.expectedLate(j, wait) {
			late = append(late, j)
			continue
		}
		ahead += f.placement.queuedWork(j)
	}
	return late
}

// requestCapacity requests an offer of capacity from the neighbours.
func (f *federationState) requestCapacity(choice *delegationInput, cores float64) {
	for i, n := range f.neighbours {
		cell := choice.cells[i]
		free := min(cores, cell.Capacity-cell.Used)
		if n.Draining || n.capacityRequested || f.clock.now < n.nextCapacityRequest || cell.Jobs <= 0 || free <= 0 || cell.Credit >= free {
			continue
		}
		n.capacityRequested = true
		f.effects.emit(RequestCapacity{Cell: n.Name, Cores: free})
	}
}

// capacityRequestInterval is the least time between two capacity requests to a neighbour.
const capacityRequestInterval = 2 * time.Second

// capacityResult takes a neighbour's reply to a capacity request.
func (c *Core) capacityResult(e CapacityResult) {
	n := c.federation.neighbourNamed(e.Cell)
	if n == nil {
		return
	}
	n.capacityRequested = false
	n.nextCapacityRequest = c.clock.now + max(capacityRequestInterval, e.RetryAfter)
	if e.Err != nil {
		c.log.Debug("capacity request failed", "cell", n.Name, "error", e.Err)
		return
	}
	n.credit, n.until = e.Cores, c.clock.now+e.For
	if n.reason != e.Reason {
		n.reason = e.Reason
		if e.Reason != "" {
			c.log.Info("neighbour offers no capacity", "cell", n.Name, "reason", e.Reason, "retry_after_s", e.RetryAfter.Seconds())
		}
	}
	if e.Cores <= 0 {
		return
	}
	c.forwardJobs()
	c.federation.sendTransfers()
}

// delegatedTo is what is delegated to a cell: jobs, and their cores.
func (f *federationState) delegatedTo(n *neighbour) (jobs int, cores float64) {
	for _, id := range f.delegated.JobsAt(n.Name) {
		if at, ok := f.jobs.indexByID[id]; ok && !f.jobs.list[at].ended() {
			jobs++
			cores += f.jobs.list[at].cores()
		}
	}
	return jobs, cores
}

// delegate begins the transfer of a job to the neighbour that the choice names, if its
// team's limit leaves room for all of it: tasks in other cells count there as well.
func (f *federationState) delegate(j *job, o *delegationInput) {
	if f.teams.At(j.request.team).Room(j.request.size, o.used[j.request.team]) < j.progress.total {
		return
	}
	for i, n := range f.neighbours {
		o.cells[i].Excluded = n.refused[j.id]
	}
	at := f.selector.Select(o.cells, j.cores())
	if at < 0 {
		return
	}
	body := f.offerBody(j)
	if body == nil {
		return
	}
	n, cell := f.neighbours[at], &o.cells[at]
	n.credit -= j.cores()
	cell.Credit, cell.Used, cell.Jobs = n.credit, cell.Used+j.cores(), cell.Jobs-1
	o.used[j.request.team] = o.used[j.request.team].Plus(quota.Of(j.request.size).Times(j.progress.total))
	j.transfer.delegated = true
	f.delegated.Begin(j.id, n.Name, body, f.clock.now, f.clock.wallMS)
	f.log.Info("job delegated to a neighbour", "job", j.id, "cell", n.Name, "cores", j.cores(), "waited_s", (f.clock.now - j.priority.arrived).Seconds(), "share", j.cores()/n.MaxCores)
}

// uncertainUse is what each team's tasks may use on machines that have sent no heartbeat in this
// term, and in other cells.
func (f *federationState) uncertainUse() []quota.Units {
	use := make([]quota.Units, f.teams.Len())
	transfers := !f.delegated.Idle()
	for _, j := range f.jobs.active {
		if len(j.record.inDoubtHosts) > 0 && j.end.state != wire.JobDone {
			n := j.progress.total - j.progress.done - j.progress.allocated
			use[j.request.team] = use[j.request.team].Plus(quota.Of(j.request.size).Times(max(n, 0)))
		}
		unreadable := j.transfer.delegated && !f.delegated.Delegated(j.id)
		if unreadable || transfers && f.delegated.MayRunRemotely(j.id) {
			// All of its tasks may run there at once, also if its transfer's record can't
			// be read.
			use[j.request.team] = use[j.request.team].Plus(quota.Of(j.request.size).Times(j.progress.total))
		}
	}
	return use
}

package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/settings"
)

// Which jobs are offered to other cells, when, and to whom.

// lookEvery is how often the queue is looked through for jobs to be offered.
const lookEvery = time.Second

// mayLeave tells whether a job can run in another cell: whole, never started anywhere,
// of this cell, and not bound to a zone of it.
func (c *Core) mayLeave(j *job) bool {
	return j.placeable(c.clock.now) && j.transfer.origin == "" && !j.progress.startedOnce && j.progress.allocated == 0 && len(j.record.hosts) == 0 && j.progress.done == 0 &&
		j.placement.reservedMachine == nil && j.request.zone < 0 && !j.suspect() && c.federation.delegated.MayBegin(j.id)
}

// expectedLate tells whether a job that begins after a wait misses its deadline or,
// without one, waits longer than it may.
func (c *Core) expectedLate(j *job, wait time.Duration) bool {
	if j.priority.deadline == never {
		return c.clock.now-j.priority.arrived+wait > c.federation.cells.MaxWait
	}
	return c.clock.now+wait+c.expectedRun(j) > j.priority.deadline
}

// findCellForJobs offers jobs to neighbours that have room for them while this cell is short
// of it.
func (c *Core) findCellForJobs() {
	t := &c.federation
	late := c.expectedLateJobs()
	if !t.shortage.Look(c.clock.now, len(late) > 0 && !c.canScaleOut()) {
		return
	}
	wanted := 0.0
	for _, j := range late {
		wanted += j.cores()
	}
	choice := c.delegationInput()
	c.askForCapacity(choice, wanted)
	for _, j := range late {
		if !choice.credit() {
			break
		}
		c.offer(j, choice)
	}
	c.applyOriginEffects()
}

// offering is what offers are decided by at one moment.
type offering struct {
	cells []federation.Cell // the neighbours, in order
	used  []units           // by team, in all cells
}

// delegationInput looks at the neighbours and the teams.
func (c *Core) delegationInput() *offering {
	t := &c.federation
	o := &offering{cells: make([]federation.Cell, len(t.neighbours)), used: c.uncertainUse()}
	for i := range o.used {
		o.used[i] = o.used[i].plus(c.placement.teams[i].booked)
	}
	idle := true
	for i, n := range t.neighbours {
		jobs, cores := c.delegatedTo(n)
		idle = idle && jobs == 0
		o.cells[i] = federation.Cell{Capacity: n.MaxCores, Used: cores, Jobs: n.MaxJobs - jobs}
		if c.clock.now < n.until && !n.Drain {
			o.cells[i].Credit = n.credit
		}
	}
	if idle {
		t.selector.Rest()
	}
	return o
}

// credit tells whether some neighbour has offered room.
func (o *offering) credit() bool {
	return slices.ContainsFunc(o.cells, func(cell federation.Cell) bool { return cell.Credit > 0 })
}

// expectedLateJobs lists, in the order of the queue, the jobs that may leave and whose
// wait here is expected to be too long: what is ahead of them, and left of what runs,
// shared by the cores that there are. A job that leaves is ahead of none.
func (c *Core) expectedLateJobs() []*job {
	cores, ahead := 0.0, 0.0
	for _, m := range c.machines.live {
		if c.counts(m) {
			cores += m.capacity.total.CPUs
			ahead += c.busy(m)
		}
	}
	var late []*job
	for _, j := range c.queue() {
		wait := c.federation.cells.MaxWait + time.Second
		if cores > 0 {
			wait = settings.Seconds(ahead / cores)
		}
		if c.mayLeave(j) && c.expectedLate(j, wait) {
			late = append(late, j)
			continue
		}
		ahead += c.workLeft(j)
	}
	return late
}

// canScaleOut tells whether machines are coming or could be asked for.
func (c *Core) canScaleOut() bool {
	if len(c.openScaleOuts()) > 0 {
		return true
	}
	if slices.ContainsFunc(c.machines.live, func(m *machine) bool { return m.state == machineStarting && m.typ >= 0 }) {
		return true
	}
	if most := c.cfg.Operator.MaxMachines; most > 0 && c.machineCount() >= most {
		return false
	}
	return c.poolsOpen()
}

// poolsOpen tells whether some offer of the cloud was not refused a moment ago.
func (c *Core) poolsOpen() bool {
	for range c.openPools() {
		return true
	}
	return false
}

// askForCapacity asks the neighbours what they have for so many cores.
func (c *Core) askForCapacity(choice *offering, cores float64) {
	for i, n := range c.federation.neighbours {
		cell := choice.cells[i]
		free := min(cores, cell.Capacity-cell.Used)
		if n.Drain || n.capacityRequested || c.clock.now < n.nextCapacityRequest || cell.Jobs <= 0 || free <= 0 || cell.Credit >= free {
			continue
		}
		n.capacityRequested = true
		c.effects.emit(AskCapacity{Cell: n.Name, Cores: free})
	}
}

// askAgain is how long a neighbour rests that was asked for room.
const askAgain = 2 * time.Second

// capacityResult takes a neighbour's answer to the question for room.
func (c *Core) capacityResult(e CapacityResult) {
	n := c.neighbourNamed(e.Cell)
	if n == nil {
		return
	}
	n.capacityRequested = false
	n.nextCapacityRequest = c.clock.now + max(askAgain, e.RetryAfter)
	if e.Err != nil {
		c.log.Debug("neighbour not asked for room", "cell", n.Name, "error", e.Err)
		return
	}
	n.credit, n.until = e.Cores, c.clock.now+e.For
	if n.reason != e.Reason {
		n.reason = e.Reason
		if e.Reason != "" {
			c.log.Info("neighbour has no room", "cell", n.Name, "why", e.Reason, "again_s", e.RetryAfter.Seconds())
		}
	}
	if e.Cores <= 0 {
		return
	}
	c.findCellForJobs()
	c.exchange()
}

// delegatedTo is what is away in a cell: jobs, and their cores.
func (c *Core) delegatedTo(n *neighbour) (jobs int, cores float64) {
	for _, ref := range c.federation.delegated.With(n.Name) {
		if at, ok := c.jobs.indexByID[ref]; ok && !c.jobs.list[at].over() {
			jobs++
			cores += c.jobs.list[at].cores()
		}
	}
	return jobs, cores
}

// offer begins the transfer of a job to the neighbour that the choice names, if its
// team's limit leaves room for all of it: tasks in other cells count there as well.
func (c *Core) offer(j *job, o *offering) {
	if c.roomInLimit(j, o.used[j.request.team]) < j.progress.total {
		return
	}
	for i, n := range c.federation.neighbours {
		o.cells[i].Excluded = n.refused[j.id]
	}
	at := c.federation.selector.Choose(o.cells, j.cores())
	if at < 0 {
		return
	}
	body := c.offerBody(j)
	if body == nil {
		return
	}
	n, cell := c.federation.neighbours[at], &o.cells[at]
	n.credit -= j.cores()
	cell.Credit, cell.Used, cell.Jobs = n.credit, cell.Used+j.cores(), cell.Jobs-1
	o.used[j.request.team] = o.used[j.request.team].plus(unitsOf(j.request.size).times(j.progress.total))
	j.transfer.delegated = true
	c.federation.delegated.Begin(j.id, n.Name, body, c.clock.now, c.clock.wallMS)
	c.log.Info("job is offered to a neighbour", "job", j.id, "cell", n.Name, "cores", j.cores(), "waited_s", (c.clock.now - j.priority.arrived).Seconds(), "share", j.cores()/n.MaxCores)
}

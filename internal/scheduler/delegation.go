package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// forwardingInterval is how often the queue is searched for jobs to be delegated.
const forwardingInterval = time.Second

// delegations decides which jobs are delegated to other cells, when, and to which. It owns the
// origin side of the transfers and alone writes which jobs other cells may run.
type delegations struct {
	clock      *clock
	log        *slog.Logger
	effects    *effects
	writes     *durableWrites
	estimates  *runEstimates
	teams      *quota.Teams
	jobs       *jobTable
	machines   *machineTable
	agents     *agents
	placement  *placement
	neighbours *neighbourTable
	steps      *transferSteps

	transfers      *federation.DelegatedJobs
	shortage       federation.Shortage
	selector       *federation.CellSelector
	nextForwarding time.Duration
}

func newDelegations(c *Core) delegations {
	operator := c.cfg.Operator
	return delegations{clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes, estimates: &c.estimates,
		teams: &c.teams, jobs: &c.jobs, machines: &c.machines, agents: &c.agents, placement: &c.placement,
		neighbours: &c.neighbours, steps: &c.transferSteps,
		transfers: federation.NewDelegatedJobs(reclaimAfter(operator.Cells)),
		shortage:  federation.Shortage{MinDuration: operator.Cells.ShortageFor},
		selector:  federation.NewCellSelector(operator.SlowFitC),
	}
}

// reclaimAfter tells when a repeatable job is reclaimed from a cell. One that the settings no
// longer name is treated as the strictest.
func reclaimAfter(cells settings.Cells) func(cell string) time.Duration {
	return func(cell string) time.Duration {
		n, ok := cells.Find(cell)
		if !ok {
			return 0
		}
		return n.ReclaimAfter
	}
}

// forwardingDue tells whether the queue is to be searched for jobs to be delegated.
func (d *delegations) forwardingDue() bool {
	if !d.neighbours.cells.DelegateJobs || !d.neighbours.transfersEnabled || d.clock.now < d.nextForwarding {
		return false
	}
	d.nextForwarding = d.clock.now + forwardingInterval
	return true
}

// forward delegates jobs to neighbours that have room for them while this cell is short of it:
// jobs are expected to be late, and no machines can be had.
func (d *delegations) forward(canScaleOut func() bool) {
	late := d.expectedLateJobs()
	if !d.shortage.Observe(d.clock.now, len(late) > 0 && !canScaleOut()) {
		return
	}
	wanted := 0.0
	for _, j := range late {
		wanted += j.totalCores()
	}
	choice := d.delegationInput()
	d.requestCapacity(choice, wanted)
	for _, j := range late {
		if !choice.hasCredit() {
			break
		}
		d.delegate(j, choice)
	}
}

// mayDelegate tells whether a job can run in another cell: whole, never started anywhere,
// of this cell, and not bound to a zone of it.
func (d *delegations) mayDelegate(j *job) bool {
	neverStarted := !j.progress.startedOnce && j.progress.allocated == 0 && len(j.record.hosts) == 0 && j.progress.done == 0
	boundHere := j.transfer.origin != "" || j.request.zone >= 0 || j.placement.reservedMachine != nil
	return j.placeable(d.clock.now) && neverStarted && !boundHere && !j.suspect() && d.transfers.MayBegin(j.id)
}

// expectedLate tells whether a job that begins after a wait misses its deadline or,
// without one, waits longer than it may.
func (d *delegations) expectedLate(j *job, wait time.Duration) bool {
	if j.priority.deadline == noDeadline {
		return d.clock.now-j.priority.arrived+wait > d.neighbours.cells.MaxWait
	}
	return d.clock.now+wait+d.estimates.expectedRun(j) > j.priority.deadline
}

// delegationInput is the situation by which jobs are delegated.
type delegationInput struct {
	cells      []federation.Cell // the neighbours, in order of preference
	usedByTeam []quota.Units     // by team, in all cells
}

// delegationInput describes the neighbours and what the teams use at present.
func (d *delegations) delegationInput() *delegationInput {
	o := &delegationInput{cells: make([]federation.Cell, len(d.neighbours.list)), usedByTeam: d.uncertainUse()}
	for i := range o.usedByTeam {
		o.usedByTeam[i] = o.usedByTeam[i].Plus(d.teams.Team(int32(i)).Allocated())
	}
	idle := true
	for i, n := range d.neighbours.list {
		jobs, cores := d.delegatedTo(n)
		idle = idle && jobs == 0
		o.cells[i] = federation.Cell{Capacity: n.MaxCores, Used: cores, Jobs: n.MaxJobs - jobs}
		if d.clock.now < n.creditExpiry && !n.Draining {
			o.cells[i].Credit = n.credit
		}
	}
	if idle {
		d.selector.Reset()
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
func (d *delegations) expectedLateJobs() []*job {
	cores, ahead := 0.0, 0.0
	for _, m := range d.machines.live {
		if d.agents.countsAsCapacity(m) {
			cores += m.capacity.total.CPUs
			ahead += d.placement.remainingWork(m)
		}
	}
	var late []*job
	for _, j := range d.placement.sortedQueue() {
		wait := d.neighbours.cells.MaxWait + time.Second
		if cores > 0 {
			wait = settings.Seconds(ahead / cores)
		}
		if d.mayDelegate(j) && d.expectedLate(j, wait) {
			late = append(late, j)
			continue
		}
		ahead += d.placement.queuedWork(j)
	}
	return late
}

// requestCapacity requests an offer of capacity from the neighbours.
func (d *delegations) requestCapacity(choice *delegationInput, cores float64) {
	for i, n := range d.neighbours.list {
		cell := choice.cells[i]
		free := min(cores, cell.Capacity-cell.Used)
		if n.Draining || n.capacityRequested || d.clock.now < n.nextCapacityRequest || cell.Jobs <= 0 || free <= 0 || cell.Credit >= free {
			continue
		}
		d.neighbours.requestCapacity(n, free)
	}
}

// delegatedTo is what is delegated to a cell: jobs, and their cores.
func (d *delegations) delegatedTo(n *neighbour) (jobs int, cores float64) {
	for _, id := range d.transfers.JobsAt(n.Name) {
		if at, ok := d.jobs.indexByID[id]; ok && !d.jobs.list[at].ended() {
			jobs++
			cores += d.jobs.list[at].totalCores()
		}
	}
	return jobs, cores
}

// delegate begins the transfer of a job to the neighbour that the choice names, if its
// team's limit leaves room for all of it: tasks in other cells count there as well.
func (d *delegations) delegate(j *job, o *delegationInput) {
	if d.teams.Team(j.request.team).AdditionalTasks(j.request.size, o.usedByTeam[j.request.team]) < j.progress.total {
		return
	}
	for i, n := range d.neighbours.list {
		o.cells[i].Excluded = n.refusedJobs[j.id]
	}
	at := d.selector.Select(o.cells, j.totalCores())
	if at < 0 {
		return
	}
	body := d.offerBody(j)
	if body == nil {
		return
	}
	n, cell := d.neighbours.list[at], &o.cells[at]
	n.useCredit(j.totalCores())
	cell.Credit, cell.Used, cell.Jobs = n.credit, cell.Used+j.totalCores(), cell.Jobs-1
	o.usedByTeam[j.request.team] = o.usedByTeam[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(j.progress.total))
	j.transfer.delegated = true
	d.transfers.Begin(j.id, n.Name, body, d.clock.now, d.clock.wallMS)
	d.log.Info("job delegated to a neighbour", "job", j.id, "cell", n.Name, "cores", j.totalCores(), "waited_s", (d.clock.now - j.priority.arrived).Seconds(), "share", j.totalCores()/n.MaxCores)
}

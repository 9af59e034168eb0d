package scheduler

import (
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
)

// delegationInterval is the interval between searches of the queue for jobs to delegate.
const delegationInterval = time.Second

// delegations decides which jobs are delegated to other cells, when, and to which. It owns the
// origin side of the transfers, and only it sets whether another cell may run a job.
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
	nextDelegation time.Duration
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

// reclaimAfter returns a function that maps a cell to the time without an answer after which a
// repeatable job is reclaimed from it. For a cell that is no longer in the settings it returns 0:
// jobs are never reclaimed from it, which is the strictest setting.
func reclaimAfter(cells settings.Cells) func(cell string) time.Duration {
	return func(cell string) time.Duration {
		n, ok := cells.Find(cell)
		if !ok {
			return 0
		}
		return n.ReclaimAfter
	}
}

// delegationDue reports whether the queue is to be searched now for jobs to delegate. If so, it
// schedules the next search.
func (d *delegations) delegationDue() bool {
	if !d.neighbours.cells.DelegateJobs || !d.neighbours.transfersEnabled || d.clock.now < d.nextDelegation {
		return false
	}
	d.nextDelegation = d.clock.now + delegationInterval
	return true
}

// delegateLateJobs delegates jobs to neighbours that have offered capacity. It does so only after a
// shortage has lasted: jobs are expected to be late, and no machine can be rented.
func (d *delegations) delegateLateJobs(canScaleOut func() bool) {
	late := d.expectedLateJobs()
	if !d.shortage.Observe(d.clock.now, len(late) > 0 && !canScaleOut()) {
		return
	}
	wanted := 0.0
	for _, j := range late {
		wanted += j.totalCores()
	}
	input := d.delegationInput()
	d.requestCapacity(input, wanted)
	for _, j := range late {
		if !input.hasCredit() {
			break
		}
		d.delegate(j, input)
	}
}

// mayDelegate reports whether a job may run in another cell. It must be a job of this cell of
// which no task has ever been allocated or started anywhere, and must not be bound to a zone or to
// a reserved machine here.
func (d *delegations) mayDelegate(j *job) bool {
	neverStarted := !j.progress.startedOnce && j.progress.allocated == 0 && len(j.record.hosts) == 0 && j.progress.done == 0
	boundHere := j.transfer.origin != "" || j.request.zone >= 0 || j.placement.reservedMachine != nil
	return j.placeable(d.clock.now) && neverStarted && !boundHere && !j.suspect() && d.transfers.MayBegin(j.id)
}

// expectedLate reports whether a job that starts after a wait would miss its deadline or, without
// a deadline, would have waited longer than the settings allow.
func (d *delegations) expectedLate(j *job, wait time.Duration) bool {
	if j.priority.deadline == noDeadline {
		return d.clock.now-j.priority.arrived+wait > d.neighbours.cells.MaxWait
	}
	return d.clock.now+wait+d.estimates.expectedRun(j) > j.priority.deadline
}

// delegationInput is the input of the decisions which jobs to delegate where.
type delegationInput struct {
	cells      []federation.Cell // the neighbours, in the order of preference of the settings
	usedByTeam []quota.Units     // in all cells, by team index
}

// delegationInput returns the present state of the neighbours and the present use of each team. If
// nothing is delegated, it also resets the selector.
func (d *delegations) delegationInput() *delegationInput {
	input := &delegationInput{cells: make([]federation.Cell, len(d.neighbours.list)), usedByTeam: d.uncertainUse()}
	for i := range input.usedByTeam {
		input.usedByTeam[i] = input.usedByTeam[i].Plus(d.teams.Team(int32(i)).Allocated())
	}
	idle := true
	for i, n := range d.neighbours.list {
		jobs, cores := d.delegatedTo(n)
		idle = idle && jobs == 0
		input.cells[i] = federation.Cell{Capacity: n.MaxCores, Used: cores, RemainingJobs: n.MaxJobs - jobs}
		if d.clock.now < n.creditExpiry && !n.Draining {
			input.cells[i].Credit = n.credit
		}
	}
	if idle {
		d.selector.Reset()
	}
	return input
}

// hasCredit reports whether any neighbour has offered capacity that is not used yet.
func (i *delegationInput) hasCredit() bool {
	return slices.ContainsFunc(i.cells, func(cell federation.Cell) bool { return cell.Credit > 0 })
}

// expectedLateJobs returns the jobs that may be delegated and whose expected wait here is too
// long, in the order of the queue. The expected wait is the remaining work of running tasks plus
// the work queued ahead of the job, divided by the cores of all machines. Jobs in the result do
// not add to the wait of later ones.
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

// requestCapacity requests up to the given number of cores from each neighbour that may still take
// jobs and whose offer does not cover them already.
func (d *delegations) requestCapacity(input *delegationInput, cores float64) {
	for i, n := range d.neighbours.list {
		cell := input.cells[i]
		wanted := min(cores, cell.Capacity-cell.Used)
		if n.Draining || n.capacityRequested || d.clock.now < n.nextCapacityRequest || cell.RemainingJobs <= 0 || wanted <= 0 || cell.Credit >= wanted {
			continue
		}
		d.neighbours.requestCapacity(n, wanted)
	}
}

// delegatedTo returns the number of unfinished jobs that a neighbour may run, and their cores.
func (d *delegations) delegatedTo(n *neighbour) (jobs int, cores float64) {
	for _, id := range d.transfers.JobsAtNeighbour(n.Name) {
		if index, ok := d.jobs.indexByID[id]; ok && !d.jobs.list[index].ended() {
			jobs++
			cores += d.jobs.list[index].totalCores()
		}
	}
	return jobs, cores
}

// delegate starts the transfer of a job to the neighbour that the selector chooses. It does
// nothing if the team's limit does not allow all tasks of the job, counting its tasks in other
// cells, or if no neighbour can take the job.
func (d *delegations) delegate(j *job, input *delegationInput) {
	if d.teams.Team(j.request.team).AdditionalTasks(j.request.size, input.usedByTeam[j.request.team]) < j.progress.total {
		return
	}
	for i, n := range d.neighbours.list {
		input.cells[i].Excluded = n.refusedJobs[j.id]
	}
	index := d.selector.Select(input.cells, j.totalCores())
	if index < 0 {
		return
	}
	body := d.offerBody(j)
	if body == nil {
		return
	}
	n, cell := d.neighbours.list[index], &input.cells[index]
	n.useCredit(j.totalCores())
	cell.Credit, cell.Used, cell.RemainingJobs = n.credit, cell.Used+j.totalCores(), cell.RemainingJobs-1
	input.usedByTeam[j.request.team] = input.usedByTeam[j.request.team].Plus(quota.UnitsOf(j.request.size).Times(j.progress.total))
	j.transfer.delegated = true
	d.transfers.Begin(j.id, n.Name, body, d.clock.now, d.clock.wallMS)
	d.log.Info("job delegated to a neighbour", "job", j.id, "cell", n.Name, "cores", j.totalCores(), "waited_s", (d.clock.now - j.priority.arrived).Seconds(), "share", j.totalCores()/n.MaxCores)
}

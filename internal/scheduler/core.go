// Package scheduler implements the leader's decisions: which machines to rent and return, which
// tasks to place on them, which jobs stay queued, and which commands to send to agents. The core is
// a deterministic state machine: a step takes an event and a time, updates the state and produces
// effects. It does no I/O; package dispatch carries the effects out.
//
// Start reading at Core, which lists the parts, and at Step, which lists the events by part.
package scheduler

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
)

// Config configures the core for one term.
type Config struct {
	Term     uint64
	Platform *settings.Platform
	Operator settings.Operator
	// MaxValueBytes is the largest size of a value in the key-value store, in bytes.
	MaxValueBytes int
	// SoftState is the in-memory state of an earlier leader; nil if none was received.
	SoftState *softstate.View
}

// termCounterBits is the number of low-order bits of a fencing token or an attempt number that hold
// a counter within one term. The higher bits hold the term.
const termCounterBits = 24

// FirstFencingToken returns the lowest fencing token of a term.
func FirstFencingToken(term uint64) uint64 { return term << termCounterBits }

// Core is the leader's state for one term. Events enter through Step only. The state is divided
// into parts. Each part has its own type; only that type's methods write its fields, and its pointer
// fields list the other parts that it reads. A part reads only parts declared above it in Core.
// Logic that concerns several parts is in methods of Core.
type Core struct {
	cfg Config
	log *slog.Logger
	// debugEnabled reports whether debug lines are logged. Log calls made once per task check it,
	// so that their arguments aren't evaluated for nothing.
	debugEnabled bool
	term         uint64

	clock   clock         // time of the current event
	effects effects       // effects of the current step
	writes  durableWrites // pending writes to the ledger

	types         machineTypes      // machine types of the cloud
	classes       classTable        // job classes
	estimates     runEstimates      // learned run times
	teams         quota.Teams       // teams and their quotas
	machines      machineTable      // all machines
	jobs          jobTable          // all jobs, their dependencies and their records
	recordReads   recordReads       // reads of the records of unknown jobs
	cancellations cancellationWatch // tasks of cancelled jobs

	commands      commands          // commands to agents, and responses to heartbeats
	agents        agents            // reachability of agents
	attempts      attempts          // attempt numbers
	placement     placement         // placement of tasks on machines
	cloudReads    cloudReads        // reads of machine types and machines
	pools         capacityPools     // capacity pools of the cloud and their back-off
	demand        learnedDemand     // demand learned from recent jobs
	scaleOuts     scaleOutRequests  // machines being rented
	scaleIns      scaleInRequests   // machines being returned
	planner       capacityPlanner   // scale-out and scale-in planning
	spending      spending          // cost of the machines
	inherited     inheritedState    // soft state of an earlier leader
	softState     softState         // soft state replicated to standbys
	neighbours    neighbourTable    // other cells, and the exchanges with them
	transferSteps transferSteps     // counts of the steps of transfers
	delegations   delegations       // jobs that other cells run
	offers        capacityOffers    // free capacity offered to other cells
	foreign       foreignJobs       // jobs of other cells
	disruptions   disruptionMonitor // disruptions of jobs
	replacements  replacements      // replacements of drained machines
	planViews     planViews         // views of the current state for drain plans
	plans         drainPlans        // plans that drain machines
}

// NewCore creates the core of a new term and restores its state from a ledger snapshot. now is the
// controller's monotonic time, wallMS the Unix time in milliseconds. InitialEffects returns the
// effects of the restore.
func NewCore(cfg Config, s ledger.Snapshot, now time.Duration, wallMS int64, log *slog.Logger) *Core {
	c := &Core{cfg: cfg, log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug), term: cfg.Term}
	c.clock = newClock(now, wallMS)
	c.writes = newDurableWrites(c)
	c.types = newMachineTypes()
	c.teams = quota.NewTeams(cfg.Platform.Facts.Teams)
	c.machines = newMachineTable()
	c.jobs = newJobTable(c)
	c.recordReads = newRecordReads(c)
	c.cancellations = newCancellationWatch(c)
	c.commands = newCommands(c)
	c.agents = newAgents(c)
	c.attempts = newAttempts(c)
	c.placement = newPlacement(c)
	c.cloudReads = newCloudReads(c)
	c.pools = newCapacityPools(c)
	c.demand = newLearnedDemand(c)
	c.scaleOuts = newScaleOutRequests(c)
	c.scaleIns = newScaleInRequests(c)
	c.planner = newCapacityPlanner(c)
	c.spending = newSpending(c)
	c.inherited = newInheritedState(c)
	c.softState = newSoftState(c)
	c.neighbours = newNeighbourTable(c)
	c.transferSteps = newTransferSteps(c)
	c.delegations = newDelegations(c)
	c.offers = newCapacityOffers(c)
	c.foreign = newForeignJobs(c)
	c.disruptions = newDisruptionMonitor(c)
	c.replacements = newReplacements(c)
	c.planViews = newPlanViews(c)
	c.plans = newDrainPlans(c)
	c.restore(&s)
	c.finishStep()
	return c
}

// Step applies one event to the state. wallMS is the Unix time in milliseconds. The effects
// accumulate until the caller calls Flush, which may follow several events.
func (c *Core) Step(event Event, now time.Duration, wallMS int64) {
	c.clock.set(now, wallMS)
	switch e := event.(type) {
	// Users and their jobs.
	case JobRecordEvent:
		c.handleJobRecord(e)
	case RecordReadResult:
		c.handleRecordRead(e)
	case CancelRequest:
		c.handleCancelRequest(e)
	case StatusRequest:
		c.handleStatusRequest(e)

	// Agents.
	case HeartbeatEvent:
		c.handleHeartbeat(e)
	case CommandResult:
		c.handleCommandResult(e)
	case InspectResult:
		c.handleInspectResult(e)

	// The cloud.
	case CloudResult:
		c.handleCloudResult(e.Result)

	// The ledger.
	case WritesDurable:
		c.handleWritesDurable(e)
	case WritesRejected:
		c.handleWritesRejected(e)
	case ValueLimitChanged:
		c.cfg.MaxValueBytes = e.MaxValueBytes

	// Drain plans of operators, and standbys.
	case PlanRequest:
		c.plans.handleRequest(e)
	case PlanListRequest:
		c.plans.handleListRequest(e)
	case SoftStateRequest:
		c.softState.handleRequest(e)

	case Tick:
		c.tick()

	default:
		c.handleFederationEvent(event)
	}
}

// NeedsPlacement reports whether the next Flush runs a placement pass.
func (c *Core) NeedsPlacement() bool { return c.placement.needed }

// Flush completes one or more steps: it places queued tasks if needed, and returns the accumulated
// effects in order. Under load many events share one placement pass.
func (c *Core) Flush() []Effect {
	if c.placement.needed {
		c.placement.placeQueuedTasks(c.delegations.uncertainUse())
	}
	c.finishStep()
	return c.effects.take()
}

// InitialEffects returns the effects of NewCore. It is called once, before the first Step.
func (c *Core) InitialEffects() []Effect {
	return c.effects.take()
}

// tick does the work that is due by time alone: expired leases, ended back-offs, retries and
// periodic planning.
func (c *Core) tick() {
	c.clock.tick()
	c.spending.accrue()
	for _, m := range c.machines.live {
		c.expireLease(m)
		if m.indexed.schedulable != c.agents.schedulable(m) {
			// Its agent became unreachable, or the suspension of its starts has ended.
			c.releaseRefusedStarts(m)
			c.placement.markIndexStale(m)
			c.placement.markNeeded()
		}
	}
	c.placement.endBackoffs()
	c.jobs.removeCleanedUp()
	c.recordReads.requestQueued()
	c.recordReads.logOverdue()
	c.machines.dropGone(&c.writes)
	c.cancellations.logOverdueJobs()
	c.recordUnreachable()
	c.agents.withdrawUnneededRecords()
	c.inherited.dropExpired()
	c.cloudReads.requestDue()
	c.scaleOuts.retryDue()
	c.planner.planDue()
	c.attempts.resignIfExhausted()
	c.advanceTransfers()
	c.advancePlans()
	c.placement.lowerGoal()
}

// UnresolvedHosts returns the number of machines that may still run tasks started by an earlier
// leader and not yet reported.
func (c *Core) UnresolvedHosts() int { return c.machines.unresolvedHosts() }

// MachineCount returns the number of known machines that are starting, up or being deleted.
func (c *Core) MachineCount() int { return c.machines.count() }

// JobCount returns the number of jobs known in this term, including ended ones.
func (c *Core) JobCount() int { return len(c.jobs.list) }

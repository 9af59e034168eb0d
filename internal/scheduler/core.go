// Package scheduler decides what the leader does: which machines exist, what runs on them, what
// waits, and which commands follow. Its core is a deterministic step from a state, an event and
// a time to effects, without I/O. Package dispatch carries the effects out.
//
// A newcomer begins with Core and its parts, and with Step, which shows the events of each part.
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

// Config is the configuration of one term.
type Config struct {
	Term     uint64
	Platform *settings.Platform
	Operator settings.Operator
	// MaxValueBytes is how many bytes a value may have.
	MaxValueBytes int
	// SoftState is what an earlier leader held in memory; nil: none is known.
	SoftState *softstate.View
}

// termCounterBits is the room that a fencing token and an attempt leave for the counter within one
// term.
const termCounterBits = 24

// Core is the leader's state for one term. Step is its only entry. Its state lies in parts: each
// has a type of its own, whose methods alone write its fields, and names the parts that it reads
// among its fields. A part reads only those that stand above it here. What concerns several parts
// is a method of Core.
type Core struct {
	cfg Config
	log *slog.Logger
	// debugEnabled spares the cost of log lines for each task that nobody reads.
	debugEnabled bool
	term         uint64

	clock   clock         // the time of the present event
	effects effects       // of the present step
	writes  durableWrites // to the ledger

	types         machineTypes      // of the cloud
	classes       classTable        // of jobs
	estimates     runEstimates      // of run times, learned
	teams         quota.Teams       // and their quotas
	machines      machineTable      // all machines
	jobs          jobTable          // all jobs, their dependencies and their records
	cancellations cancellationWatch // of the tasks of cancelled jobs

	commands      commands          // to agents, and the responses to their heartbeats
	agents        agents            // whether they can be reached
	attempts      attempts          // their numbers
	placement     placement         // which task runs where, and when
	cloudReads    cloudReads        // of machine types and machines
	pools         capacityPools     // of the cloud, and their back-off
	demand        learnedDemand     // from recent jobs
	scaleOuts     scaleOutRequests  // machines being rented
	scaleIns      scaleInRequests   // machines being returned
	planner       capacityPlanner   // of capacity
	spending      spending          // what the machines cost
	inherited     inheritedState    // soft state of an earlier leader
	softState     softState         // passed on to standbys
	neighbours    neighbourTable    // other cells, and the exchanges with them
	transferSteps transferSteps     // counts of what happens to forwarded jobs
	delegations   delegations       // jobs that other cells run
	offers        capacityOffers    // of room to other cells
	foreign       foreignJobs       // of other cells
	disruptions   disruptionMonitor // of jobs
	replacements  replacements      // of machines that are drained
	planViews     planViews         // of the present state, for plans
	plans         drainPlans        // that drain machines
}

// NewCore starts a term from what the ledger holds. now is the controller's monotonic
// time, wall the time of day in ms.
func NewCore(cfg Config, s ledger.Snapshot, now time.Duration, wall int64, log *slog.Logger) *Core {
	c := &Core{cfg: cfg, log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug), term: cfg.Term}
	c.clock = newClock(now, wall)
	c.writes = newDurableWrites(c)
	c.types = newMachineTypes()
	c.teams = quota.NewTeams(cfg.Platform.Facts.Teams)
	c.machines = newMachineTable()
	c.jobs = newJobTable(c)
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

// Step takes one event. Its effects follow together with those of other events that came with it,
// when the caller ends the step.
func (c *Core) Step(event Event, now time.Duration, wallMS int64) {
	c.clock.set(now, wallMS)
	switch e := event.(type) {
	// Users and their jobs.
	case JobRecordEvent:
		c.handleJobRecord(e)
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

	// Operators with plans that drain machines, and standbys.
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

// NeedsPlacement tells whether tasks are to be placed at the end of the step.
func (c *Core) NeedsPlacement() bool { return c.placement.needed }

// Flush ends one or more steps: it places what can be placed and returns all effects. Under load
// many events share one placement.
func (c *Core) Flush() []Effect {
	if c.placement.needed {
		c.placement.placeQueuedTasks(c.delegations.uncertainUse())
	}
	c.finishStep()
	return c.effects.take()
}

// InitialEffects returns the effects of NewCore.
func (c *Core) InitialEffects() []Effect {
	return c.effects.take()
}

// tick does what follows from the passing of time alone.
func (c *Core) tick() {
	c.clock.tick()
	c.spending.accrue()
	for _, m := range c.machines.live {
		c.expireLease(m)
		if m.indexed.schedulable != c.agents.schedulable(m) {
			// Its agent has become unreachable, or it is no longer avoided.
			c.placement.markIndexStale(m)
			c.placement.markNeeded()
		}
	}
	c.placement.endBackoffs()
	c.jobs.removeCleanedUp()
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

// UnresolvedHosts is how many machines may still run what an earlier leader started there.
func (c *Core) UnresolvedHosts() int { return c.machines.unresolvedHosts() }

// MachineCount is how many machines this term knows, up or coming.
func (c *Core) MachineCount() int { return c.machines.count() }

// JobCount is how many jobs this term knows.
func (c *Core) JobCount() int { return len(c.jobs.list) }

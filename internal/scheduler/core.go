// Package scheduler decides what the leader does: which machines exist, what runs on them, what
// waits, and which commands follow. Its core is a deterministic step from a state, an event and
// a time to effects, without I/O. Package dispatch carries the effects out.
package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/softstate"
	"leadproxy/internal/wire"
)

// Config is what the core is told at its start.
type Config struct {
	Term     uint64
	Platform *settings.Platform
	Operator settings.Operator
	// ValueBytes is how many bytes a value may have.
	ValueBytes int
	// SoftState is what an earlier leader held in memory; nil: not known.
	SoftState *softstate.View
}

// tokenBits is the room that a token and an attempt leave for the counter
// within one term.
const tokenBits = 24

// Core is the leader's state for one term. Step is its only way in.
type Core struct {
	cfg Config
	log *slog.Logger
	// debug spares the cost of lines for each task that nobody reads.
	debug bool
	term  uint64
	now   time.Duration
	wall  int64 // time of day in ms at now

	termStart         time.Duration
	lastTick          time.Duration   // last tick
	zoneCutAt         []time.Duration // by zone: when it last seemed to be cut off
	tickingSince      time.Duration   // since when ticks have come without a break
	agentLease        time.Duration   // a worker's lease, stretched by drift and margin
	heartbeatInterval time.Duration

	jobs               []*job
	jobIndexByID       map[string]int32
	machines           []*machine
	machineIndexByName map[string]int32
	liveMachines       []*machine // all that are not gone
	zones              names
	images             names
	classes            names
	classObjectives    []classAims // by class
	types              []machineType
	typeIndexByName    map[string]int32
	teams              []team
	teamIndexByName    map[string]int32
	unknownTeam        int32 // for jobs of teams that the settings no longer name

	activeJobs     []*job             // jobs that are not settled
	awaitedJobs    map[string][]int32 // jobs that wait for one that this leader has not seen
	cancelling     map[int32]bool     // jobs whose cancellation is being written
	goal           slowfit.Goal
	lowLoadSince   time.Duration
	index          slowfit.Index
	pools          []poolKey // by the index's numbers
	poolIndexByKey map[poolKey]int32
	staleInIndex   []*machine // to be brought up to date in the index
	unwrittenJobs  []*job     // with something new for the ledger
	expectedAgents int        // machines that should be
	openCores      float64    // of the machines in the index
	coresByClass   []float64  // booked cores, by class
	unreachable    unreachableAgents
	// How many tags of writes are not durable yet, and since when none has
	// become so.
	pendingWrites        int
	lastDurableAt        time.Duration
	heldForUnreachable   []heldAnswer // to machines that are noted as silent
	reservingJobs        []*job       // jobs for which a machine is kept free
	probes               probes
	inspectionsInFlight  int // workers that are being asked what they are
	attempts             uint64
	exhausted            bool         // the term is being given up since attempts are short
	heartbeatsProcessed  uint64       // reports looked at
	openAnswers          []heldAnswer // of this step
	awaitingWrites       []heldAnswer // that wait for starts to be written down
	machinesWithCommands []*machine   // with orders of this step
	commandsInFlight     map[uint64]*commandInFlight
	lastCommandID        uint64
	needsPlacement       bool
	autoscaling          autoscaling
	federation           federationState
	inherited            inheritedSoftState
	evictions            evictionState
	softStateVersion     uint64 // counts the changes of machines that hints tell of

	spendingLog spendingLog
	cancelWatch cancelled

	out []Effect
}

type machineType struct {
	wire.MachineType
	total slowfit.Size
	zones []int32
	boot  time.Duration // learned
}

// price is what a machine of the type costs per hour at present.
func (t *machineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

type commandInFlight struct {
	machine              *machine
	agentEpoch           uint64
	fencingToken         uint64
	startedAttempts      []uint64 // that it starts
	stoppedAttempts      []uint64 // attempts that it stops
	probe                bool
	sent                 time.Duration // of a probe
	addressFromSoftState bool          // a probe to where a hint says that its machine is reached
}

// NewCore starts a term from what the ledger holds. now is the node's steady
// time, wall the time of day in ms.
func NewCore(cfg Config, s ledger.Snapshot, now time.Duration, wall int64, log *slog.Logger) *Core {
	w := cfg.Platform.Facts.Workers
	c := &Core{
		cfg: cfg, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), term: cfg.Term, now: now, wall: wall, termStart: now, lastTick: now, tickingSince: now, spendingLog: spendingLog{until: now, logged: now}, cancelWatch: cancelled{logged: now},
		agentLease:        settings.Stretch(settings.Seconds(w.LeaseS)) + 250*time.Millisecond,
		heartbeatInterval: settings.Seconds(w.ReportS),
		awaitedJobs:       map[string][]int32{}, cancelling: map[int32]bool{},
		jobIndexByID: map[string]int32{}, machineIndexByName: map[string]int32{},
		typeIndexByName: map[string]int32{}, teamIndexByName: map[string]int32{},
		goal:   slowfit.Goal{C: cfg.Operator.SlowFitC},
		probes: probes{atOnce: fewProbes}, commandsInFlight: map[uint64]*commandInFlight{}, poolIndexByKey: map[poolKey]int32{},
	}
	for _, t := range cfg.Platform.Facts.Teams {
		c.teamIndexByName[t.Name] = int32(len(c.teams))
		c.teams = append(c.teams, team{guarantee: limitUnits(t.CPUs, t.GPUs), limit: limitUnits(t.CPUsMax, t.GPUsMax)})
	}
	c.unknownTeam = int32(len(c.teams))
	c.teams = append(c.teams, team{})
	c.autoscaling.begin()
	c.newTransfers()
	c.restoreSoftState(cfg.SoftState)
	c.autoscaling.limitedDemand = make([]autoscaler.DemandEstimator, len(c.teams))
	for _, name := range s.Gone {
		m := c.machineNamed(name)
		m.state, m.goneRecorded = machineGone, true
	}
	for i := range s.Jobs {
		c.restore(&s.Jobs[i])
	}
	c.restoreDependencies()
	for _, h := range s.ScaleOuts {
		c.restoreScaleOut(h)
	}
	c.restoreUnreachable(s.Unreachable)
	c.restoreTransfers(&s)
	c.restoreEvictions(s.Plans)
	c.probeInherited()
	c.flush()
	return c
}

// Step takes one event. What follows from it, and from others that came with
// it, is told by Settle.
func (c *Core) Step(event Event, now time.Duration, wall int64) {
	c.now, c.wall = now, wall
	switch e := event.(type) {
	case JobRecordEvent:
		c.jobRecorded(e)
	case HeartbeatEvent:
		c.heartbeatReceived(e)
	case CommandResult:
		c.commandResult(e)
	case InspectResult:
		c.inspectResult(e)
	case CancelRequest:
		c.cancelRequested(e)
	case StatusRequest:
		c.statusRequested(e)
	case WritesDurable:
		c.pendingWrites, c.lastDurableAt = c.pendingWrites-len(e.Tags), c.now
		for _, tag := range e.Tags {
			c.durable(tag)
		}
	case CloudResult:
		c.cloudResult(e.Result)
	case ValueLimitChanged:
		c.cfg.ValueBytes = e.ValueBytes
	case WritesRejected:
		c.pendingWrites -= len(e.Tags)
		for _, tag := range e.Tags {
			c.rejected(tag)
		}
	case Tick:
		c.tick()
	case SoftStateRequest:
		c.softStateRequested(e)
	case PlanRequest:
		c.planAsked(e)
	case PlanListRequest:
		c.plansListed(e)
	default:
		c.stepTransfers(event)
	}
}

// NeedsPlacement tells whether Settle would place tasks.
func (c *Core) NeedsPlacement() bool { return c.needsPlacement }

// Settle places what can be placed after one or more steps and returns all that
// must be done. Under load many events share one placement.
func (c *Core) Settle() []Effect {
	if c.needsPlacement {
		c.needsPlacement = false
		c.place()
	}
	c.flush()
	out := c.out
	c.out = nil
	return out
}

// InitialEffects returns the effects of NewCore.
func (c *Core) InitialEffects() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(effect Effect) { c.out = append(c.out, effect) }

func (c *Core) put(w ledger.Write) {
	if w.Tag != nil {
		if c.pendingWrites == 0 {
			c.lastDurableAt = c.now
		}
		c.pendingWrites++
	}
	c.emit(WriteLedger{Writes: []ledger.Write{w}})
}

// longestTick is how far apart two ticks can be while we are well.
const longestTick = 2 * time.Second

// tick does what time alone brings.
func (c *Core) tick() {
	if c.now-c.lastTick > longestTick {
		// We were suspended, or starved. Nobody was heard through no fault of
		// theirs.
		c.tickingSince = c.now
	}
	c.lastTick = c.now
	c.spend()
	for _, m := range c.liveMachines {
		c.expireLease(m)
		if m.schedulable != c.accepts(m) {
			// It has fallen silent, or is no longer shunned.
			c.indexChanged(m)
			c.needsPlacement = true
		}
	}
	for _, j := range c.activeJobs {
		if j.notBefore > 0 && c.now >= j.notBefore {
			j.notBefore = 0
			c.needsPlacement = true
		}
	}
	c.dropFinished()
	c.watchCancelled()
	c.recordUnreachable()
	c.dropUnreachable()
	c.dropInherited()
	c.autoscalingTick()
	c.endExhausted()
	c.federationTick()
	c.evictionTick()
	c.lowerGoal()
}

// anyWaiting tells whether some task could be placed if there were room.
func (c *Core) anyWaiting() bool {
	return slices.ContainsFunc(c.activeJobs, func(j *job) bool { return j.placeable(c.now) })
}

// calmFor is how long nothing must have waited before the goal falls.
const calmFor = 5 * time.Second

// lowerGoal lets the goal fall after a burst, since in the paper it never
// does and would stop limiting anything. The mean load of the machines stands
// for the optimum: no placement brings the busiest one below that.
func (c *Core) lowerGoal() {
	if c.anyWaiting() {
		c.lowLoadSince = c.now
		return
	}
	if c.now-c.lowLoadSince < calmFor {
		return
	}
	c.lowLoadSince = c.now
	load, n := 0.0, 0
	for _, m := range c.liveMachines {
		if c.accepts(m) {
			n++
			for _, b := range m.allocations {
				load += b.share
			}
		}
	}
	if n > 0 {
		before := c.goal.L
		c.goal.Fall(load / float64(n))
		if c.goal.L != before {
			c.index.ClearLoads()
			c.log.Debug("goal lowered", "from", before, "to", c.goal.L, "mean_load", load/float64(n))
		}
	}
}

// dropFinished forgets jobs and machines that need no more attention.
func (c *Core) dropFinished() {
	keep := c.activeJobs[:0]
	for _, j := range c.activeJobs {
		if !j.settled {
			keep = append(keep, j)
		}
	}
	clear(c.activeJobs[len(keep):])
	c.activeJobs = keep
	live := c.liveMachines[:0]
	for _, m := range c.liveMachines {
		if m.state != machineGone || m.goneRecorded && m.namedByJobs > 0 {
			live = append(live, m)
		} else if m.goneRecorded {
			m.goneRecorded = false
			c.put(ledger.Write{Key: ledger.GoneKey(m.name)})
		}
	}
	clear(c.liveMachines[len(live):])
	c.liveMachines = live
}

// Package dispatch decides what the leader does: which machines there are, what runs on
// them, what waits, and which orders follow. Its core is a deterministic step
// from a state, an event and a time to effects, without I/O; the actor around
// it (dispatcher.go, term.go) carries the effects out.
package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/hints"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// Config is what the core is told at its start.
type Config struct {
	Term     uint64
	Platform *settings.Platform
	Operator settings.Operator
	// ValueBytes is how many bytes a value may have.
	ValueBytes int
	// Hints is what an earlier leader held in memory; nil: not known.
	Hints *hints.View
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

	began     time.Duration
	ticked    time.Duration   // last tick
	cutAt     []time.Duration // by zone: when it last seemed to be cut off
	awake     time.Duration   // since when ticks have come without a break
	leaseTime time.Duration   // a worker's lease, stretched by drift and margin
	report    time.Duration

	jobs      []*job
	jobIndex  map[string]int32
	machines  []*machine
	machineAt map[string]int32
	live      []*machine // all that are not gone
	zones     names
	images    names
	classes   names
	aims      []classAims // by class
	types     []machineType
	typeAt    map[string]int32
	teams     []team
	teamAt    map[string]int32
	spareTeam int32 // for jobs of teams that the settings no longer name

	active    []*job             // jobs that are not settled
	unseen    map[string][]int32 // jobs that wait for one that this leader has not seen
	aborting  map[int32]bool     // jobs whose cancellation is being written
	goal      slowfit.Goal
	calmSince time.Duration
	index     slowfit.Index
	pools     []poolKey // by the index's numbers
	poolAt    map[poolKey]int32
	stale     []*machine // to be brought up to date in the index
	unwritten []*job     // with something new for the ledger
	reporting int        // machines that should be
	openCores float64    // of the machines in the index
	classUse  []float64  // booked cores, by class
	silence   silence
	// How many tags of writes are not durable yet, and since when none has
	// become so.
	wantDurable int
	durableAt   time.Duration
	held        []openAnswer // to machines that are noted as silent
	holders     []*job       // jobs for which a machine is kept free
	probes      probes
	inspects    int // workers that are being asked what they are
	attempts    uint64
	exhausted   bool         // the term is being given up since attempts are short
	looks       uint64       // reports looked at
	answers     []openAnswer // of this step
	awaiting    []openAnswer // that wait for starts to be written down
	outboxes    []*machine   // with orders of this step
	calls       map[uint64]*directCall
	callID      uint64
	dirty       bool
	fleet       fleetState
	transfers   transfers
	hinted      hinted
	drains      drains
	changes     uint64 // counts the changes of machines that hints tell of

	costs     costs
	cancelled cancelled

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

type directCall struct {
	machine  *machine
	session  uint64
	token    uint64
	attempts []uint64 // that it starts
	stops    []uint64 // attempts that it stops
	probe    bool
	sent     time.Duration // of a probe
	hinted   bool          // a probe to where a hint says that its machine is reached
}

// NewCore starts a term from what the ledger holds. now is the node's steady
// time, wall the time of day in ms.
func NewCore(cfg Config, s ledger.Snapshot, now time.Duration, wall int64, log *slog.Logger) *Core {
	w := cfg.Platform.Facts.Workers
	c := &Core{
		cfg: cfg, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), term: cfg.Term, now: now, wall: wall, began: now, ticked: now, awake: now, costs: costs{until: now, logged: now}, cancelled: cancelled{logged: now},
		leaseTime: settings.Stretch(settings.Seconds(w.LeaseS)) + 250*time.Millisecond,
		report:    settings.Seconds(w.ReportS),
		unseen:    map[string][]int32{}, aborting: map[int32]bool{},
		jobIndex: map[string]int32{}, machineAt: map[string]int32{},
		typeAt: map[string]int32{}, teamAt: map[string]int32{},
		goal:   slowfit.Goal{C: cfg.Operator.SlowFitC},
		probes: probes{atOnce: fewProbes}, calls: map[uint64]*directCall{}, poolAt: map[poolKey]int32{},
	}
	for _, t := range cfg.Platform.Facts.Teams {
		c.teamAt[t.Name] = int32(len(c.teams))
		c.teams = append(c.teams, team{guarantee: limitUnits(t.CPUs, t.GPUs), limit: limitUnits(t.CPUsMax, t.GPUsMax)})
	}
	c.spareTeam = int32(len(c.teams))
	c.teams = append(c.teams, team{})
	c.fleet.begin()
	c.newTransfers()
	c.restoreHints(cfg.Hints)
	c.fleet.limited = make([]fleet.Stream, len(c.teams))
	for _, name := range s.Gone {
		m := c.machineNamed(name)
		m.state, m.goneNoted = machineGone, true
	}
	for i := range s.Jobs {
		c.restore(&s.Jobs[i])
	}
	c.restoreLinks()
	for _, h := range s.Hires {
		c.restoreHire(h)
	}
	c.restoreNotes(s.Silent)
	c.restoreTransfers(&s)
	c.restoreDrains(s.Plans)
	c.probeHinted()
	c.flush()
	return c
}

// Step takes one event. What follows from it, and from others that came with
// it, is told by Settle.
func (c *Core) Step(event Event, now time.Duration, wall int64) {
	c.now, c.wall = now, wall
	switch e := event.(type) {
	case JobSeen:
		c.jobSeen(e)
	case ReportIn:
		c.reportIn(e)
	case DirectBack:
		c.directBack(e)
	case InspectBack:
		c.inspectBack(e)
	case CancelAsked:
		c.cancelAsked(e)
	case StatusAsked:
		c.statusAsked(e)
	case NowDurable:
		c.wantDurable, c.durableAt = c.wantDurable-len(e.Tags), c.now
		for _, tag := range e.Tags {
			c.durable(tag)
		}
	case CloudBack:
		c.cloudBack(e.Result)
	case Formats:
		c.cfg.ValueBytes = e.ValueBytes
	case Rejected:
		c.wantDurable -= len(e.Tags)
		for _, tag := range e.Tags {
			c.rejected(tag)
		}
	case Tick:
		c.tick()
	case HintsAsked:
		c.hintsAsked(e)
	case PlanAsked:
		c.planAsked(e)
	case PlansListed:
		c.plansListed(e)
	default:
		c.stepTransfers(event)
	}
}

// Unplaced tells whether Settle would place tasks.
func (c *Core) Unplaced() bool { return c.dirty }

// Settle places what can be placed after one or more steps and returns all that
// must be done. Under load many events share one placement.
func (c *Core) Settle() []Effect {
	if c.dirty {
		c.dirty = false
		c.place()
	}
	c.flush()
	out := c.out
	c.out = nil
	return out
}

// TakeStart returns the effects of NewCore.
func (c *Core) TakeStart() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(effect Effect) { c.out = append(c.out, effect) }

func (c *Core) put(w ledger.Write) {
	if w.Tag != nil {
		if c.wantDurable == 0 {
			c.durableAt = c.now
		}
		c.wantDurable++
	}
	c.emit(Put{Writes: []ledger.Write{w}})
}

// longestTick is how far apart two ticks can be while we are well.
const longestTick = 2 * time.Second

// tick does what time alone brings.
func (c *Core) tick() {
	if c.now-c.ticked > longestTick {
		// We were suspended, or starved. Nobody was heard through no fault of
		// theirs.
		c.awake = c.now
	}
	c.ticked = c.now
	c.spend()
	for _, m := range c.live {
		c.checkMachine(m)
		if m.isOpen != c.open(m) {
			// It has fallen silent, or is no longer shunned.
			c.touch(m)
			c.dirty = true
		}
	}
	for _, j := range c.active {
		if j.notBefore > 0 && c.now >= j.notBefore {
			j.notBefore = 0
			c.dirty = true
		}
	}
	c.sweep()
	c.watchCancelled()
	c.noteSilence()
	c.dropNotes()
	c.dropHints()
	c.fleetTick()
	c.endExhausted()
	c.spillTick()
	c.drainTick()
	c.lowerGoal()
}

// anyWaiting tells whether some task could be placed if there were room.
func (c *Core) anyWaiting() bool {
	return slices.ContainsFunc(c.active, func(j *job) bool { return j.placeable(c.now) })
}

// calmFor is how long nothing must have waited before the goal falls.
const calmFor = 5 * time.Second

// lowerGoal lets the goal fall after a burst, since in the paper it never
// does and would stop limiting anything. The mean load of the machines stands
// for the optimum: no placement brings the busiest one below that.
func (c *Core) lowerGoal() {
	if c.anyWaiting() {
		c.calmSince = c.now
		return
	}
	if c.now-c.calmSince < calmFor {
		return
	}
	c.calmSince = c.now
	load, n := 0.0, 0
	for _, m := range c.live {
		if c.open(m) {
			n++
			for _, b := range m.bookings {
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

// sweep forgets jobs and machines that need no more attention.
func (c *Core) sweep() {
	keep := c.active[:0]
	for _, j := range c.active {
		if !j.settled {
			keep = append(keep, j)
		}
	}
	clear(c.active[len(keep):])
	c.active = keep
	live := c.live[:0]
	for _, m := range c.live {
		if m.state != machineGone || m.goneNoted && m.hostOf > 0 {
			live = append(live, m)
		} else if m.goneNoted {
			m.goneNoted = false
			c.put(ledger.Write{Key: ledger.GoneKey(m.name)})
		}
	}
	clear(c.live[len(live):])
	c.live = live
}

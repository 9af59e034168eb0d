package scheduler

import (
	"cmp"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/rollout"
)

// evictionState holds the plans that drain machines. What they decide is in package rollout;
// here they get the present state, and their actions are carried out.

// evictionInterval is how often plans advance.
const evictionInterval = time.Second

// keptPlans is how many plans that have ended are kept for operators.
const keptPlans = 20

// evictionState are the plans of a term; without an account there are none.
type evictionState struct {
	cfg       *Config
	term      uint64
	clock     *clock
	log       *slog.Logger
	effects   *effects
	writes    *durableWrites
	types     *machineTypes
	estimates *runEstimates
	jobs      *jobTable
	machines  *machineTable
	agents    *agents
	placement *placement
	pools     *capacityPools
	scaleOuts *scaleOutRequests

	disruptions *rollout.DisruptionTracker
	plans       map[string]*plan
	next        time.Duration
	firstPlan   int // which plan advances first
	// rented are the machines of scale-outs for replacements, by request.
	rented map[string][]string
	// logged are the disrupted jobs whose disruption was logged.
	logged map[string]rollout.Disruption
}

func newEvictions(c *Core) evictionState {
	return evictionState{cfg: &c.cfg, term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, estimates: &c.estimates, pools: &c.pools, scaleOuts: &c.scaleOuts,
		jobs: &c.jobs, machines: &c.machines, agents: &c.agents, placement: &c.placement}
}

// plan is one plan under way.
type plan struct {
	rollout *rollout.Controller
	written uint64 // the generation that is being written
	waiting []planWaiter
	tooLong bool // its record does not fit a value
}

// planWaiter waits for a generation of a plan's record to be durable.
type planWaiter struct {
	generation uint64
	to         Recipient
}

// planTag marks the write of a plan's record.
type planTag struct {
	name       string
	generation uint64
}

// IsTag marks it for the ledger.
func (planTag) IsTag() {}

// The errors of commands about plans.
var (
	errEvictionDisabled = errors.New("draining is not enabled in the settings")
	errNoPlan           = errors.New("there is no plan of that name")
	errPlanExists       = errors.New("there is a plan of that name")
)

// restoreEvictions continues the plans of the ledger, after the jobs and machines.
func (v *evictionState) restoreEvictions(records []rollout.Record) {
	if !v.cfg.Operator.Rollouts.Enabled {
		return
	}
	v.disruptions, v.plans = rollout.NewDisruptionTracker(v.cfg.Operator.Rollouts.Budgets), map[string]*plan{}
	for _, r := range records {
		v.plans[r.Spec.Name] = &plan{rollout: rollout.NewController(r, v.disruptions, v.jobs.taskIsDone, v.clock.now, v.clock.wallMS)}
	}
	v.cordon()
}

// accountOf is a job as the account sees it.
func accountOf(j *job) rollout.Job {
	return rollout.Job{ID: j.id, Team: j.spec.Team, Class: j.spec.Class}
}

// displaced charges a task that has lost its place. saved: its progress was saved.
func (v *evictionState) displaced(m *machine, b *allocation, saved bool, why string) {
	j := v.jobs.list[b.job]
	if v.disruptions == nil || j.ended() || j.spec == nil || b.runningSince == 0 && !b.moving {
		return
	}
	cause := rollout.Cause(why)
	switch {
	case b.moving:
		cause = rollout.CauseEviction
	case m.rental.terminationAt > 0:
		cause = "the cloud takes its machine back"
	}
	lost := time.Duration(0)
	if !saved && b.runningSince > 0 {
		lost = v.clock.now - b.runningSince
	}
	v.disruptions.TaskDisrupted(accountOf(j), int(b.task), lost, cause, v.clock.now)
}

// taskRunning notes with the account of disruptions that a task runs.
func (v *evictionState) taskRunning(b *allocation) {
	if v.disruptions != nil {
		v.disruptions.TaskRunning(v.jobs.list[b.job].id, int(b.task), v.clock.now)
	}
}

// evictionTick advances all plans, beginning with another one each time.
func (c *Core) evictionTick() {
	names, due := c.evictions.plansDue()
	if !due {
		return
	}
	for _, name := range names {
		c.advancePlan(name)
	}
	c.evictions.cordon()
	c.evictions.dropOldPlans()
}

// plansDue tells whether the plans are to be advanced now, and in which order.
func (v *evictionState) plansDue() (names []string, due bool) {
	if v.disruptions == nil || v.clock.now < v.next {
		return nil, false
	}
	v.next = v.clock.now + evictionInterval
	v.disruptions.Tick(v.clock.now)
	v.logDisruptions()
	inOrder := v.planNames()
	for i := range inOrder {
		names = append(names, inOrder[(i+v.firstPlan)%len(inOrder)])
	}
	v.firstPlan++
	return names, true
}

// logDisruptions logs the beginning and the end of each job's disruption.
func (v *evictionState) logDisruptions() {
	disrupted := map[string]rollout.Disruption{}
	for _, e := range v.disruptions.Disruptions(v.clock.now) {
		if !e.Ongoing {
			continue
		}
		disrupted[e.Job.ID] = e
		if _, known := v.logged[e.Job.ID]; !known {
			v.log.Info("job is disrupted", "job", e.Job.ID, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause, "seconds", e.Duration.Seconds())
		}
	}
	for id, e := range v.logged {
		if _, open := disrupted[id]; !open {
			v.log.Info("job is whole again", "job", id, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause)
		}
	}
	v.logged = disrupted
}

// planNames lists the plans in the order of their creation.
func (v *evictionState) planNames() []string {
	names := slices.Collect(maps.Keys(v.plans))
	slices.SortFunc(names, func(a, b string) int {
		x, _ := v.plans[a].rollout.Record()
		y, _ := v.plans[b].rollout.Record()
		return cmp.Or(cmp.Compare(x.CreatedMS, y.CreatedMS), cmp.Compare(a, b))
	})
	return names
}

// advancePlan advances one plan: its actions are carried out, or its record is written first.
func (c *Core) advancePlan(name string) {
	p := c.evictions.plans[name]
	before, _ := p.rollout.Record()
	for _, act := range p.rollout.Step(c.evictions.planView(p)) {
		c.carryOutPlan(act)
	}
	c.evictions.savePlan(name, p)
	if after, _ := p.rollout.Record(); after.Phase != before.Phase || after.Paused != before.Paused {
		c.log.Info("draining", "plan", name, "phase", after.Phase, "paused", after.Paused, "step", after.Step, "batch", len(after.Batch), "drained", after.Drained, "why", after.Reason)
	}
}

// savePlan writes a plan's record if it has changed.
func (v *evictionState) savePlan(name string, p *plan) {
	record, generation := p.rollout.Record()
	if generation == p.written || p.tooLong {
		return
	}
	p.written = generation
	v.writes.put(ledger.Write{Key: ledger.PlanKey(name), Value: record, Urgent: true, Tag: planTag{name, generation}})
}

// planDurable notes that a plan's record is durable. Who waits for that gets the reply, and the
// actions that it allows come with the next step.
func (v *evictionState) planDurable(t planTag) {
	p := v.plans[t.name]
	if p == nil {
		return
	}
	p.rollout.MarkDurable(t.generation)
	var still []planWaiter
	for _, w := range p.waiting {
		if w.generation > t.generation {
			still = append(still, w)
			continue
		}
		v.effects.emit(PlanReply{ReplyTo: w.to})
	}
	p.waiting = still
	v.next = 0
}

// dropOldPlans forgets plans that have ended, the oldest ones first.
func (v *evictionState) dropOldPlans() {
	var ended []string
	for _, name := range v.planNames() {
		if r, _ := v.plans[name].rollout.Record(); r.Phase.Ended() && len(r.Evictions) == 0 && v.plans[name].rollout.IsDurable() {
			ended = append(ended, name)
		}
	}
	for _, name := range ended[:max(0, len(ended)-keptPlans)] {
		delete(v.plans, name)
		v.writes.put(ledger.Write{Key: ledger.PlanKey(name)})
	}
}

// planRejected notes that a plan's record does not fit a value: the plan does not advance until
// it is aborted.
func (v *evictionState) planRejected(t planTag) {
	if p := v.plans[t.name]; p != nil {
		p.tooLong = true
		v.log.Error("plan record exceeds the value limit", "plan", t.name)
	}
}

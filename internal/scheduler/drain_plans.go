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

// planStepInterval is how often plans advance.
const planStepInterval = time.Second

// maxEndedPlans is how many plans that have ended are kept for operators.
const maxEndedPlans = 20

// drainPlans are the plans of a term that drain machines; without an account of disruptions there
// are none. It owns the plans and alone writes which machines are cordoned or kept for them. What
// they decide is in package rollout.
type drainPlans struct {
	term        uint64
	clock       *clock
	log         *slog.Logger
	effects     *effects
	writes      *durableWrites
	jobs        *jobTable
	machines    *machineTable
	placement   *placement
	disruptions *disruptionMonitor
	views       *planViews

	byName   map[string]*plan
	nextStep time.Duration
	rotation int // which plan advances first
}

func newDrainPlans(c *Core) drainPlans {
	return drainPlans{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes, jobs: &c.jobs,
		machines: &c.machines, placement: &c.placement, disruptions: &c.disruptions, views: &c.planViews}
}

// plan is one plan under way.
type plan struct {
	rollout           *rollout.Controller
	writtenGeneration uint64 // the generation that is being written
	waiters           []planWaiter
	recordTooLong     bool // its record does not fit a value
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
	errDrainingDisabled = errors.New("draining is not enabled in the settings")
	errNoPlan           = errors.New("there is no plan of that name")
	errPlanExists       = errors.New("there is a plan of that name")
)

// restore continues the plans of the ledger, after the jobs and machines.
func (d *drainPlans) restore(records []rollout.Record) {
	d.disruptions.enable()
	if !d.disruptions.enabled() {
		return
	}
	d.byName = map[string]*plan{}
	for _, r := range records {
		d.byName[r.Spec.Name] = &plan{rollout: rollout.NewController(r, d.disruptions.tracker, d.jobs.taskIsDone, d.clock.now, d.clock.wallMS)}
	}
	d.updateCordons()
}

// takeDue tells whether the plans are to be advanced now, and in which order.
func (d *drainPlans) takeDue() (names []string, due bool) {
	if !d.disruptions.enabled() || d.clock.now < d.nextStep {
		return nil, false
	}
	d.nextStep = d.clock.now + planStepInterval
	d.disruptions.update()
	inOrder := d.names()
	for i := range inOrder {
		names = append(names, inOrder[(i+d.rotation)%len(inOrder)])
	}
	d.rotation++
	return names, true
}

// names lists the plans in the order of their creation.
func (d *drainPlans) names() []string {
	names := slices.Collect(maps.Keys(d.byName))
	slices.SortFunc(names, func(a, b string) int {
		x, _ := d.byName[a].rollout.Record()
		y, _ := d.byName[b].rollout.Record()
		return cmp.Or(cmp.Compare(x.CreatedMS, y.CreatedMS), cmp.Compare(a, b))
	})
	return names
}

// save writes a plan's record if it has changed.
func (d *drainPlans) save(name string, p *plan) {
	record, generation := p.rollout.Record()
	if generation == p.writtenGeneration || p.recordTooLong {
		return
	}
	p.writtenGeneration = generation
	d.writes.put(ledger.Write{Key: ledger.PlanKey(name), Value: record, Urgent: true, Tag: planTag{name, generation}})
}

// recordDurable notes that a plan's record is durable. Who waits for that gets the reply, and the
// actions that it allows come with the next step.
func (d *drainPlans) recordDurable(t planTag) {
	p := d.byName[t.name]
	if p == nil {
		return
	}
	p.rollout.MarkDurable(t.generation)
	var still []planWaiter
	for _, w := range p.waiters {
		if w.generation > t.generation {
			still = append(still, w)
			continue
		}
		d.effects.emit(PlanReply{ReplyTo: w.to})
	}
	p.waiters = still
	d.nextStep = 0
}

// deleteOldPlans forgets plans that have ended, the oldest ones first.
func (d *drainPlans) deleteOldPlans() {
	var ended []string
	for _, name := range d.names() {
		if r, _ := d.byName[name].rollout.Record(); r.Phase.Ended() && len(r.Evictions) == 0 && d.byName[name].rollout.IsDurable() {
			ended = append(ended, name)
		}
	}
	for _, name := range ended[:max(0, len(ended)-maxEndedPlans)] {
		delete(d.byName, name)
		d.writes.put(ledger.Write{Key: ledger.PlanKey(name)})
	}
}

// recordRejected notes that a plan's record does not fit a value: the plan does not advance until
// it is aborted.
func (d *drainPlans) recordRejected(t planTag) {
	if p := d.byName[t.name]; p != nil {
		p.recordTooLong = true
		d.log.Error("plan record exceeds the value limit", "plan", t.name)
	}
}

// updateCordons has nothing start on the machines that plans empty, and keeps those that they have
// rented.
func (d *drainPlans) updateCordons() {
	for _, m := range d.machines.live {
		cordoned, kept := false, false
		for _, p := range d.byName {
			cordoned = cordoned || p.rollout.IsCordoned(m.name)
			kept = kept || p.rollout.IsReplacement(m.name)
		}
		m.eviction.rentedForPlan = kept
		if m.eviction.cordoned != cordoned {
			m.eviction.cordoned = cordoned
			d.placement.markIndexStale(m)
			d.placement.markNeeded()
		}
	}
}

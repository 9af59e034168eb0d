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

// planStepInterval is the interval between steps of the plans.
const planStepInterval = time.Second

// maxEndedPlans is how many ended plans are kept for operators to inspect.
const maxEndedPlans = 20

// drainPlans holds the plans that drain machines. There are none unless the settings enable
// draining. It owns the plans, and only it sets which machines are cordoned or rented for them.
// Package rollout decides what the plans do.
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
	rotation int // offset of the plan that is stepped first, so that each plan gets its turn
}

func newDrainPlans(c *Core) drainPlans {
	return drainPlans{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes, jobs: &c.jobs,
		machines: &c.machines, placement: &c.placement, disruptions: &c.disruptions, views: &c.planViews}
}

// plan is a plan and the state of writing its record.
type plan struct {
	rollout           *rollout.Controller
	writtenGeneration uint64 // the latest generation of the record that was submitted for writing
	waiters           []planWaiter
	recordTooLong     bool // the record exceeds the value limit of the store
}

// planWaiter is an operator who waits until a generation of a plan's record is durable.
type planWaiter struct {
	generation uint64
	to         Recipient
}

// planTag identifies the write of a plan's record.
type planTag struct {
	name       string
	generation uint64
}

// IsTag implements ledger.Tag.
func (planTag) IsTag() {}

// The errors of commands about plans.
var (
	errDrainingDisabled = errors.New("draining is not enabled in the settings")
	errNoPlan           = errors.New("there is no plan of that name")
	errPlanExists       = errors.New("there is a plan of that name")
)

// restore restores the plans from the ledger. The jobs and machines must have been restored
// before.
func (d *drainPlans) restore(records []rollout.Record) {
	d.disruptions.enable()
	if !d.disruptions.enabled() {
		return
	}
	d.byName = map[string]*plan{}
	for _, record := range records {
		d.byName[record.Spec.Name] = &plan{rollout: rollout.NewController(record, d.disruptions.tracker, d.jobs.taskIsDone, d.clock.now, d.clock.wallMS)}
	}
	d.updateCordons()
}

// takeDue returns the names of the plans in the order in which to step them, and whether a step is
// due. If so, it schedules the next step and rotates the order.
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

// names returns the names of the plans in the order of their creation.
func (d *drainPlans) names() []string {
	names := slices.Collect(maps.Keys(d.byName))
	slices.SortFunc(names, func(a, b string) int {
		recordA, _ := d.byName[a].rollout.Record()
		recordB, _ := d.byName[b].rollout.Record()
		return cmp.Or(cmp.Compare(recordA.CreatedMS, recordB.CreatedMS), cmp.Compare(a, b))
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

// recordDurable handles that a plan's record has become durable. It answers the operators who wait
// for that, and has the plans stepped soon, since the plan may now act on the record.
func (d *drainPlans) recordDurable(tag planTag) {
	p := d.byName[tag.name]
	if p == nil {
		return
	}
	p.rollout.MarkDurable(tag.generation)
	var remaining []planWaiter
	for _, waiter := range p.waiters {
		if waiter.generation > tag.generation {
			remaining = append(remaining, waiter)
			continue
		}
		d.effects.emit(PlanReply{ReplyTo: waiter.to})
	}
	p.waiters = remaining
	d.nextStep = 0
}

// deleteOldPlans deletes the oldest of the plans that have ended, except for the latest
// maxEndedPlans. A plan whose evictions still count is kept.
func (d *drainPlans) deleteOldPlans() {
	var ended []string
	for _, name := range d.names() {
		if record, _ := d.byName[name].rollout.Record(); record.Phase.Ended() && len(record.Evictions) == 0 && d.byName[name].rollout.IsDurable() {
			ended = append(ended, name)
		}
	}
	for _, name := range ended[:max(0, len(ended)-maxEndedPlans)] {
		delete(d.byName, name)
		d.writes.put(ledger.Write{Key: ledger.PlanKey(name)})
	}
}

// recordRejected handles that a plan's record exceeds the value limit of the store. The plan does
// not advance until an operator aborts it: every command writes the record again, and abort makes
// it shorter.
func (d *drainPlans) recordRejected(tag planTag) {
	if p := d.byName[tag.name]; p != nil {
		p.recordTooLong = true
		d.log.Error("plan record exceeds the value limit", "plan", tag.name)
	}
}

// updateCordons cordons the machines that plans drain, so that nothing starts there, and marks the
// replacements that must not be returned while they are idle.
func (d *drainPlans) updateCordons() {
	for _, m := range d.machines.live {
		cordoned, isReplacement := false, false
		for _, p := range d.byName {
			cordoned = cordoned || p.rollout.IsCordoned(m.name)
			isReplacement = isReplacement || p.rollout.IsReplacement(m.name)
		}
		m.eviction.rentedForPlan = isReplacement
		if m.eviction.cordoned != cordoned {
			m.eviction.cordoned = cordoned
			d.placement.markIndexStale(m)
			d.placement.markNeeded()
		}
	}
}

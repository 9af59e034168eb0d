package scheduler

import (
	"fmt"

	"leadproxy/internal/rollout"
)

// PlanStatus is a plan as operators see it.
type PlanStatus struct {
	Record      rollout.Record
	WaitReasons []string
}

// handleRequest creates or steers a plan. The reply follows when its record is durable.
func (d *drainPlans) handleRequest(e PlanRequest) {
	var err error
	name := e.Name
	switch {
	case !d.disruptions.enabled():
		err = errDrainingDisabled
	case e.Spec != nil:
		name = e.Spec.Name
		err = d.create(*e.Spec)
	case d.byName[name] == nil:
		err = fmt.Errorf("%w: %q", errNoPlan, name)
	default:
		err = d.byName[name].rollout.Apply(e.Command, e.Argument, d.clock.wallMS)
	}
	if err != nil {
		d.effects.emit(PlanReply{ReplyTo: e.ReplyTo, Err: err})
		return
	}
	p := d.byName[name]
	p.recordTooLong = false
	d.save(name, p)
	if p.rollout.IsDurable() {
		d.effects.emit(PlanReply{ReplyTo: e.ReplyTo})
		return
	}
	p.waiters = append(p.waiters, planWaiter{p.writtenGeneration, e.ReplyTo})
}

// create begins a plan whose machines no other plan has.
func (d *drainPlans) create(spec rollout.Spec) error {
	if d.byName[spec.Name] != nil {
		return fmt.Errorf("%w: %q", errPlanExists, spec.Name)
	}
	record := rollout.Record{Version: rollout.RecordVersion, Spec: spec, CreatedMS: d.clock.wallMS, Phase: rollout.PhaseSelecting, PhaseMS: d.clock.wallMS}
	selected, names := 0, d.names()
	for _, m := range d.machines.live {
		if !d.views.selects(&record, m) {
			continue
		}
		selected++
		for _, name := range names {
			if r, _ := d.byName[name].rollout.Record(); !r.Phase.Ended() && d.views.selects(&r, m) {
				return fmt.Errorf("%w: machine %s is in plan %q already", rollout.ErrInvalidPlan, m.name, name)
			}
		}
	}
	if selected == 0 {
		return fmt.Errorf("%w: no machine is selected", rollout.ErrInvalidPlan)
	}
	p := &plan{rollout: rollout.NewController(record, d.disruptions.tracker, d.jobs.taskIsDone, d.clock.now, d.clock.wallMS)}
	p.rollout.Start()
	d.byName[spec.Name] = p
	d.log.Info("draining", "plan", spec.Name, "phase", record.Phase, "machines", selected)
	return nil
}

// handleListRequest lists the plans and the jobs that count as disrupted.
func (d *drainPlans) handleListRequest(e PlanListRequest) {
	list := PlanListReply{ReplyTo: e.ReplyTo, Term: d.term}
	if d.disruptions.enabled() {
		for _, name := range d.names() {
			p := d.byName[name]
			r, _ := p.rollout.Record()
			waits := p.rollout.WaitReasons()
			if p.recordTooLong {
				waits = []string{"its record takes more than the state service lets a value hold"}
			}
			list.Plans = append(list.Plans, PlanStatus{r, waits})
		}
		list.Disrupted = d.disruptions.tracker.Disruptions(d.clock.now)
	}
	d.effects.emit(list)
}

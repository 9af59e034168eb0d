package scheduler

import (
	"fmt"

	"leadproxy/internal/rollout"
)

// PlanStatus is the state of a plan, for operators.
type PlanStatus struct {
	Record      rollout.Record
	WaitReasons []string
}

// handleRequest creates a plan or applies a command to one. It replies once the plan's record is
// durable, and at once on failure.
func (d *drainPlans) handleRequest(request PlanRequest) {
	var err error
	name := request.Name
	switch {
	case !d.disruptions.enabled():
		err = errDrainingDisabled
	case request.Spec != nil:
		name = request.Spec.Name
		err = d.create(*request.Spec)
	case d.byName[name] == nil:
		err = fmt.Errorf("%w: %q", errNoPlan, name)
	default:
		err = d.byName[name].rollout.Apply(request.Command, request.Argument, d.clock.wallMS)
	}
	if err != nil {
		d.effects.emit(PlanReply{ReplyTo: request.ReplyTo, Err: err})
		return
	}
	p := d.byName[name]
	p.recordTooLong = false
	d.save(name, p)
	if p.rollout.IsDurable() {
		d.effects.emit(PlanReply{ReplyTo: request.ReplyTo})
		return
	}
	p.waiters = append(p.waiters, planWaiter{p.writtenGeneration, request.ReplyTo})
}

// create starts a new plan. It fails if the name exists, if no machine is selected, or if another
// plan that has not ended selects one of the machines.
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
			if otherRecord, _ := d.byName[name].rollout.Record(); !otherRecord.Phase.Ended() && d.views.selects(&otherRecord, m) {
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

// handleListRequest lists the plans and the disrupted jobs.
func (d *drainPlans) handleListRequest(request PlanListRequest) {
	reply := PlanListReply{ReplyTo: request.ReplyTo, Term: d.term}
	if d.disruptions.enabled() {
		for _, name := range d.names() {
			p := d.byName[name]
			record, _ := p.rollout.Record()
			waitReasons := p.rollout.WaitReasons()
			if p.recordTooLong {
				waitReasons = []string{"its record takes more than the state service lets a value hold"}
			}
			reply.Plans = append(reply.Plans, PlanStatus{record, waitReasons})
		}
		reply.Disrupted = d.disruptions.tracker.Disruptions(d.clock.now)
	}
	d.effects.emit(reply)
}

package scheduler

import (
	"fmt"

	"leadproxy/internal/rollout"
)

// PlanStatus is a plan as operators see it.
type PlanStatus struct {
	Record rollout.Record
	Waits  []string
}

// planRequested creates or steers a plan. The reply follows when its record is durable.
func (v *evictionState) planRequested(e PlanRequest) {
	var err error
	name := e.Name
	switch {
	case v.disruptions == nil:
		err = errEvictionDisabled
	case e.Spec != nil:
		name = e.Spec.Name
		err = v.createPlan(*e.Spec)
	case v.plans[name] == nil:
		err = fmt.Errorf("%w: %q", errNoPlan, name)
	default:
		err = v.plans[name].rollout.Apply(e.Command, e.Argument, v.clock.wallMS)
	}
	if err != nil {
		v.effects.emit(PlanReply{ReplyTo: e.ReplyTo, Err: err})
		return
	}
	p := v.plans[name]
	p.tooLong = false
	v.savePlan(name, p)
	if p.rollout.IsDurable() {
		v.effects.emit(PlanReply{ReplyTo: e.ReplyTo})
		return
	}
	p.waiting = append(p.waiting, planWaiter{p.written, e.ReplyTo})
}

// createPlan begins a plan whose machines no other plan has.
func (v *evictionState) createPlan(spec rollout.Spec) error {
	if v.plans[spec.Name] != nil {
		return fmt.Errorf("%w: %q", errPlanExists, spec.Name)
	}
	record := rollout.Record{Version: rollout.RecordVersion, Spec: spec, CreatedMS: v.clock.wallMS, Phase: rollout.PhaseSelecting, PhaseMS: v.clock.wallMS}
	selected, names := 0, v.planNames()
	for _, m := range v.machines.live {
		if !v.selects(&record, m) {
			continue
		}
		selected++
		for _, name := range names {
			if r, _ := v.plans[name].rollout.Record(); !r.Phase.Ended() && v.selects(&r, m) {
				return fmt.Errorf("%w: machine %s is in plan %q already", rollout.ErrInvalidPlan, m.name, name)
			}
		}
	}
	if selected == 0 {
		return fmt.Errorf("%w: no machine is selected", rollout.ErrInvalidPlan)
	}
	p := &plan{rollout: rollout.NewController(record, v.disruptions, v.jobs.taskIsDone, v.clock.now, v.clock.wallMS)}
	p.rollout.Start()
	v.plans[spec.Name] = p
	v.log.Info("draining", "plan", spec.Name, "phase", record.Phase, "machines", selected)
	return nil
}

// planListRequested lists the plans and the jobs that count as disrupted.
func (v *evictionState) planListRequested(e PlanListRequest) {
	list := PlanListReply{ReplyTo: e.ReplyTo, Term: v.term}
	if v.disruptions != nil {
		for _, name := range v.planNames() {
			p := v.plans[name]
			r, _ := p.rollout.Record()
			waits := p.rollout.WaitReasons()
			if p.tooLong {
				waits = []string{"its record takes more than the state service lets a value hold"}
			}
			list.Plans = append(list.Plans, PlanStatus{r, waits})
		}
		list.Disrupted = v.disruptions.Disruptions(v.clock.now)
	}
	v.effects.emit(list)
}

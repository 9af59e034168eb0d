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

// planAsked creates or steers a plan. The answer comes when its record is durable.
func (c *Core) planAsked(e PlanRequest) {
	var err error
	name := e.Name
	switch {
	case c.evictions.disruptions == nil:
		err = errEvictionDisabled
	case e.Spec != nil:
		name = e.Spec.Name
		err = c.createPlan(*e.Spec)
	case c.evictions.plans[name] == nil:
		err = fmt.Errorf("%w: %q", errNoPlan, name)
	default:
		err = c.evictions.plans[name].rollout.Steer(e.Command, e.Argument, c.clock.wallMS)
	}
	if err != nil {
		c.effects.emit(PlanReply{ReplyTo: e.ReplyTo, Err: err})
		return
	}
	p := c.evictions.plans[name]
	p.tooLong = false
	c.savePlan(name, p)
	if p.rollout.Durable() {
		c.effects.emit(PlanReply{ReplyTo: e.ReplyTo})
		return
	}
	p.waiting = append(p.waiting, planWaiter{p.written, e.ReplyTo})
}

// createPlan begins a plan whose machines no other plan has.
func (c *Core) createPlan(spec rollout.Spec) error {
	if c.evictions.plans[spec.Name] != nil {
		return fmt.Errorf("%w: %q", errPlanExists, spec.Name)
	}
	record := rollout.Record{Version: rollout.RecordVersion, Spec: spec, CreatedMS: c.clock.wallMS, Phase: rollout.Choosing, PhaseMS: c.clock.wallMS}
	selected, names := 0, c.planNames()
	for _, m := range c.machines.live {
		if !c.selects(&record, m) {
			continue
		}
		selected++
		for _, name := range names {
			if r, _ := c.evictions.plans[name].rollout.Record(); !r.Phase.Over() && c.selects(&r, m) {
				return fmt.Errorf("%w: machine %s is in plan %q already", rollout.ErrPlan, m.name, name)
			}
		}
	}
	if selected == 0 {
		return fmt.Errorf("%w: no machine is selected", rollout.ErrPlan)
	}
	p := &plan{rollout: rollout.NewRollout(record, c.evictions.disruptions, c.taskIsDone, c.clock.now, c.clock.wallMS)}
	p.rollout.Begin()
	c.evictions.plans[spec.Name] = p
	c.log.Info("draining", "plan", spec.Name, "phase", record.Phase, "machines", selected)
	return nil
}

// plansListed lists the plans and what counts as disrupted.
func (c *Core) plansListed(e PlanListRequest) {
	list := PlanListReply{ReplyTo: e.ReplyTo, Term: c.term}
	if c.evictions.disruptions != nil {
		for _, name := range c.planNames() {
			p := c.evictions.plans[name]
			r, _ := p.rollout.Record()
			waits := p.rollout.Waits()
			if p.tooLong {
				waits = []string{"its record takes more than the state service lets a value hold"}
			}
			list.Plans = append(list.Plans, PlanStatus{r, waits})
		}
		list.Disrupted = c.evictions.disruptions.Entries(c.clock.now)
	}
	c.effects.emit(list)
}

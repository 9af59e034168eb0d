package scheduler

import (
	"fmt"

	"leadproxy/internal/drain"
)

// PlanStatus is a plan as operators see it.
type PlanStatus struct {
	Record drain.Record
	Waits  []string
}

// planAsked creates or steers a plan. The answer comes when its record is durable.
func (c *Core) planAsked(e PlanAsked) {
	var err error
	name := e.Name
	switch {
	case c.drains.account == nil:
		err = errNoDrains
	case e.Spec != nil:
		name = e.Spec.Name
		err = c.createPlan(*e.Spec)
	case c.drains.plans[name] == nil:
		err = fmt.Errorf("%w: %q", errNoPlan, name)
	default:
		err = c.drains.plans[name].rollout.Steer(e.Command, e.Argument, c.wall)
	}
	if err != nil {
		c.emit(PlanAnswer{To: e.To, Err: err})
		return
	}
	p := c.drains.plans[name]
	p.tooLong = false
	c.savePlan(name, p)
	if p.rollout.Durable() {
		c.emit(PlanAnswer{To: e.To})
		return
	}
	p.waiting = append(p.waiting, planWaiter{p.written, e.To})
}

// createPlan begins a plan whose machines no other plan has.
func (c *Core) createPlan(spec drain.Spec) error {
	if c.drains.plans[spec.Name] != nil {
		return fmt.Errorf("%w: %q", errPlanExists, spec.Name)
	}
	record := drain.Record{Version: drain.RecordVersion, Spec: spec, CreatedMS: c.wall, Phase: drain.Choosing, PhaseMS: c.wall}
	selected, names := 0, c.planNames()
	for _, m := range c.live {
		if !c.selects(&record, m) {
			continue
		}
		selected++
		for _, name := range names {
			if r, _ := c.drains.plans[name].rollout.Record(); !r.Phase.Over() && c.selects(&r, m) {
				return fmt.Errorf("%w: machine %s is in plan %q already", drain.ErrPlan, m.name, name)
			}
		}
	}
	if selected == 0 {
		return fmt.Errorf("%w: no machine is selected", drain.ErrPlan)
	}
	p := &plan{rollout: drain.NewRollout(record, c.drains.account, c.taskIsDone, c.now, c.wall)}
	p.rollout.Begin()
	c.drains.plans[spec.Name] = p
	c.log.Info("draining", "plan", spec.Name, "phase", record.Phase, "machines", selected)
	return nil
}

// plansListed lists the plans and what counts as disrupted.
func (c *Core) plansListed(e PlansListed) {
	list := PlanList{To: e.To, Term: c.term}
	if c.drains.account != nil {
		for _, name := range c.planNames() {
			p := c.drains.plans[name]
			r, _ := p.rollout.Record()
			waits := p.rollout.Waits()
			if p.tooLong {
				waits = []string{"its record takes more than the state service lets a value hold"}
			}
			list.Plans = append(list.Plans, PlanStatus{r, waits})
		}
		list.Disrupted = c.drains.account.Entries(c.now)
	}
	c.emit(list)
}

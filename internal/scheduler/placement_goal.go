package scheduler

import "time"

// goalLowerDelay is how long nothing must have waited before the goal falls.
const goalLowerDelay = 5 * time.Second

// lowerGoal lets the goal fall after a burst, since in the paper it never does and would stop
// limiting anything. The mean load of the machines stands for the optimum: no placement brings
// the busiest one below that.
func (p *placement) lowerGoal() {
	if p.jobs.anyWaiting() {
		p.queueEmptySince = p.clock.now
		return
	}
	if p.clock.now-p.queueEmptySince < goalLowerDelay {
		return
	}
	p.queueEmptySince = p.clock.now
	load, n := 0.0, 0
	for _, m := range p.machines.live {
		if p.agents.schedulable(m) {
			n++
			for _, b := range m.capacity.allocations {
				load += b.share
			}
		}
	}
	if n > 0 {
		before := p.goal.L
		p.goal.Lower(load / float64(n))
		if p.goal.L != before {
			p.index.ResetLoads()
			p.log.Debug("placement goal lowered", "from", before, "to", p.goal.L, "mean_load", load/float64(n))
		}
	}
}

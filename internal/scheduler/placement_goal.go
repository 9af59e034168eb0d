package scheduler

import "time"

// goalLowerDelay is how long no task must have waited before the SLOW-FIT goal is lowered.
const goalLowerDelay = 5 * time.Second

// lowerGoal lowers the SLOW-FIT goal after a burst. In the paper the goal never falls, and after a
// burst it would no longer limit anything. The mean load of the machines is used as a lower bound of
// the optimum: under no placement is the load of the busiest machine lower than that.
func (p *placement) lowerGoal() {
	if p.jobs.anyWaiting() {
		p.queueEmptySince = p.clock.now
		return
	}
	if p.clock.now-p.queueEmptySince < goalLowerDelay {
		return
	}
	p.queueEmptySince = p.clock.now
	totalLoad, schedulable := 0.0, 0
	for _, m := range p.machines.live {
		if p.agents.schedulable(m) {
			schedulable++
			for _, alloc := range m.capacity.allocations {
				totalLoad += alloc.share
			}
		}
	}
	if schedulable > 0 {
		previous := p.goal.L
		p.goal.Lower(totalLoad / float64(schedulable))
		if p.goal.L != previous {
			p.index.ResetLoads()
			p.log.Debug("placement goal lowered", "from", previous, "to", p.goal.L, "mean_load", totalLoad/float64(schedulable))
		}
	}
}

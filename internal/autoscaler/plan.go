package autoscaler

import (
	"fmt"
	"math"
	"time"

	"leadproxy/internal/slowfit"
)

// CapacityPool is one way to hire: a type, in a zone, spot or ordinary. Types and
// zones are the caller's indices.
type CapacityPool struct {
	Type, Zone int32
	Spot       bool
}

// PricedPool is an offer at its present price per hour.
type PricedPool struct {
	CapacityPool
	Price float64
	// MaxCount is how many may be asked for at once; 0: one call's worth.
	MaxCount int
}

func (p *PricedPool) most() int {
	if p.MaxCount == 0 {
		return MaxScaleOut
	}
	return p.MaxCount
}

// MachineType is a machine type as planning sees it.
type MachineType struct {
	Total slowfit.Size
	Boot  time.Duration
}

// PendingMachine is a machine that is hired but not yet up.
type PendingMachine struct {
	CapacityPool
	Free slowfit.Size
}

// RunningMachine is a machine that is up.
type RunningMachine struct {
	CapacityPool
	// BusyCoreSeconds is the core-seconds that are left of what runs there.
	BusyCoreSeconds float64
}

// TaskGroup is a number of equal tasks that no present machine has room for.
type TaskGroup struct {
	Size   slowfit.Size
	Count  int
	Run    time.Duration
	Slack  time.Duration // how long it may wait and still end in time
	Allows func(CapacityPool) bool
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Types       []MachineType
	Pools       []PricedPool
	Running     []RunningMachine
	Pending     []PendingMachine
	Queued      []TaskGroup // in the order of the queue
	Cores       float64     // of all machines that are up or coming
	Machines    int
	MaxMachines int     // 0: no bound
	Headroom    float64 // cores worth keeping, with spot machines
	// Sizes are what the headroom should hold, the most wanted first. A later
	// one counts only when no offer suits those before.
	Sizes []slowfit.Size
}

// PlannedScaleOut is a decision to hire.
type PlannedScaleOut struct {
	Pool   CapacityPool
	Count  int
	Reason string
}

// Plan decides what to hire: for each waiting group the offer with the least
// price per task, as far as machines that are coming don't serve it; then the
// cheapest cores up to the learned demand.
func Plan(s PlanInput) []PlannedScaleOut {
	p := planner{PlanInput: &s, hires: map[CapacityPool]*PlannedScaleOut{}, asked: map[CapacityPool]int{}, budget: math.MaxInt32}
	if s.MaxMachines > 0 {
		p.budget = max(0, s.MaxMachines-s.Machines)
	}
	for _, g := range s.Queued {
		p.serve(g)
	}
	p.keepHeadroom()
	out := make([]PlannedScaleOut, 0, len(p.order))
	for _, o := range p.order {
		out = append(out, *p.hires[o])
	}
	return out
}

// planner is a plan in the making.
type planner struct {
	*PlanInput
	hires  map[CapacityPool]*PlannedScaleOut
	order  []CapacityPool // of the hires
	asked  map[CapacityPool]int
	budget int     // machines that there may be besides
	ahead  float64 // core-seconds of the groups so far
}

// add hires for machines of an offer.
func (p *planner) add(o CapacityPool, n int, why string) {
	p.asked[o] += n
	if p.hires[o] == nil {
		p.hires[o] = &PlannedScaleOut{Pool: o, Reason: why}
		p.order = append(p.order, o)
	}
	p.hires[o].Count += n
	p.budget -= n
	p.Cores += float64(n) * p.Types[o.Type].Total.CPUs
}

// serve sees to it that a group has machines.
func (p *planner) serve(g TaskGroup) {
	p.ahead += float64(g.Count) * g.Size.CPUs * g.Run.Seconds()
	left := p.useComing(g)
	for left > 0 {
		o, n, serves := p.hireFor(g, left, p.ahead, p.asked)
		n = min(n, p.budget)
		if n <= 0 {
			return
		}
		p.add(o, n, fmt.Sprintf("%d tasks wait", g.Count))
		p.expect(o, n, g.Size, left)
		left -= max(serves, 1)
	}
}

// useComing gives a group the room of machines that are coming, and tells how many of
// its tasks are left.
func (p *planner) useComing(g TaskGroup) (left int) {
	left = g.Count
	for i := range p.Pending {
		if left == 0 {
			break
		}
		c := &p.Pending[i]
		if !g.Size.Within(c.Free) || !g.Allows(c.CapacityPool) {
			continue
		}
		n := min(left, g.Size.Slots(c.Free))
		c.Free = c.Free.Minus(g.Size.Times(float64(n)))
		left -= n
	}
	return left
}

// expect counts on n machines of an offer for that many tasks of a size.
func (p *planner) expect(o CapacityPool, n int, size slowfit.Size, tasks int) {
	total := p.Types[o.Type].Total
	per := size.Slots(total)
	for range n {
		used := min(tasks, per)
		tasks -= used
		p.Pending = append(p.Pending, PendingMachine{CapacityPool: o, Free: total.Minus(size.Times(float64(used)))})
	}
}

// keepHeadroom hires for the cheapest cores up to the learned demand. One offer a round:
// how much of it there is shows in the answer.
func (p *planner) keepHeadroom() {
	lack := p.Headroom - p.Cores
	for _, size := range p.Sizes {
		if lack <= 0 || p.budget <= 0 || size.CPUs <= 0 {
			continue
		}
		best, ok := p.cheapest(size, int(math.Ceil(lack/size.CPUs)), p.asked, func(o CapacityPool) bool { return o.Spot })
		if !ok {
			continue
		}
		machines := int(lack/p.Types[best.Type].Total.CPUs + 0.5)
		if n := min(machines, p.budget, best.most()-p.asked[best.CapacityPool]); n > 0 {
			p.add(best.CapacityPool, n, fmt.Sprintf("%.0f cores are kept for the learned demand", p.Headroom))
		}
		return
	}
}

func spotOf(o CapacityPool) CapacityPool { return CapacityPool{o.Type, o.Zone, true} }

// capacity is how many cores the machines that suit a group have for it, on the
// mean, within a time.
func (s *PlanInput) capacity(g TaskGroup, within float64) float64 {
	cores := 0.0
	for _, u := range s.Running {
		if t := s.Types[u.Type].Total; g.Allows(u.CapacityPool) && g.Size.Slots(t) > 0 {
			cores += max(0, t.CPUs-u.BusyCoreSeconds/within)
		}
	}
	for _, c := range s.Pending {
		if t := s.Types[c.Type].Total; g.Allows(c.CapacityPool) && g.Size.Slots(t) > 0 {
			cores += t.CPUs * max(0.2, 1-s.Types[c.Type].Boot.Seconds()/2/within)
		}
	}
	return cores
}

// usualStay is how long a machine is assumed to be of use once it is up, for
// weighing its boot time.
const usualStay = 3 * time.Minute

// hireFor decides what to hire for the left of a group's tasks, of which ahead
// core-seconds are there with those before it: the offer, how many, and how
// many of the tasks need no further thought then.
func (s *PlanInput) hireFor(g TaskGroup, left int, ahead float64, asked map[CapacityPool]int) (o CapacityPool, n, serves int) {
	want := left
	best, ok := s.cheapest(g.Size, left, asked, func(o CapacityPool) bool { return g.Allows(o) && (o.Spot || !g.Allows(spotOf(o))) })
	if !ok {
		// Ordinary machines cost a multiple. They are hired when those that
		// are there or coming would not get through in time, and as many as
		// make up for that.
		if best, ok = s.cheapest(g.Size, left, asked, g.Allows); !ok {
			return o, 0, 0
		}
		t := s.Types[best.Type]
		within := g.Slack.Seconds()
		if g.Slack < t.Boot {
			// No new machine brings these in on time. They still should not
			// wait without end.
			within = 4 * t.Boot.Seconds()
		}
		lack := ahead/within - s.capacity(g, within)
		if lack <= 0 {
			return o, 0, 0
		}
		want = min(want, int(math.Ceil(lack/max(g.Size.CPUs, 1e-3))))
	}
	// Tasks shorter than a boot are mostly served by turnover before a new
	// machine is up.
	t := s.Types[best.Type]
	f := min(1, g.Run.Seconds()/max(t.Boot.Seconds(), 1))
	per := g.Size.Slots(t.Total)
	need := (int(math.Ceil(float64(want)*f)) + per - 1) / per
	n = min(need, best.most()-asked[best.CapacityPool])
	if n == need {
		return best.CapacityPool, n, left
	}
	return best.CapacityPool, n, int(float64(n*per) / f)
}

// cheapest finds the offer with the least price per task slot. Slots beyond
// the number of tasks count for nothing, nor do offers that have been asked for
// all they may.
func (s *PlanInput) cheapest(size slowfit.Size, count int, asked map[CapacityPool]int, allows func(CapacityPool) bool) (PricedPool, bool) {
	var best PricedPool
	least := math.Inf(1)
	for _, o := range s.Pools {
		per := size.Slots(s.Types[o.Type].Total)
		if per == 0 || asked[o.CapacityPool] >= o.most() || !allows(o.CapacityPool) {
			continue
		}
		// Booting is paid for as well: a type that is up sooner is worth more.
		boot := 1 + s.Types[o.Type].Boot.Seconds()/usualStay.Seconds()
		if cost := o.Price * boot / float64(min(per, max(count, 1))); cost < least {
			best, least = o, cost
		}
	}
	return best, !math.IsInf(least, 1)
}

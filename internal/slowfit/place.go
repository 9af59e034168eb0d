package slowfit

import "math"

// Request is a task as placement sees it.
type Request struct {
	Task Size
	// ScorePool tells whether the task may use a pool's machines, and their score:
	// it breaks ties between equally slow machines, before their order does.
	ScorePool func(pool int) (allowed bool, score int)
	// Preferred, unless nil, accepts machines that have PreferredBonus more score. All that
	// it accepts carry the tag PreferredTag.
	Preferred      func(machine int32) bool
	PreferredTag   uint64
	PreferredBonus int
	// Allowed, unless nil, excludes single machines. All that it accepts carry the
	// tag AllowedTag.
	Allowed    func(machine int32) bool
	AllowedTag uint64
}

// accepts tells whether the task may use a machine.
func (r *Request) accepts(machine int32) bool { return r.Allowed == nil || r.Allowed(machine) }

// hasPreference tells whether some machines have more score than others of their pool.
func (r *Request) hasPreference() bool { return r.Preferred != nil && r.PreferredBonus > 0 }

// loadBounds are what makes a machine assignable: the most load of the task on it, and its most
// total load with the task.
type loadBounds struct{ task, total float64 }

// unbounded makes every machine assignable that has room.
var unbounded = loadBounds{math.Inf(1), math.Inf(1)}

// bounds are those of the goal.
func (g *Goal) bounds() loadBounds { return loadBounds{g.L, g.C * g.L} }

// Place names the machine for one task, or -1 when none has room. When some
// machine has room but none is assignable, L doubles and earlier load
// counts as nothing, until one is.
func (x *Index) Place(g *Goal, r *Request) int32 {
	if x.Infeasible(r.Task) {
		return noMachine
	}
	if g.L == 0 {
		if !x.hasCapacityFor(r) {
			return noMachine
		}
		if g.L = x.shareOnFastestMachine(r.Task); g.L == 0 {
			// The task takes nothing of any resource.
			return x.find(r, unbounded)
		}
	}
	for feasible := false; ; {
		if machine := x.find(r, g.bounds()); machine != noMachine {
			return machine
		}
		if !feasible && !x.hasCapacityFor(r) {
			return noMachine
		}
		feasible = true
		g.double()
		x.ResetLoads()
	}
}

// hasCapacityFor tells whether some machine has room for a task, whatever its load. If no machine at
// all has, it remembers the task's size.
func (x *Index) hasCapacityFor(r *Request) bool {
	if x.find(r, unbounded) != noMachine {
		return true
	}
	if !x.hasCapacityAnywhere(r.Task) {
		x.infeasible.add(r.Task)
	}
	return false
}

// hasCapacityAnywhere tells whether some machine has room for a task, be it one that the job may
// not use.
func (x *Index) hasCapacityAnywhere(task Size) bool {
	for _, p := range x.pools {
		q := query{pool: p, task: task, maxLoad: math.Inf(1), visited: &x.nodesVisited}
		if p.schedulable > 0 && q.firstLeaf(root) != noLeaf {
			return true
		}
	}
	return false
}

// shareOnFastestMachine is a task's load on the fastest schedulable machine that can carry it
// at all.
func (x *Index) shareOnFastestMachine(task Size) float64 {
	for i := len(x.poolsBySpeed) - 1; i >= 0; i-- {
		p := x.pools[x.poolsBySpeed[i]]
		if share := task.Share(p.total); p.schedulable > 0 && !math.IsInf(share, 1) {
			return share
		}
	}
	return 0
}

// find names the slowest assignable machine that has room.
func (x *Index) find(r *Request, bounds loadBounds) int32 {
	for from := 0; from < len(x.poolsBySpeed); {
		to := x.endOfEqualSpeed(from)
		if machine := x.findInPools(r, x.poolsBySpeed[from:to], bounds); machine != noMachine {
			return machine
		}
		from = to
	}
	return noMachine
}

// endOfEqualSpeed is where, in poolsBySpeed, the pools end that are as slow as the one at from.
func (x *Index) endOfEqualSpeed(from int) int {
	slowest := x.pools[x.poolsBySpeed[from]].total
	to := from + 1
	for to < len(x.poolsBySpeed) && slowest.compareSpeed(x.pools[x.poolsBySpeed[to]].total) == 0 {
		to++
	}
	return to
}

// findInPools is find for pools of machines of one speed.
func (x *Index) findInPools(r *Request, pools []int, bounds loadBounds) int32 {
	best := candidate{machine: noMachine}
	for _, poolIndex := range pools {
		p := x.pools[poolIndex]
		if p.schedulable == 0 || !r.Task.Within(p.nodes[root].free) {
			continue
		}
		share := r.Task.Share(p.total)
		if share > bounds.task+tolerance || math.IsInf(share, 1) {
			continue
		}
		allowed, score := r.ScorePool(poolIndex)
		if !allowed {
			continue
		}
		q := query{pool: p, task: r.Task, maxLoad: bounds.total - share + tolerance, tags: r.AllowedTag, accepts: r.Allowed, visited: &x.nodesVisited}
		q.improve(&best, r, score)
	}
	return best.machine
}

// candidate is the best machine found so far: the one with the highest score, and the
// lowest rank among equals.
type candidate struct {
	machine     int32
	score, rank int
}

// canImprove tells whether a machine with some score could be better.
func (c *candidate) canImprove(score int) bool {
	return c.machine == noMachine || score >= c.score
}

// consider takes a machine if it is better.
func (c *candidate) consider(p *pool, leaf, score int) {
	if c.machine == noMachine || score > c.score || score == c.score && p.ranks[leaf] < c.rank {
		c.machine, c.score, c.rank = p.machines[leaf], score, p.ranks[leaf]
	}
}

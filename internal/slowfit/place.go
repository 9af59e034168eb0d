package slowfit

import "math"

// Request describes a task to be placed.
type Request struct {
	Task Size
	// ScorePool reports whether the task may use a pool's machines, and returns their score.
	// Among equally slow machines the highest score wins, and the order of machines breaks
	// ties.
	ScorePool func(pool int) (allowed bool, score int)
	// Preferred, unless nil, reports whether a machine's score is raised by PreferredBonus. It
	// may accept only machines that have all bits of PreferredTag, so that a search can skip
	// the others.
	Preferred      func(machine int32) bool
	PreferredTag   uint64
	PreferredBonus int
	// Allowed, unless nil, reports whether the task may use a machine, provided that it may use
	// the machine's pool. It may accept only machines that have all bits of AllowedTag.
	Allowed    func(machine int32) bool
	AllowedTag uint64
}

// accepts reports whether the task may use a machine, provided that it may use the machine's pool.
func (r *Request) accepts(machine int32) bool { return r.Allowed == nil || r.Allowed(machine) }

// hasPreference reports whether machines of one pool may differ in score.
func (r *Request) hasPreference() bool { return r.Preferred != nil && r.PreferredBonus > 0 }

// loadBounds are the bounds within which a machine is assignable: the maximum load of the task on the
// machine, and the machine's maximum total load including the task.
type loadBounds struct{ task, total float64 }

// unbounded makes every machine assignable on which the task fits.
var unbounded = loadBounds{math.Inf(1), math.Inf(1)}

// bounds returns the load bounds of the current phase.
func (g *Goal) bounds() loadBounds { return loadBounds{g.L, g.C * g.L} }

// Place returns the machine for a task, or -1 if the task fits none that it may use. If it fits some
// machine but none is assignable, L doubles, and earlier load no longer counts, until one is. Place
// does not allocate the resources; the caller reports the allocation by Update.
func (x *Index) Place(g *Goal, r *Request) int32 {
	if x.Infeasible(r.Task) {
		return noMachine
	}
	if g.L == 0 {
		if !x.hasCapacityFor(r) {
			return noMachine
		}
		if g.L = x.shareOnFastestMachine(r.Task); g.L == 0 {
			// The task needs no resources.
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

// hasCapacityFor reports whether the task fits some machine that it may use, whatever that machine's
// load. If the task fits no machine at all, its size is added to the infeasible ones.
func (x *Index) hasCapacityFor(r *Request) bool {
	if x.find(r, unbounded) != noMachine {
		return true
	}
	if !x.hasCapacityAnywhere(r.Task) {
		x.infeasible.add(r.Task)
	}
	return false
}

// hasCapacityAnywhere reports whether a task fits some schedulable machine, even one that its job may
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

// shareOnFastestMachine returns a task's load on the fastest schedulable machine that has all resources
// the task needs, whether free or in use. It returns 0 if there is no such machine or if the task needs
// no resources.
func (x *Index) shareOnFastestMachine(task Size) float64 {
	for i := len(x.poolsBySpeed) - 1; i >= 0; i-- {
		p := x.pools[x.poolsBySpeed[i]]
		if share := task.Share(p.total); p.schedulable > 0 && !math.IsInf(share, 1) {
			return share
		}
	}
	return 0
}

// find returns the slowest machine that is assignable within the bounds and on which the task fits, or
// noMachine.
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

// endOfEqualSpeed returns the index in poolsBySpeed after the last pool whose machines are as slow as
// those of the pool at from.
func (x *Index) endOfEqualSpeed(from int) int {
	slowest := x.pools[x.poolsBySpeed[from]].total
	to := from + 1
	for to < len(x.poolsBySpeed) && slowest.compareSpeed(x.pools[x.poolsBySpeed[to]].total) == 0 {
		to++
	}
	return to
}

// findInPools is like find, for pools whose machines are equally slow.
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

// candidate is the best machine found so far: the one with the highest score, and the lowest rank
// among equal scores. The machine is noMachine if none was found.
type candidate struct {
	machine     int32
	score, rank int
}

// canImprove reports whether a machine with this score could be better than the candidate.
func (c *candidate) canImprove(score int) bool {
	return c.machine == noMachine || score >= c.score
}

// consider replaces the candidate by the machine at a leaf if that is better.
func (c *candidate) consider(p *pool, leaf, score int) {
	if c.machine == noMachine || score > c.score || score == c.score && p.ranks[leaf] < c.rank {
		c.machine, c.score, c.rank = p.machines[leaf], score, p.ranks[leaf]
	}
}

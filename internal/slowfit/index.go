package slowfit

import "slices"

// Index holds the machines in the order in which SLOW-FIT considers them, so that a task is placed, or
// found to fit no machine, without a scan of all machines. A pool holds machines that are equal in
// size and in all attributes that determine which jobs may use them.
//
// Machines are identified by small consecutive indices, which the caller assigns. The order of the
// calls of Add is the order of machines by which the paper finally breaks ties.
type Index struct {
	pools        []*pool
	poolsBySpeed []int      // indices of the pools, slowest machines first
	locations    []location // by machine
	infeasible   infeasibleSizes
	nodesVisited int
}

// noMachine takes the place of a machine index where there is no machine.
const noMachine = -1

// noPool is the pool of a machine that is in no pool.
const noPool = -1

// location is the position of a machine in the index: its pool and its leaf there.
type location struct{ pool, leaf int32 }

// AddPool adds a pool of machines with the resources total and returns its index.
func (x *Index) AddPool(total Size) int {
	x.pools = append(x.pools, &pool{total: total})
	x.poolsBySpeed = append(x.poolsBySpeed, len(x.pools)-1)
	slices.SortStableFunc(x.poolsBySpeed, func(a, b int) int { return x.pools[a].total.compareSpeed(x.pools[b].total) })
	return len(x.pools) - 1
}

// Add adds a machine to a pool, as unschedulable until Update is called. If the machine is in a pool
// already, it is removed from that first.
func (x *Index) Add(machine int32, poolIndex int) {
	x.Remove(machine)
	for int(machine) >= len(x.locations) {
		x.locations = append(x.locations, location{pool: noPool})
	}
	p := x.pools[poolIndex]
	if p.isFull() {
		p.grow()
		for leaf, moved := range p.machines {
			x.locations[moved].leaf = int32(leaf)
		}
	}
	leaf := p.add(machine, x.nextRank())
	x.locations[machine] = location{pool: int32(poolIndex), leaf: int32(leaf)}
}

// nextRank returns a rank higher than that of every machine in the index.
func (x *Index) nextRank() int {
	rank := 0
	for _, p := range x.pools {
		if n := len(p.ranks); n > 0 {
			rank = max(rank, p.ranks[n-1]+1)
		}
	}
	return rank
}

// contains reports whether a machine is in a pool.
func (x *Index) contains(machine int32) bool {
	return int(machine) < len(x.locations) && x.locations[machine].pool != noPool
}

// Remove removes a machine from its pool. It does nothing if the machine is in no pool.
func (x *Index) Remove(machine int32) {
	if !x.contains(machine) {
		return
	}
	x.MarkUnschedulable(machine)
	loc := x.locations[machine]
	x.pools[loc.pool].machines[loc.leaf] = noMachine
	x.locations[machine] = location{pool: noPool}
}

// Update makes a machine schedulable and sets its free resources, its load in the current phase, and
// its tags, a set of bits. A Request may require that a machine has some of them.
func (x *Index) Update(machine int32, free Size, load float64, tags uint64) {
	loc := x.locations[machine]
	x.pools[loc.pool].setLeaf(int(loc.leaf), node{free, load, tags})
	x.infeasible.removeWithin(free)
}

// MarkUnschedulable excludes a machine from placement until the next Update.
func (x *Index) MarkUnschedulable(machine int32) {
	if x.contains(machine) {
		loc := x.locations[machine]
		x.pools[loc.pool].setLeaf(int(loc.leaf), unschedulable)
	}
}

// ResetLoads sets the load of all machines to 0. Place calls it when it begins a new phase; the caller
// must call it after Goal.Lower has begun one.
func (x *Index) ResetLoads() {
	for _, p := range x.pools {
		p.resetLoads()
	}
}

// NodesVisited returns the number of tree nodes that all searches so far have visited.
func (x *Index) NodesVisited() int { return x.nodesVisited }

// Infeasible reports whether a task is known to fit no schedulable machine. False means that it fits
// one or that this is unknown.
func (x *Index) Infeasible(task Size) bool { return x.infeasible.includes(task) }

package slowfit

import "slices"

// Index keeps the machines that take tasks in the order in which SLOW-FIT tries them, so that a
// task is placed, or found to have no room, without a scan of all machines. A pool holds
// machines that are alike in size and in what decides which jobs may use them.
//
// Machines are the caller's dense indices. Their order, the paper's last
// tie-break, is that of Add.
type Index struct {
	pools []*pool
	// poolsBySpeed are the numbers of the pools, the slowest first.
	poolsBySpeed []int
	locations    []location // by machine
	infeasible   infeasibleSizes
	nodesVisited int
}

// noMachine stands for a machine where there is none.
const noMachine = -1

// noPool is the pool of a machine that is in none.
const noPool = -1

// location is where a machine stands in the index.
type location struct{ pool, leaf int32 }

// AddPool makes a pool of machines of one size and returns its number.
func (x *Index) AddPool(total Size) int {
	x.pools = append(x.pools, &pool{total: total})
	x.poolsBySpeed = append(x.poolsBySpeed, len(x.pools)-1)
	slices.SortStableFunc(x.poolsBySpeed, func(a, b int) int { return x.pools[a].total.compareSpeed(x.pools[b].total) })
	return len(x.pools) - 1
}

// Add puts a machine into a pool, as unschedulable. One that is in
// another pool leaves that.
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

// nextRank is a rank above those of all machines that have joined last in their pools.
func (x *Index) nextRank() int {
	rank := 0
	for _, p := range x.pools {
		if n := len(p.ranks); n > 0 {
			rank = max(rank, p.ranks[n-1]+1)
		}
	}
	return rank
}

// contains tells whether a machine is in a pool.
func (x *Index) contains(machine int32) bool {
	return int(machine) < len(x.locations) && x.locations[machine].pool != noPool
}

// Remove takes a machine out of its pool.
func (x *Index) Remove(machine int32) {
	if !x.contains(machine) {
		return
	}
	x.MarkUnschedulable(machine)
	loc := x.locations[machine]
	x.pools[loc.pool].machines[loc.leaf] = noMachine
	x.locations[machine] = location{pool: noPool}
}

// Update reports that a machine takes tasks, its free resources, the load that counts
// towards the goal, and its tags: bits of which a Request may ask for one.
func (x *Index) Update(machine int32, free Size, load float64, tags uint64) {
	loc := x.locations[machine]
	x.pools[loc.pool].setLeaf(int(loc.leaf), node{free, load, tags})
	x.infeasible.removeWithin(free)
}

// MarkUnschedulable reports that a machine takes no tasks.
func (x *Index) MarkUnschedulable(machine int32) {
	if x.contains(machine) {
		loc := x.locations[machine]
		x.pools[loc.pool].setLeaf(int(loc.leaf), unschedulable)
	}
}

// ResetLoads has the load of all machines count as nothing, as at the start of
// a phase.
func (x *Index) ResetLoads() {
	for _, p := range x.pools {
		p.resetLoads()
	}
}

// NodesVisited is how many nodes of the pools' trees have been visited so far.
func (x *Index) NodesVisited() int { return x.nodesVisited }

// Infeasible tells whether it is known that no schedulable machine has room for a task.
func (x *Index) Infeasible(task Size) bool { return x.infeasible.includes(task) }

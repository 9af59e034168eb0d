package slowfit

import (
	"math"
	"slices"
)

// pool holds machines of one size. A binary tree over them, in their order, knows of each part
// of the pool the most free resources and the least load, so that parts without a suitable
// machine are passed over as a whole.
type pool struct {
	total Size
	// schedulable is how many machines take tasks.
	schedulable int
	// leaves is the number of the tree's leaves, a power of two.
	leaves int
	// nodes has the tree's root at 1, the children of node i at 2i and 2i+1, and the leaves
	// from index leaves on.
	nodes []node
	// machines and ranks are by leaf. A machine that was removed is noMachine. Ranks are the
	// order of joining, over all pools.
	machines []int32
	ranks    []int
}

// minLeaves is the size of the smallest tree.
const minLeaves = 8

// node sums up a part of a pool: the most free amount of each resource, the least load and all
// the tags of its machines.
type node struct {
	free Size
	load float64
	tags uint64
}

// unschedulable is the node of a machine that takes no tasks: none fits it.
var unschedulable = node{free: Size{CPUs: -1, GPUs: -1, MemGB: -1}, load: math.Inf(1)}

// isSchedulable tells whether some machine of the node's part takes tasks.
func (n *node) isSchedulable() bool { return !math.IsInf(n.load, 1) }

// merge sums up two parts.
func merge(a, b *node) node {
	return node{
		free: Size{max(a.free.CPUs, b.free.CPUs), max(a.free.GPUs, b.free.GPUs), max(a.free.MemGB, b.free.MemGB)},
		load: min(a.load, b.load),
		tags: a.tags | b.tags,
	}
}

// add appends a machine, which takes no tasks yet, and returns its leaf.
func (p *pool) add(machine int32, rank int) (leaf int) {
	leaf = len(p.machines)
	p.machines = append(p.machines, machine)
	p.ranks = append(p.ranks, rank)
	p.setLeaf(leaf, unschedulable)
	return leaf
}

// setLeaf replaces a leaf and the nodes above it.
func (p *pool) setLeaf(leaf int, n node) {
	i := p.leaves + leaf
	if before, after := p.nodes[i].isSchedulable(), n.isSchedulable(); before && !after {
		p.schedulable--
	} else if after && !before {
		p.schedulable++
	}
	p.nodes[i] = n
	for i /= 2; i > 0; i /= 2 {
		merged := merge(&p.nodes[2*i], &p.nodes[2*i+1])
		if merged == p.nodes[i] {
			return
		}
		p.nodes[i] = merged
	}
}

// resetLoads sets the loads of all machines that take tasks to 0.
func (p *pool) resetLoads() {
	for leaf := range p.machines {
		if n := &p.nodes[p.leaves+leaf]; n.isSchedulable() {
			n.load = 0
		}
	}
	p.mergeAll()
}

// mergeAll computes all inner nodes from the leaves.
func (p *pool) mergeAll() {
	for i := p.leaves - 1; i > 0; i-- {
		p.nodes[i] = merge(&p.nodes[2*i], &p.nodes[2*i+1])
	}
}

// isFull tells whether there is no leaf for another machine.
func (p *pool) isFull() bool { return len(p.machines) == p.leaves }

// grow makes room for another leaf: by dropping the leaves of machines that were removed, or
// by doubling the tree. Machines change their leaves.
func (p *pool) grow() {
	before := *p
	var formerLeaves []int
	p.machines, p.ranks = nil, nil
	for leaf, machine := range before.machines {
		if machine != noMachine {
			p.machines = append(p.machines, machine)
			p.ranks = append(p.ranks, before.ranks[leaf])
			formerLeaves = append(formerLeaves, leaf)
		}
	}
	p.leaves = max(minLeaves, before.leaves)
	if 2*len(p.machines) > p.leaves {
		p.leaves *= 2
	}
	p.nodes = slices.Repeat([]node{unschedulable}, 2*p.leaves)
	for leaf, former := range formerLeaves {
		p.nodes[p.leaves+leaf] = before.nodes[before.leaves+former]
	}
	p.mergeAll()
}

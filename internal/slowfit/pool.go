package slowfit

import (
	"math"
	"slices"
)

// pool holds machines of one size. A binary tree over the machines, in their order, has for each
// subtree the maximum free amount of each resource and the minimum load, so that a search skips
// subtrees without a suitable machine.
type pool struct {
	total Size
	// schedulable is the number of schedulable machines.
	schedulable int
	// leaves is the number of the tree's leaves, a power of two.
	leaves int
	// nodes holds the tree: the root at 1, the children of node i at 2i and 2i+1, and the
	// leaves from index leaves on.
	nodes []node
	// machines and ranks are indexed by leaf. The entry of a removed machine is noMachine. Ranks
	// increase in the order in which machines were added, across all pools.
	machines []int32
	ranks    []int
}

// minLeaves is the number of leaves of the smallest tree.
const minLeaves = 8

// node summarizes the machines of a subtree: the maximum free amount of each resource, the minimum
// load, and the union of their tags.
type node struct {
	free Size
	load float64
	tags uint64
}

// unschedulable is the leaf of an unschedulable machine. No task fits it.
var unschedulable = node{free: Size{CPUs: -1, GPUs: -1, MemGB: -1, Tasks: -1}, load: math.Inf(1)}

// isSchedulable reports whether some machine of the subtree is schedulable.
func (n *node) isSchedulable() bool { return !math.IsInf(n.load, 1) }

// merge returns the parent node of two nodes.
func merge(a, b *node) node {
	return node{
		free: Size{max(a.free.CPUs, b.free.CPUs), max(a.free.GPUs, b.free.GPUs), max(a.free.MemGB, b.free.MemGB), max(a.free.Tasks, b.free.Tasks)},
		load: min(a.load, b.load),
		tags: a.tags | b.tags,
	}
}

// add appends a machine as unschedulable and returns its leaf. The pool must not be full.
func (p *pool) add(machine int32, rank int) (leaf int) {
	leaf = len(p.machines)
	p.machines = append(p.machines, machine)
	p.ranks = append(p.ranks, rank)
	p.setLeaf(leaf, unschedulable)
	return leaf
}

// setLeaf replaces a leaf and updates the nodes above it.
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

// resetLoads sets the loads of all schedulable machines to 0.
func (p *pool) resetLoads() {
	for leaf := range p.machines {
		if n := &p.nodes[p.leaves+leaf]; n.isSchedulable() {
			n.load = 0
		}
	}
	p.mergeAll()
}

// mergeAll recomputes all inner nodes from the leaves.
func (p *pool) mergeAll() {
	for i := p.leaves - 1; i > 0; i-- {
		p.nodes[i] = merge(&p.nodes[2*i], &p.nodes[2*i+1])
	}
}

// isFull reports whether there is no leaf for another machine.
func (p *pool) isFull() bool { return len(p.machines) == p.leaves }

// grow frees at least one leaf: it discards the leaves of removed machines and, if more than half of
// the leaves are still in use, doubles the tree. The remaining machines move to other leaves.
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

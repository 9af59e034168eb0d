// Package depgraph holds the dependency graph of jobs: for each job its predecessors, its
// dependents, and the number of unfinished jobs that it waits for. A predecessor that is not known
// yet counts as unfinished.
package depgraph

import "slices"

// Node is a job in the graph. Its index equals that of the job.
type Node struct {
	index        int32
	unfinished   int32   // unfinished predecessors, known or not
	predecessors []int32 // known jobs that the job depends on
	dependents   []int32 // jobs that wait for the job; empty once it has finished
}

// Unfinished returns the number of unfinished jobs that the node waits for.
func (n *Node) Unfinished() int { return int(n.unfinished) }

// Predecessors returns the known jobs that the node depends on. The caller must not modify them.
func (n *Node) Predecessors() []int32 { return n.predecessors }

// Dependents returns the jobs that wait for the node. The caller must not modify them.
func (n *Node) Dependents() []int32 { return n.dependents }

// Graph holds the nodes of all jobs by index. The zero value is an empty graph.
type Graph struct {
	nodes   []*Node
	awaited map[string][]int32 // by ID of an unknown job: the jobs that depend on it
}

// Add adds the node of a new job and sets its index. Jobs are added in the order of their indices.
// The graph keeps the pointer to the node.
func (g *Graph) Add(node *Node) {
	node.index = int32(len(g.nodes))
	g.nodes = append(g.nodes, node)
}

// AddDependency adds a dependency on a known job, which may have finished already.
func (g *Graph) AddDependency(node, predecessor *Node, finished bool) {
	node.predecessors = append(node.predecessors, predecessor.index)
	if finished {
		return
	}
	node.unfinished++
	predecessor.dependents = append(predecessor.dependents, node.index)
}

// AddUnknownDependency adds a dependency on a job that is not known yet. Resolve completes it.
func (g *Graph) AddUnknownDependency(node *Node, id string) {
	if g.awaited == nil {
		g.awaited = map[string][]int32{}
	}
	node.unfinished++
	g.awaited[id] = append(g.awaited[id], node.index)
}

// Resolve links the jobs that depend on the given ID to its node, now that the job is known, and
// returns them.
func (g *Graph) Resolve(id string, predecessor *Node, finished bool) []int32 {
	waiting := g.awaited[id]
	delete(g.awaited, id)
	for _, index := range waiting {
		node := g.nodes[index]
		node.unfinished-- // undoes the count of AddUnknownDependency
		g.AddDependency(node, predecessor, finished)
	}
	return waiting
}

// TakeDependents removes and returns the dependents of a job that has finished or was cancelled.
func (g *Graph) TakeDependents(node *Node) []int32 {
	dependents := node.dependents
	node.dependents = nil
	return dependents
}

// FinishPredecessor records that one predecessor of the node has finished. It reports whether that
// was the last unfinished one.
func (g *Graph) FinishPredecessor(node *Node) (last bool) {
	node.unfinished--
	return node.unfinished == 0
}

// Visit is the decision of a visitor at an ancestor.
type Visit int

const (
	Continue Visit = iota // continue with its predecessors
	Skip                  // do not follow its predecessors
	Found                 // stop the traversal
)

// AnyAncestor visits the jobs that the node depends on, directly or transitively, and reports
// whether visit returned Found for one of them. A job is visited at most once, unless visit returns
// Skip for it.
func (g *Graph) AnyAncestor(node *Node, visit func(index int32) Visit) bool {
	seen := map[int32]bool{}
	pending := slices.Clone(node.predecessors)
	for len(pending) > 0 {
		index := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if seen[index] {
			continue
		}
		switch visit(index) {
		case Found:
			return true
		case Continue:
			seen[index] = true
			pending = append(pending, g.nodes[index].predecessors...)
		case Skip:
		}
	}
	return false
}

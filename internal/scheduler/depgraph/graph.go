// Package depgraph is the dependency graph of jobs: which jobs each one depends on, which ones
// depend on it, and on how many unfinished jobs it still waits. A job that is named but not known
// yet counts as unfinished.
package depgraph

import "slices"

// Node is the place of one job in the graph. Its index is the job's own.
type Node struct {
	index        int32
	unfinished   int32   // predecessors that are unfinished, known or not
	predecessors []int32 // known jobs that it depends on
	dependents   []int32 // jobs that depend on it, as long as it is unfinished
}

// Unfinished is how many unfinished jobs the node's job waits for.
func (n *Node) Unfinished() int { return int(n.unfinished) }

// Predecessors are the known jobs that the node's job depends on. The caller does not change
// them.
func (n *Node) Predecessors() []int32 { return n.predecessors }

// Dependents are the jobs that wait for the node's job. The caller does not change them.
func (n *Node) Dependents() []int32 { return n.dependents }

// Graph holds the nodes of all jobs by index. The zero value is an empty graph.
type Graph struct {
	nodes   []*Node
	awaited map[string][]int32 // by id: the jobs that depend on a job which is not known yet
}

// Add adds the node of a new job, which lies in the job. Jobs are added in the order of their
// indices.
func (g *Graph) Add(n *Node) {
	n.index = int32(len(g.nodes))
	g.nodes = append(g.nodes, n)
}

// AddDependency notes that one job depends on another known one, which may be finished already.
func (g *Graph) AddDependency(n, predecessor *Node, finished bool) {
	n.predecessors = append(n.predecessors, predecessor.index)
	if finished {
		return
	}
	n.unfinished++
	predecessor.dependents = append(predecessor.dependents, n.index)
}

// AddUnknownDependency notes that a job depends on one that is not known yet.
func (g *Graph) AddUnknownDependency(n *Node, id string) {
	if g.awaited == nil {
		g.awaited = map[string][]int32{}
	}
	n.unfinished++
	g.awaited[id] = append(g.awaited[id], n.index)
}

// Resolve links the jobs that await the id of a job to its node, now that it is known, and
// returns them.
func (g *Graph) Resolve(id string, predecessor *Node, finished bool) []int32 {
	waiting := g.awaited[id]
	delete(g.awaited, id)
	for _, index := range waiting {
		n := g.nodes[index]
		n.unfinished-- // counted while the predecessor was not known
		g.AddDependency(n, predecessor, finished)
	}
	return waiting
}

// TakeDependents removes and returns the jobs that wait for a job which has finished or was
// cancelled.
func (g *Graph) TakeDependents(n *Node) []int32 {
	dependents := n.dependents
	n.dependents = nil
	return dependents
}

// FinishPredecessor notes that a job waits for one less, and tells whether that was the last.
func (g *Graph) FinishPredecessor(n *Node) (last bool) {
	n.unfinished--
	return n.unfinished == 0
}

// Visit is what a walk through the ancestors does at one of them.
type Visit int

// What a walk does.
const (
	Continue Visit = iota // visit its predecessors as well
	Skip                  // leave its predecessors out
	Found                 // end the walk
)

// AnyAncestor walks through the jobs that a job depends on, directly or through others, each at
// most once unless it is skipped, and tells whether one of them is found.
func (g *Graph) AnyAncestor(n *Node, visit func(index int32) Visit) bool {
	seen := map[int32]bool{}
	todo := slices.Clone(n.predecessors)
	for len(todo) > 0 {
		at := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[at] {
			continue
		}
		switch visit(at) {
		case Found:
			return true
		case Continue:
			seen[at] = true
			todo = append(todo, g.nodes[at].predecessors...)
		case Skip:
		}
	}
	return false
}

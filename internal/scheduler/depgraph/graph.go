// Package depgraph holds the dependency graph of jobs: for each job its predecessors, its
// dependents, and the number of unfinished jobs that it waits for. A predecessor that is not known
// yet counts as unfinished, and so does one whose record can't be read.
package depgraph

import "slices"

// Node is a job in the graph. Its index equals that of the job.
type Node struct {
	index        int32
	unfinished   int32   // unfinished predecessors, known or not
	unknown      int32   // predecessors that are not known, without the unreadable ones
	predecessors []int32 // known jobs that the job depends on
	dependents   []int32 // jobs that wait for the job; empty once it has finished
}

// Unfinished returns the number of unfinished jobs that the node waits for.
func (n *Node) Unfinished() int { return int(n.unfinished) }

// Unknown returns the number of predecessors that are not known yet.
func (n *Node) Unknown() int { return int(n.unknown) }

// Predecessors returns the known jobs that the node depends on. The caller must not modify them.
func (n *Node) Predecessors() []int32 { return n.predecessors }

// Dependents returns the jobs that wait for the node. The caller must not modify them.
func (n *Node) Dependents() []int32 { return n.dependents }

// Graph holds the nodes of all jobs by index. The zero value is an empty graph.
type Graph struct {
	nodes   []*Node
	awaited map[string]*awaitedJob // jobs that are not known, by ID
	unknown int                    // number of awaited jobs that are not unreadable
}

// awaitedJob is a job that is not known although others depend on it.
type awaitedJob struct {
	dependents []int32
	unreadable bool
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

// AddUnknownDependency adds a dependency on a job that is not known yet. Resolve completes it. It
// reports whether this is the first dependency on that job.
func (g *Graph) AddUnknownDependency(node *Node, id string) (first bool) {
	if g.awaited == nil {
		g.awaited = map[string]*awaitedJob{}
	}
	job := g.awaited[id]
	if first = job == nil; first {
		job = &awaitedJob{}
		g.awaited[id] = job
		g.unknown++
	}
	node.unfinished++
	job.dependents = append(job.dependents, node.index)
	if !job.unreadable {
		node.unknown++
	}
	return first
}

// MarkUnreadable records that nothing can be learned about an unknown job. It still counts as
// unfinished, but no longer as unknown.
func (g *Graph) MarkUnreadable(id string) {
	if !g.IsUnknown(id) {
		return
	}
	job := g.awaited[id]
	job.unreadable = true
	g.removeUnknown(job)
}

// removeUnknown undoes the counts of AddUnknownDependency for unknown predecessors.
func (g *Graph) removeUnknown(job *awaitedJob) {
	g.unknown--
	for _, index := range job.dependents {
		g.nodes[index].unknown--
	}
}

// IsUnknown reports whether jobs depend on the given ID, and it is neither known nor unreadable.
func (g *Graph) IsUnknown(id string) bool {
	job := g.awaited[id]
	return job != nil && !job.unreadable
}

// AnyUnknown reports whether any predecessor is unknown.
func (g *Graph) AnyUnknown() bool { return g.unknown > 0 }

// Resolve links the jobs that depend on the given ID to its node, now that the job is known, and
// returns them.
func (g *Graph) Resolve(id string, predecessor *Node, finished bool) []int32 {
	job := g.awaited[id]
	if job == nil {
		return nil
	}
	delete(g.awaited, id)
	if !job.unreadable {
		g.removeUnknown(job)
	}
	for _, index := range job.dependents {
		node := g.nodes[index]
		node.unfinished-- // undoes the count of AddUnknownDependency
		g.AddDependency(node, predecessor, finished)
	}
	return job.dependents
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

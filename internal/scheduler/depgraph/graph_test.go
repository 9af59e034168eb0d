package depgraph

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

func wantEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// addNode adds a new node to a graph.
func addNode(graph *Graph) *Node {
	node := &Node{}
	graph.Add(node)
	return node
}

func TestDependOnAnUnfinishedJob(t *testing.T) {
	var g Graph
	first, second := addNode(&g), addNode(&g)
	g.AddDependency(second, first, false)
	wantEqual(t, "unfinished predecessors", second.Unfinished(), 1)
	wantEqual(t, "predecessors", second.Predecessors(), []int32{0})
	wantEqual(t, "dependents", first.Dependents(), []int32{1})
}

func TestDependOnAFinishedJob(t *testing.T) {
	var g Graph
	first, second := addNode(&g), addNode(&g)
	g.AddDependency(second, first, true)
	wantEqual(t, "unfinished predecessors", second.Unfinished(), 0)
	wantEqual(t, "predecessors", second.Predecessors(), []int32{0})
	wantEqual(t, "dependents", len(first.Dependents()), 0)
}

func TestResolveLinksAllThatAwaitAJob(t *testing.T) {
	for _, finished := range []bool{false, true} {
		t.Run(fmt.Sprintf("finished=%t", finished), func(t *testing.T) {
			var g Graph
			a, b := addNode(&g), addNode(&g)
			g.AddUnknownDependency(a, "late")
			g.AddUnknownDependency(b, "late")
			g.AddUnknownDependency(b, "other")
			late := addNode(&g)
			wantEqual(t, "resolved", g.Resolve("late", late, finished), []int32{0, 1})
			unfinished := 1
			if finished {
				unfinished = 0
			}
			wantEqual(t, "unfinished predecessors of the first", a.Unfinished(), unfinished)
			wantEqual(t, "unfinished predecessors of the second", b.Unfinished(), 1+unfinished)
			wantEqual(t, "dependents", len(late.Dependents()), 2*unfinished)
			wantEqual(t, "resolved again", len(g.Resolve("late", late, finished)), 0)
		})
	}
}

func TestLastPredecessorReleasesAJob(t *testing.T) {
	var g Graph
	a, b, c := addNode(&g), addNode(&g), addNode(&g)
	g.AddDependency(c, a, false)
	g.AddDependency(c, b, false)
	wantEqual(t, "dependents taken", g.TakeDependents(a), []int32{2})
	wantEqual(t, "dependents left", len(a.Dependents()), 0)
	wantEqual(t, "last unfinished one after the first has finished", g.FinishPredecessor(c), false)
	wantEqual(t, "last unfinished one after both have finished", g.FinishPredecessor(c), true)
}

func TestAnyAncestor(t *testing.T) {
	// 3 depends on 1 and 2, both on 0.
	var g Graph
	nodes := []*Node{addNode(&g), addNode(&g), addNode(&g), addNode(&g)}
	g.AddDependency(nodes[1], nodes[0], false)
	g.AddDependency(nodes[2], nodes[0], false)
	g.AddDependency(nodes[3], nodes[1], false)
	g.AddDependency(nodes[3], nodes[2], false)
	visited := map[int32]int{}
	found := g.AnyAncestor(nodes[3], func(index int32) Visit { visited[index]++; return Continue })
	wantEqual(t, "found", found, false)
	wantEqual(t, "visited", visited, map[int32]int{0: 1, 1: 1, 2: 1})
	wantEqual(t, "found the common ancestor", g.AnyAncestor(nodes[3], func(index int32) Visit {
		if index == 0 {
			return Found
		}
		return Continue
	}), true)
	wantEqual(t, "found the common ancestor behind skipped ones", g.AnyAncestor(nodes[3], func(index int32) Visit {
		if index == 0 {
			return Found
		}
		return Skip
	}), false)
}

// TestGraphMatchesAnExhaustiveCount adds and finishes jobs in random order, and compares how many
// unfinished jobs each one waits for with a count over all jobs.
func TestGraphMatchesAnExhaustiveCount(t *testing.T) {
	const jobs = 12
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		dependsOn := make([][]int, jobs) // by job; a job depends only on jobs with a lower number
		for i := range dependsOn {
			for predecessor := range i {
				if random.IntN(3) == 0 {
					dependsOn[i] = append(dependsOn[i], predecessor)
				}
			}
		}
		model := &jobModel{t: t, dependsOn: dependsOn, nodes: map[int]*Node{}, finished: map[int]bool{}}
		for _, i := range random.Perm(jobs) {
			model.addJob(i)
			if random.IntN(2) == 0 {
				model.finishOne(random)
			}
			model.check(seed)
		}
		for model.finishOne(random) {
			model.check(seed)
		}
		wantEqual(t, "finished jobs", len(model.finished), jobs)
	}
}

// jobModel drives a graph with jobs that are known by number.
type jobModel struct {
	t         *testing.T
	graph     Graph
	dependsOn [][]int
	nodes     map[int]*Node
	jobByNode []int // by node index
	finished  map[int]bool
}

// addJob makes a job known to the graph.
func (m *jobModel) addJob(job int) {
	node := addNode(&m.graph)
	m.nodes[job], m.jobByNode = node, append(m.jobByNode, job)
	for _, predecessor := range m.dependsOn[job] {
		if known := m.nodes[predecessor]; known != nil {
			m.graph.AddDependency(node, known, m.finished[predecessor])
		} else {
			m.graph.AddUnknownDependency(node, fmt.Sprint(predecessor))
		}
	}
	m.graph.Resolve(fmt.Sprint(job), node, false)
}

// finishOne finishes a random known job without unfinished predecessors, and reports whether there
// was one.
func (m *jobModel) finishOne(random *rand.Rand) bool {
	var ready []int
	for job, node := range m.nodes {
		if node.Unfinished() == 0 && !m.finished[job] {
			ready = append(ready, job)
		}
	}
	if len(ready) == 0 {
		return false
	}
	slices.Sort(ready)
	job := ready[random.IntN(len(ready))]
	m.finished[job] = true
	for _, index := range m.graph.TakeDependents(m.nodes[job]) {
		dependent := m.nodes[m.jobByNode[index]]
		if last := m.graph.FinishPredecessor(dependent); last != (dependent.Unfinished() == 0) {
			m.t.Errorf("job %d: FinishPredecessor returned %t with %d unfinished predecessors", m.jobByNode[index], last, dependent.Unfinished())
		}
	}
	return true
}

// check compares the number of unfinished predecessors of each known job with a count.
func (m *jobModel) check(seed uint64) {
	m.t.Helper()
	for job, node := range m.nodes {
		want := 0
		for _, predecessor := range m.dependsOn[job] {
			if !m.finished[predecessor] {
				want++
			}
		}
		if node.Unfinished() != want {
			m.t.Fatalf("seed %d: job %d has %d unfinished predecessors, want %d", seed, job, node.Unfinished(), want)
		}
	}
}

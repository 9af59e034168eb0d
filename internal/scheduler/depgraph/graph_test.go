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

// addNode adds a node of its own to a graph.
func addNode(g *Graph) *Node {
	n := &Node{}
	g.Add(n)
	return n
}

func TestDependOnAnUnfinishedJob(t *testing.T) {
	var g Graph
	first, second := addNode(&g), addNode(&g)
	g.AddDependency(second, first, false)
	wantEqual(t, "open", second.Unfinished(), 1)
	wantEqual(t, "predecessors", second.Predecessors(), []int32{0})
	wantEqual(t, "dependents", first.Dependents(), []int32{1})
}

func TestDependOnAFinishedJob(t *testing.T) {
	var g Graph
	first, second := addNode(&g), addNode(&g)
	g.AddDependency(second, first, true)
	wantEqual(t, "open", second.Unfinished(), 0)
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
			stillOpen := 1
			if finished {
				stillOpen = 0
			}
			wantEqual(t, "open of the first", a.Unfinished(), stillOpen)
			wantEqual(t, "open of the second", b.Unfinished(), 1+stillOpen)
			wantEqual(t, "dependents", len(late.Dependents()), 2*stillOpen)
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
	wantEqual(t, "last after one", g.FinishPredecessor(c), false)
	wantEqual(t, "last after both", g.FinishPredecessor(c), true)
}

func TestAnyAncestor(t *testing.T) {
	// 3 depends on 1 and 2, both on 0.
	var g Graph
	n := []*Node{addNode(&g), addNode(&g), addNode(&g), addNode(&g)}
	g.AddDependency(n[1], n[0], false)
	g.AddDependency(n[2], n[0], false)
	g.AddDependency(n[3], n[1], false)
	g.AddDependency(n[3], n[2], false)
	visited := map[int32]int{}
	found := g.AnyAncestor(n[3], func(i int32) Visit { visited[i]++; return Continue })
	wantEqual(t, "found", found, false)
	wantEqual(t, "visited", visited, map[int32]int{0: 1, 1: 1, 2: 1})
	wantEqual(t, "found the common ancestor", g.AnyAncestor(n[3], func(i int32) Visit {
		if i == 0 {
			return Found
		}
		return Continue
	}), true)
	wantEqual(t, "found behind skipped ones", g.AnyAncestor(n[3], func(i int32) Visit {
		if i == 0 {
			return Found
		}
		return Skip
	}), false)
}

// TestGraphMatchesAnExhaustiveCount has jobs become known and finish in any order, and compares
// what each waits for with a count over all jobs.
func TestGraphMatchesAnExhaustiveCount(t *testing.T) {
	const jobs = 12
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		dependsOn := make([][]int, jobs) // a job depends only on those with a lower number
		for i := range dependsOn {
			for p := range i {
				if r.IntN(3) == 0 {
					dependsOn[i] = append(dependsOn[i], p)
				}
			}
		}
		m := &jobModel{t: t, dependsOn: dependsOn, nodes: map[int]*Node{}, finished: map[int]bool{}}
		for _, i := range r.Perm(jobs) {
			m.addJob(i)
			if r.IntN(2) == 0 {
				m.finishOne(r)
			}
			m.check(seed)
		}
		for m.finishOne(r) {
			m.check(seed)
		}
		wantEqual(t, "finished jobs", len(m.finished), jobs)
	}
}

type jobModel struct {
	t         *testing.T
	graph     Graph
	dependsOn [][]int
	nodes     map[int]*Node
	jobByNode []int // by index of the graph
	finished  map[int]bool
}

// addJob makes a job known.
func (m *jobModel) addJob(i int) {
	n := addNode(&m.graph)
	m.nodes[i], m.jobByNode = n, append(m.jobByNode, i)
	for _, p := range m.dependsOn[i] {
		if known := m.nodes[p]; known != nil {
			m.graph.AddDependency(n, known, m.finished[p])
		} else {
			m.graph.AddUnknownDependency(n, fmt.Sprint(p))
		}
	}
	m.graph.Resolve(fmt.Sprint(i), n, false)
}

// finishOne finishes some known job that waits for none.
func (m *jobModel) finishOne(r *rand.Rand) bool {
	var ready []int
	for i, n := range m.nodes {
		if n.Unfinished() == 0 && !m.finished[i] {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return false
	}
	slices.Sort(ready)
	i := ready[r.IntN(len(ready))]
	m.finished[i] = true
	for _, at := range m.graph.TakeDependents(m.nodes[i]) {
		dependent := m.nodes[m.jobByNode[at]]
		if last := m.graph.FinishPredecessor(dependent); last != (dependent.Unfinished() == 0) {
			m.t.Errorf("job %d: last is %t with %d open", m.jobByNode[at], last, dependent.Unfinished())
		}
	}
	return true
}

// check compares what each known job waits for with a count.
func (m *jobModel) check(seed uint64) {
	m.t.Helper()
	for i, n := range m.nodes {
		want := 0
		for _, p := range m.dependsOn[i] {
			if !m.finished[p] {
				want++
			}
		}
		if n.Unfinished() != want {
			m.t.Fatalf("seed %d: job %d waits for %d, want %d", seed, i, n.Unfinished(), want)
		}
	}
}

package slowfit

const (
	root   = 1  // index of the root of a pool's tree
	noLeaf = -1 // result of a search that finds no leaf
)

// query is a search in one pool for the first machine on which a task fits.
type query struct {
	pool    *pool
	task    Size
	maxLoad float64                  // the machine's maximum load without the task
	tags    uint64                   // tags that the machine must have
	accepts func(machine int32) bool // nil if the task may use all machines of the pool
	visited *int                     // incremented for each node visited
}

// improve replaces a candidate by the first machine of the pool on which the task fits, if that machine
// is better. Machines that the request prefers are considered before the others. score is the score of
// the pool.
func (q *query) improve(best *candidate, r *Request, score int) {
	if r.hasPreference() && best.canImprove(score+r.PreferredBonus) {
		preferred := *q
		preferred.tags |= r.PreferredTag
		preferred.accepts = func(machine int32) bool { return r.Preferred(machine) && r.accepts(machine) }
		if leaf := preferred.firstLeaf(root); leaf != noLeaf {
			best.consider(q.pool, leaf, score+r.PreferredBonus)
			return
		}
	}
	if !best.canImprove(score) {
		return
	}
	if leaf := q.firstLeaf(root); leaf != noLeaf {
		best.consider(q.pool, leaf, score)
	}
}

// firstLeaf returns the first leaf in the subtree of node i that satisfies the query, or noLeaf.
func (q *query) firstLeaf(i int) int {
	*q.visited++
	n := &q.pool.nodes[i]
	if n.load > q.maxLoad || n.tags&q.tags != q.tags || !q.task.Within(n.free) {
		return noLeaf
	}
	if i >= q.pool.leaves {
		leaf := i - q.pool.leaves
		if q.accepts != nil && !q.accepts(q.pool.machines[leaf]) {
			return noLeaf
		}
		return leaf
	}
	if leaf := q.firstLeaf(2 * i); leaf != noLeaf {
		return leaf
	}
	return q.firstLeaf(2*i + 1)
}

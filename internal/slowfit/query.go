package slowfit

// root is the root of a pool's tree, noLeaf the result of a search that finds none.
const (
	root   = 1
	noLeaf = -1
)

// query is a search in one pool for the first machine that has room for a task.
type query struct {
	pool    *pool
	task    Size
	maxLoad float64 // of the machine before it has the task
	tags    uint64  // that the machine must have
	// accepts, unless nil, excludes single machines.
	accepts func(machine int32) bool
	// visited counts the nodes that searches have visited.
	visited *int
}

// improve has a candidate replaced by the first machine of the pool that has room, if that is
// better. Machines that the request favours come before the others.
func (q *query) improve(best *candidate, r *Request, score int) {
	if r.hasPreference() && best.canImprove(score+r.PreferredBonus) {
		favourites := *q
		favourites.tags |= r.PreferredTag
		favourites.accepts = func(machine int32) bool { return r.Preferred(machine) && r.accepts(machine) }
		if leaf := favourites.firstLeaf(root); leaf != noLeaf {
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

// firstLeaf is the first leaf below a node that satisfies the query, or noLeaf.
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

package slowfit

import (
	"cmp"
	"math"
	"slices"
)

// Index keeps the machines that take tasks in the order in which SLOW-FIT looks
// at them, so that a task is placed, or found to have no room, without a scan
// of all machines. A pool holds machines that are alike in size and in what
// decides which jobs may use them; in it, a tree over the machines in their
// order knows of each part the most free room and the least load.
//
// Machines are the caller's dense indices. Their order, the paper's last
// tie-break, is that of Join.
type Index struct {
	pools []*pool
	speed []int // pools, the slowest first
	seats []seat
	// infeasible are sizes for which no open machine has room. On a full site many
	// jobs wait and hardly any has room: those must not cost a search each time
	// that some machine gets a little free.
	infeasible []Size
	looks      int
}

// maxInfeasible bounds the sizes that are remembered.
const maxInfeasible = 16

type seat struct{ pool, leaf int32 }

type pool struct {
	total Size
	open  int
	size  int // of the tree's lowest level, a power of two
	nodes []node
	// machines and ranks are by leaf; ranks are the order of joining, over all
	// pools.
	machines []int32
	ranks    []int
}

// node sums up a part of a pool: what no machine in it exceeds.
type node struct {
	free Size
	load float64
	tags uint64
}

var closed = node{free: Size{CPUs: -1, GPUs: -1, MemGB: -1}, load: math.Inf(1)}

// AddPool makes a pool of machines of one size and returns its number.
func (x *Index) AddPool(total Size) int {
	x.pools = append(x.pools, &pool{total: total})
	x.speed = append(x.speed, len(x.pools)-1)
	slices.SortStableFunc(x.speed, func(a, b int) int { return x.pools[a].total.slower(x.pools[b].total) })
	return len(x.pools) - 1
}

// slower orders sizes by cores, then memory.
func (s Size) slower(o Size) int {
	return cmp.Or(cmp.Compare(s.CPUs, o.CPUs), cmp.Compare(s.MemGB, o.MemGB))
}

// Join puts a machine into a pool, closed. One that is in another leaves that.
func (x *Index) Join(machine int32, to int) {
	x.Leave(machine)
	for int(machine) >= len(x.seats) {
		x.seats = append(x.seats, seat{-1, -1})
	}
	rank := 0
	for _, p := range x.pools {
		if n := len(p.ranks); n > 0 {
			rank = max(rank, p.ranks[n-1]+1)
		}
	}
	p := x.pools[to]
	if len(p.machines) == p.size {
		x.grow(to)
	}
	x.seats[machine] = seat{int32(to), int32(len(p.machines))}
	p.machines = append(p.machines, machine)
	p.ranks = append(p.ranks, rank)
	p.set(len(p.machines)-1, closed)
}

// Leave takes a machine out of its pool.
func (x *Index) Leave(machine int32) {
	if int(machine) >= len(x.seats) || x.seats[machine].pool < 0 {
		return
	}
	x.Close(machine)
	s := x.seats[machine]
	x.pools[s.pool].machines[s.leaf] = -1
	x.seats[machine] = seat{-1, -1}
}

// grow makes room for another leaf: by dropping those that were left, or by
// doubling the tree.
func (x *Index) grow(at int) {
	p := x.pools[at]
	old := *p
	p.machines, p.ranks = nil, nil
	for leaf, m := range old.machines {
		if m >= 0 {
			p.machines = append(p.machines, m)
			p.ranks = append(p.ranks, old.ranks[leaf])
		}
	}
	p.size = max(8, old.size)
	if 2*len(p.machines) > p.size {
		p.size *= 2
	}
	p.nodes = slices.Repeat([]node{closed}, 2*p.size)
	for leaf, m := range p.machines {
		p.nodes[p.size+leaf] = old.nodes[old.size+int(x.seats[m].leaf)]
		x.seats[m].leaf = int32(leaf)
	}
	p.sum()
}

// sum computes all inner nodes from the leaves.
func (p *pool) sum() {
	for i := p.size - 1; i > 0; i-- {
		p.nodes[i] = join(&p.nodes[2*i], &p.nodes[2*i+1])
	}
}

func join(a, b *node) node {
	return node{
		free: Size{max(a.free.CPUs, b.free.CPUs), max(a.free.GPUs, b.free.GPUs), max(a.free.MemGB, b.free.MemGB)},
		load: min(a.load, b.load),
		tags: a.tags | b.tags,
	}
}

func (p *pool) set(leaf int, n node) {
	at := p.size + leaf
	was, is := p.nodes[at].load, n.load
	if math.IsInf(was, 1) != math.IsInf(is, 1) {
		if math.IsInf(is, 1) {
			p.open--
		} else {
			p.open++
		}
	}
	p.nodes[at] = n
	for at /= 2; at > 0; at /= 2 {
		n := join(&p.nodes[2*at], &p.nodes[2*at+1])
		if n == p.nodes[at] {
			return
		}
		p.nodes[at] = n
	}
}

// Open tells that a machine takes tasks, its free room, the load that counts
// towards the goal, and its tags: bits of which a Request may ask for one.
func (x *Index) Open(machine int32, free Size, load float64, tags uint64) {
	s := x.seats[machine]
	x.pools[s.pool].set(int(s.leaf), node{free, load, tags})
	x.infeasible = slices.DeleteFunc(x.infeasible, func(b Size) bool { return b.Within(free) })
}

// Looks is how many nodes have been looked at so far.
func (x *Index) Looks() int { return x.looks }

// Infeasible tells whether it is known that no open machine has room for a task.
func (x *Index) Infeasible(task Size) bool {
	return slices.ContainsFunc(x.infeasible, func(b Size) bool { return b.Within(task) })
}

// noteInfeasible remembers a task's size if no open machine at all has room for it.
func (x *Index) noteInfeasible(task Size) {
	for _, p := range x.pools {
		if q := (query{x: x, p: p, task: task, load: math.Inf(1)}); p.open > 0 && q.first(1) >= 0 {
			return // it has room, only not where this job may go
		}
	}
	x.infeasible = slices.DeleteFunc(x.infeasible, func(b Size) bool { return task.Within(b) })
	if len(x.infeasible) < maxInfeasible {
		x.infeasible = append(x.infeasible, task)
	}
}

// Close tells that a machine takes no tasks.
func (x *Index) Close(machine int32) {
	if int(machine) < len(x.seats) && x.seats[machine].pool >= 0 {
		s := x.seats[machine]
		x.pools[s.pool].set(int(s.leaf), closed)
	}
}

// ClearLoads has the load of all machines count as nothing, as at the start of
// a phase.
func (x *Index) ClearLoads() {
	for _, p := range x.pools {
		for leaf := range p.machines {
			if n := &p.nodes[p.size+leaf]; !math.IsInf(n.load, 1) {
				n.load = 0
			}
		}
		if p.size > 0 {
			p.sum()
		}
	}
}

// Request is a task as placement sees it.
type Request struct {
	Task Size
	// Pool tells whether the task may use a pool's machines, and their merit:
	// it breaks ties between equally slow machines, before their order does.
	Pool func(pool int) (allowed bool, merit int)
	// Favoured, unless nil, tells machines that have Bonus more merit. All that
	// it accepts carry the tag FavouredTag.
	Favoured    func(machine int32) bool
	FavouredTag uint64
	Bonus       int
	// Allowed, unless nil, bars single machines. All that it accepts carry the
	// tag AllowedTag.
	Allowed    func(machine int32) bool
	AllowedTag uint64
}

// Place names the machine for one task, or -1 when none has room. When some
// machine has room but none passes the goal, L doubles and load booked before
// counts as nothing, until one passes.
func (x *Index) Place(g *Goal, w *Request) int32 {
	if x.Infeasible(w.Task) {
		return -1
	}
	if g.L == 0 {
		if x.find(w, math.Inf(1), math.Inf(1)) < 0 {
			x.noteInfeasible(w.Task)
			return -1
		}
		if g.L = x.fastestShare(w.Task); g.L == 0 {
			// A task that weighs nothing, anywhere.
			return x.find(w, math.Inf(1), math.Inf(1))
		}
	}
	for room := false; ; {
		if at := x.find(w, g.L, g.C*g.L); at >= 0 {
			return at
		}
		if !room && x.find(w, math.Inf(1), math.Inf(1)) < 0 {
			x.noteInfeasible(w.Task)
			return -1
		}
		room = true
		g.L *= 2
		g.Phase++
		x.ClearLoads()
	}
}

// fastestShare is a task's load on the fastest open machine that can carry it
// at all.
func (x *Index) fastestShare(task Size) float64 {
	for k := len(x.speed) - 1; k >= 0; k-- {
		p := x.pools[x.speed[k]]
		if share := task.Share(p.total); p.open > 0 && !math.IsInf(share, 1) {
			return share
		}
	}
	return 0
}

// find names the slowest machine that has room and passes the goal: a load of
// the task of at most most, and a total within limit.
func (x *Index) find(w *Request, most, limit float64) int32 {
	for from := 0; from < len(x.speed); {
		// The pools of one speed are judged together.
		to := from + 1
		for to < len(x.speed) && x.pools[x.speed[from]].total.slower(x.pools[x.speed[to]].total) == 0 {
			to++
		}
		if m := x.findAmong(w, x.speed[from:to], most, limit); m >= 0 {
			return m
		}
		from = to
	}
	return -1
}

// candidate is the best machine found so far: the one with the most merit, and the
// lowest rank among equals. Its machine is -1 while there is none.
type candidate struct {
	machine     int32
	merit, rank int
}

// reachable tells whether a machine of some merit could be better.
func (b *candidate) reachable(merit int) bool { return b.machine < 0 || merit >= b.merit }

// consider takes a machine if it is better.
func (b *candidate) consider(p *pool, leaf, merit int) {
	if b.machine < 0 || merit > b.merit || merit == b.merit && p.ranks[leaf] < b.rank {
		b.machine, b.merit, b.rank = p.machines[leaf], merit, p.ranks[leaf]
	}
}

// findAmong is find for pools of machines of one speed.
func (x *Index) findAmong(w *Request, pools []int, most, limit float64) int32 {
	best := candidate{machine: -1}
	for _, at := range pools {
		p := x.pools[at]
		if p.open == 0 || !w.Task.Within(p.nodes[1].free) {
			continue
		}
		share := w.Task.Share(p.total)
		if share > most+slack || math.IsInf(share, 1) {
			continue
		}
		allowed, merit := w.Pool(at)
		if !allowed {
			continue
		}
		q := query{x: x, p: p, task: w.Task, load: limit - share + slack, tags: w.AllowedTag, accepts: w.Allowed}
		if w.Favoured != nil && w.Bonus > 0 && best.reachable(merit+w.Bonus) {
			f := q
			f.tags |= w.FavouredTag
			f.accepts = func(m int32) bool { return w.Favoured(m) && (w.Allowed == nil || w.Allowed(m)) }
			if leaf := f.first(1); leaf >= 0 {
				best.consider(p, leaf, merit+w.Bonus)
				continue
			}
		}
		if best.reachable(merit) {
			if leaf := q.first(1); leaf >= 0 {
				best.consider(p, leaf, merit)
			}
		}
	}
	return best.machine
}

type query struct {
	x       *Index
	p       *pool
	task    Size
	load    float64
	tags    uint64
	accepts func(machine int32) bool
}

// first finds the first leaf below a node that satisfies the query, or -1.
func (q *query) first(at int) int {
	q.x.looks++
	n := &q.p.nodes[at]
	if n.load > q.load || n.tags&q.tags != q.tags || !q.task.Within(n.free) {
		return -1
	}
	if at >= q.p.size {
		leaf := at - q.p.size
		if q.accepts != nil && !q.accepts(q.p.machines[leaf]) {
			return -1
		}
		return leaf
	}
	if leaf := q.first(2 * at); leaf >= 0 {
		return leaf
	}
	return q.first(2*at + 1)
}

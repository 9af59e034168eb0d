package slowfit

import "math"

// scannedMachine is a machine as input of the scan.
type scannedMachine struct {
	Total, Free Size
	Index       int
	Allowed     bool
	Score       int
	Load        float64
}

// slower orders machines by speed, slowest first, and then by index.
func slower(a, b *scannedMachine) bool {
	if order := a.Total.compareSpeed(b.Total); order != 0 {
		return order < 0
	}
	return a.Index < b.Index
}

// scan places a task as the paper describes it, by a scan of all machines. It is the reference
// implementation with which the index is compared. It returns the position in machines, or -1 if the
// task fits none. It modifies the machines.
func scan(g *Goal, machines []scannedMachine, task Size) int {
	feasible := false
	for i := range machines {
		m := &machines[i]
		m.Allowed = m.Allowed && task.Within(m.Free)
		feasible = feasible || m.Allowed
	}
	if !feasible {
		return -1
	}
	if g.L == 0 {
		g.L = task.Share(machines[fastestFor(machines, task)].Total)
	}
	for {
		if best := slowestAssignable(g, machines, task); best >= 0 {
			return best
		}
		g.L *= 2
		g.Phase++
		for i := range machines {
			machines[i].Load = 0
		}
	}
}

// fastestFor returns the position of the fastest machine on which a task would fit if the machine were
// empty, or -1.
func fastestFor(machines []scannedMachine, task Size) int {
	fastest := -1
	for i := range machines {
		if !math.IsInf(task.Share(machines[i].Total), 1) && (fastest < 0 || slower(&machines[fastest], &machines[i])) {
			fastest = i
		}
	}
	return fastest
}

// slowestAssignable returns the position of the slowest machine that is assignable for a task and on
// which it fits, or -1.
func slowestAssignable(g *Goal, machines []scannedMachine, task Size) int {
	best := -1
	for i := range machines {
		m := &machines[i]
		load := task.Share(m.Total)
		if !m.Allowed || g.L > 0 && (load > g.L+tolerance || m.Load+load > g.C*g.L+tolerance) {
			continue
		}
		if best < 0 || comesBefore(m, &machines[best]) {
			best = i
		}
	}
	return best
}

// comesBefore orders assignable machines by speed, then by score, then by index.
func comesBefore(a, b *scannedMachine) bool {
	if a.Total.compareSpeed(b.Total) == 0 && a.Score != b.Score {
		return a.Score > b.Score
	}
	return slower(a, b)
}

package slowfit

import "math"

// scannedMachine is a machine as the scan sees it.
type scannedMachine struct {
	Total, Free Size
	Index       int
	Allowed     bool
	Score       int
	Load        float64
}

func slower(a, b *scannedMachine) bool {
	if order := a.Total.compareSpeed(b.Total); order != 0 {
		return order < 0
	}
	return a.Index < b.Index
}

// scan places a task as the paper has it, by a scan of every machine. It is what the index is
// compared with. It returns the place in the list, or -1.
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

// fastestFor is the fastest machine that could carry a task if it were empty.
func fastestFor(machines []scannedMachine, task Size) int {
	fastest := -1
	for i := range machines {
		if !math.IsInf(task.Share(machines[i].Total), 1) && (fastest < 0 || slower(&machines[fastest], &machines[i])) {
			fastest = i
		}
	}
	return fastest
}

// slowestAssignable is the slowest machine that is assignable for a task and has room.
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

// comesBefore orders assignable machines: by speed, then score, then index.
func comesBefore(a, b *scannedMachine) bool {
	if a.Total.compareSpeed(b.Total) == 0 && a.Score != b.Score {
		return a.Score > b.Score
	}
	return slower(a, b)
}

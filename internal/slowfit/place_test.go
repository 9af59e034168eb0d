package slowfit

import (
	"math"
	"testing"
)

// newMachine is a machine with four times as much memory as cores, all of it free.
func newMachine(i int, cpus, free, load float64) scannedMachine {
	return scannedMachine{Total: Size{CPUs: cpus, MemGB: cpus * 4}, Free: Size{CPUs: free, MemGB: cpus * 4}, Index: i, Allowed: true, Load: load}
}

// cores is a small task of some cores.
func cores(n float64) Size { return Size{CPUs: n, MemGB: 1} }

// TestPlace has cases that are worked out by hand from section 4 of the paper.
func TestPlace(t *testing.T) {
	preferred := func(m scannedMachine) scannedMachine { m.Score = 1; return m }
	excluded := func(m scannedMachine) scannedMachine { m.Allowed = false; return m }
	cases := []struct {
		name     string
		goal     Goal
		machines []scannedMachine
		task     Size
		want     int
		wantL    float64
		phases   uint32
	}{
		{"the first task sets L on the fastest machine, and only that one is assignable", Goal{C: 5},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 16, 0)}, cores(4), 1, 0.25, 0},
		{"the fastest sets L even where it has no room", Goal{C: 5},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 0, 0)}, cores(2), 0, 0.5, 2},
		{"the slowest assignable machine is taken", Goal{C: 5, L: 0.5},
			[]scannedMachine{newMachine(0, 16, 16, 0), newMachine(1, 8, 8, 0), newMachine(2, 4, 4, 0)}, cores(4), 1, 0.5, 0},
		{"among equals the lowest index", Goal{C: 5, L: 1},
			[]scannedMachine{newMachine(7, 8, 8, 0), newMachine(3, 8, 8, 0)}, cores(4), 1, 1, 0},
		{"among equals one of a higher score", Goal{C: 5, L: 1},
			[]scannedMachine{preferred(newMachine(7, 8, 8, 0)), newMachine(3, 8, 8, 0)}, cores(4), 0, 1, 0},
		{"score does not outweigh speed", Goal{C: 5, L: 1},
			[]scannedMachine{preferred(newMachine(0, 16, 16, 0)), newMachine(1, 8, 8, 0)}, cores(4), 1, 1, 0},
		{"a machine at c times L is not assignable", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 3, 0.625), newMachine(1, 8, 8, 0)}, cores(1), 1, 0.125, 0},
		{"room but none assignable: L doubles until one is and old load counts as nothing", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 3, 0.625), newMachine(1, 8, 2, 0.625)}, cores(1), 0, 0.25, 1},
		{"no room: the task waits and L stays", Goal{C: 5, L: 0.125},
			[]scannedMachine{newMachine(0, 8, 0, 0.625), newMachine(1, 8, 0.5, 0)}, cores(1), -1, 0.125, 0},
		{"free resources bound even an assignable machine", Goal{C: 5, L: 4},
			[]scannedMachine{newMachine(0, 8, 1, 0), newMachine(1, 16, 16, 0)}, cores(2), 1, 4, 0},
		{"a machine that the job may not use is skipped", Goal{C: 5, L: 1},
			[]scannedMachine{excluded(newMachine(0, 4, 4, 0)), newMachine(1, 8, 8, 0)}, cores(1), 1, 1, 0},
		{"memory counts when it is the larger share", Goal{C: 5, L: 0.25},
			[]scannedMachine{newMachine(0, 4, 4, 0), newMachine(1, 16, 16, 0)}, Size{CPUs: 1, MemGB: 16}, 1, 0.25, 0},
		{"nothing there at all", Goal{C: 5}, nil, cores(1), -1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := c.goal
			if got := scan(&g, c.machines, c.task); got != c.want {
				t.Errorf("the scan places on %d, want %d", got, c.want)
			}
			if math.Abs(g.L-c.wantL) > 1e-9 || g.Phase != c.phases {
				t.Errorf("L = %v in phase %d, want %v in %d", g.L, g.Phase, c.wantL, c.phases)
			}
		})
	}
}

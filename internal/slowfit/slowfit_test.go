package slowfit

import (
	"math"
	"testing"
)

func mach(i int, cpus, free, load float64) Machine {
	return Machine{Total: Size{CPUs: cpus, MemGB: cpus * 4}, Free: Size{CPUs: free, MemGB: cpus * 4}, Index: i, Allowed: true, Load: load}
}

func cpu(n float64) Size { return Size{CPUs: n, MemGB: 1} }

// The cases are worked out by hand from section 4 of the paper.
func TestPlace(t *testing.T) {
	better := func(m Machine) Machine { m.Merit = 1; return m }
	barred := func(m Machine) Machine { m.Allowed = false; return m }
	cases := []struct {
		name     string
		goal     Goal
		machines []Machine
		task     Size
		want     int
		wantL    float64
		phases   uint32
	}{
		{"the first task sets L on the fastest machine, and only that one passes", Goal{C: 5},
			[]Machine{mach(0, 4, 4, 0), mach(1, 16, 16, 0)}, cpu(4), 1, 0.25, 0},
		{"the fastest sets L even where it has no room", Goal{C: 5},
			[]Machine{mach(0, 4, 4, 0), mach(1, 16, 0, 0)}, cpu(2), 0, 0.5, 2},
		{"the slowest assignable machine is taken", Goal{C: 5, L: 0.5},
			[]Machine{mach(0, 16, 16, 0), mach(1, 8, 8, 0), mach(2, 4, 4, 0)}, cpu(4), 1, 0.5, 0},
		{"among equals the lowest index", Goal{C: 5, L: 1},
			[]Machine{mach(7, 8, 8, 0), mach(3, 8, 8, 0)}, cpu(4), 1, 1, 0},
		{"among equals one of more merit", Goal{C: 5, L: 1},
			[]Machine{better(mach(7, 8, 8, 0)), mach(3, 8, 8, 0)}, cpu(4), 0, 1, 0},
		{"merit does not outweigh speed", Goal{C: 5, L: 1},
			[]Machine{better(mach(0, 16, 16, 0)), mach(1, 8, 8, 0)}, cpu(4), 1, 1, 0},
		{"a machine at c times L is passed over", Goal{C: 5, L: 0.125},
			[]Machine{mach(0, 8, 3, 0.625), mach(1, 8, 8, 0)}, cpu(1), 1, 0.125, 0},
		{"room but no goal: L doubles until one passes and old load counts as nothing", Goal{C: 5, L: 0.125},
			[]Machine{mach(0, 8, 3, 0.625), mach(1, 8, 2, 0.625)}, cpu(1), 0, 0.25, 1},
		{"no room: the task waits and L stays", Goal{C: 5, L: 0.125},
			[]Machine{mach(0, 8, 0, 0.625), mach(1, 8, 0.5, 0)}, cpu(1), -1, 0.125, 0},
		{"booked room bounds even where the goal would pass", Goal{C: 5, L: 4},
			[]Machine{mach(0, 8, 1, 0), mach(1, 16, 16, 0)}, cpu(2), 1, 4, 0},
		{"a machine that the job may not use is skipped", Goal{C: 5, L: 1},
			[]Machine{barred(mach(0, 4, 4, 0)), mach(1, 8, 8, 0)}, cpu(1), 1, 1, 0},
		{"memory counts when it is the larger share", Goal{C: 5, L: 0.25},
			[]Machine{mach(0, 4, 4, 0), mach(1, 16, 16, 0)}, Size{CPUs: 1, MemGB: 16}, 1, 0.25, 0},
		{"nothing there at all", Goal{C: 5}, nil, cpu(1), -1, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := c.goal
			if got := g.Place(c.machines, c.task); got != c.want {
				t.Errorf("placed on %d, want %d", got, c.want)
			}
			if math.Abs(g.L-c.wantL) > 1e-9 || g.Phase != c.phases {
				t.Errorf("L = %v in phase %d, want %v in %d", g.L, g.Phase, c.wantL, c.phases)
			}
		})
	}
}

func TestFall(t *testing.T) {
	cases := []struct {
		name              string
		l, busiest, wantL float64
		phases            uint32
	}{
		{"stays while the busiest machine needs it", 0.5, 0.4, 0.5, 0},
		{"halves when loads have fallen well below", 0.5, 0.1, 0.25, 1},
		{"starts anew when nothing runs", 0.5, 0, 0, 1},
		{"has not begun", 0, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := Goal{C: 5, L: c.l}
			g.Fall(c.busiest)
			if g.L != c.wantL || g.Phase != c.phases {
				t.Errorf("L = %v in phase %d, want %v in %d", g.L, g.Phase, c.wantL, c.phases)
			}
		})
	}
}

func TestSizes(t *testing.T) {
	total := Size{CPUs: 8, GPUs: 0, MemGB: 32}
	cases := []struct {
		size  Size
		share float64
		slots int
	}{
		{Size{CPUs: 2, MemGB: 2}, 0.25, 4},
		{Size{CPUs: 1, MemGB: 16}, 0.5, 2},
		{Size{CPUs: 1, GPUs: 1}, math.Inf(1), 0},
		{Size{CPUs: 0.1}, 0.0125, 80}, // sums of decimals must not lose a slot
		{Size{CPUs: 9}, 1.125, 0},
	}
	for _, c := range cases {
		if got := c.size.Share(total); got != c.share {
			t.Errorf("%v takes a share of %v, want %v", c.size, got, c.share)
		}
		if got := c.size.Slots(total); got != c.slots {
			t.Errorf("%v fits %d times, want %d", c.size, got, c.slots)
		}
	}
}

package slowfit

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"leadproxy/internal/property"
)

// Machine is a machine as the plain scan sees it.
type Machine struct {
	Total, Free Size
	Index       int
	Allowed     bool
	Merit       int
	Load        float64
}

func slower(a, b *Machine) bool {
	if d := a.Total.slower(b.Total); d != 0 {
		return d < 0
	}
	return a.Index < b.Index
}

// scan places a task as the paper has it, looking at every machine: what the
// index must agree with.
func scan(g *Goal, machines []Machine, task Size) int {
	room := false
	for i := range machines {
		m := &machines[i]
		m.Allowed = m.Allowed && task.Within(m.Free)
		room = room || m.Allowed
	}
	if !room {
		return -1
	}
	if g.L == 0 {
		fastest := -1
		for i := range machines {
			if !math.IsInf(task.Share(machines[i].Total), 1) && (fastest < 0 || slower(&machines[fastest], &machines[i])) {
				fastest = i
			}
		}
		g.L = task.Share(machines[fastest].Total)
	}
	for {
		best := -1
		for i := range machines {
			m := &machines[i]
			w := task.Share(m.Total)
			if !m.Allowed || g.L > 0 && (w > g.L+slack || m.Load+w > g.C*g.L+slack) {
				continue
			}
			if best < 0 {
				best = i
				continue
			}
			b := &machines[best]
			if m.Total.slower(b.Total) == 0 && m.Merit != b.Merit {
				if m.Merit > b.Merit {
					best = i
				}
			} else if slower(m, b) {
				best = i
			}
		}
		if best >= 0 {
			return best
		}
		g.L *= 2
		g.Phase++
		for i := range machines {
			machines[i].Load = 0
		}
	}
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

// TestIndexAgreesWithTheScan plays long random histories from one seed.
func TestIndexAgreesWithTheScan(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for round := range 60 {
		agreesWithTheScan(t, r, round, 400, scales[round%len(scales)], factors[round/3%len(factors)])
	}
}

// TestIndexProperty has rapid look for a short history in which they differ.
func TestIndexProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agreesWithTheScan(t, property.Drawn{T: t}, rapid.IntRange(0, 20).Draw(t, "machines"), rapid.IntRange(50, 300).Draw(t, "steps"), rapid.SampledFrom(scales).Draw(t, "scale"), rapid.SampledFrom(factors).Draw(t, "c"))
	})
}

// scales are how large tasks are. Only small ones, many to a machine, bring totals near
// c times L, where load counts.
var scales = []float64{1, 0.125, 0.02}

// factors are values of c. With less than 2, load that should count as nothing after a
// doubling decides.
var factors = []float64{5, 1}

// agreesWithTheScan plays one history of machines that come, go and fill up, and
// compares each placement.
func agreesWithTheScan(t failer, r property.Chooser, round, steps int, scale, factor float64) {
	sizes := []Size{{4, 0, 16}, {8, 0, 32}, {8, 2, 32}, {32, 0, 128}}
	type group struct {
		size, zone int
		spot       bool
	}
	x := &Index{}
	g := Goal{C: factor}
	ref := Goal{C: factor}
	var groups []group
	for s := range sizes {
		for z := range 2 {
			for _, spot := range []bool{true, false} {
				x.AddPool(sizes[s])
				groups = append(groups, group{s, z, spot})
			}
		}
	}
	type host struct {
		Machine
		group int
		image uint64
		open  bool
		phase uint32
	}
	var hosts []host
	join := func() {
		k := r.IntN(len(groups))
		h := host{Machine: Machine{Total: sizes[groups[k].size], Free: sizes[groups[k].size], Index: len(hosts)}, group: k, image: uint64(r.IntN(8)), open: true}
		x.Join(int32(len(hosts)), k)
		hosts = append(hosts, h)
	}
	show := func(i int) {
		h := &hosts[i]
		if !h.open {
			x.Close(int32(i))
			return
		}
		if h.phase != g.Phase {
			h.phase, h.Load = g.Phase, 0
		}
		x.Open(int32(i), h.Free, h.Load, h.image)
	}
	for range 3 + round {
		join()
		show(len(hosts) - 1)
	}
	for step := range steps {
		switch r.IntN(12) {
		case 0: // all room of a machine is given back
			i := r.IntN(len(hosts))
			hosts[i].Free, hosts[i].Load = hosts[i].Total, 0
			show(i)
		case 1:
			i := r.IntN(len(hosts))
			hosts[i].open = !hosts[i].open
			show(i)
		case 2:
			i := r.IntN(len(hosts))
			hosts[i].image = uint64(r.IntN(8))
			show(i)
		case 3:
			join()
			show(len(hosts) - 1)
		}
		task := Size{CPUs: scale * float64(1+r.IntN(8)), MemGB: scale * float64(1+r.IntN(12))}
		if r.IntN(6) == 0 {
			task.GPUs = 1
		}
		zone, spotOnly, barred, tag := r.IntN(3), r.IntN(3) == 0, r.IntN(len(hosts)), uint64(1)<<r.IntN(3)
		must := r.IntN(4) == 0
		w := Request{Task: task, Bonus: 1 + r.IntN(2), FavouredTag: tag,
			Pool: func(p int) (bool, int) {
				merit := 0
				if groups[p].spot {
					merit = 1
				}
				return (zone == 2 || groups[p].zone == zone) && (!spotOnly || groups[p].spot), merit
			},
			Favoured: func(m int32) bool { return hosts[m].image&tag != 0 },
			Allowed:  func(m int32) bool { return int(m) != barred && (!must || hosts[m].image&tag != 0) },
		}
		if must {
			w.AllowedTag = tag
		}
		var view []Machine
		var at []int
		for i, h := range hosts {
			if !h.open {
				continue
			}
			m := h.Machine
			if h.phase != ref.Phase {
				m.Load = 0
			}
			ok, merit := w.Pool(h.group)
			m.Allowed, m.Merit = ok && w.Allowed(int32(i)), merit
			if w.Favoured(int32(i)) {
				m.Merit += w.Bonus
			}
			view, at = append(view, m), append(at, i)
		}
		want := int32(-1)
		if k := scan(&ref, view, task); k >= 0 {
			want = int32(at[k])
		}
		got := x.Place(&g, &w)
		if got != want || g != ref {
			t.Fatalf("round %d, step %d: the index says %d with %+v, the scan %d with %+v", round, step, got, g, want, ref)
		}
		if got >= 0 {
			h := &hosts[got]
			h.Free = h.Free.Minus(task)
			if h.phase != g.Phase {
				h.phase, h.Load = g.Phase, 0
			}
			h.Load += task.Share(h.Total)
			show(int(got))
		}
		if r.IntN(60) == 0 {
			phase := g.Phase
			g.Fall(0.01)
			ref.Fall(0.01)
			if g.Phase != phase {
				x.ClearLoads()
			}
		}
	}
}

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
			if got := scan(&g, c.machines, c.task); got != c.want {
				t.Errorf("the scan places on %d, want %d", got, c.want)
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

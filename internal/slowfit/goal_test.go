package slowfit

import "testing"

func TestGoalLower(t *testing.T) {
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
			g.Lower(c.busiest)
			if g.L != c.wantL || g.Phase != c.phases {
				t.Errorf("L = %v in phase %d, want %v in %d", g.L, g.Phase, c.wantL, c.phases)
			}
		})
	}
}

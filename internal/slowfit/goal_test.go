package slowfit

import "testing"

// TestGoalLower guards against a goal that stays high after a burst and then limits nothing, and
// against one that falls although the load still needs it.
func TestGoalLower(t *testing.T) {
	cases := []struct {
		name                     string
		initialL, optimum, wantL float64
		phases                   uint32
	}{
		{"unchanged while the load is at least half of L", 0.5, 0.4, 0.5, 0},
		{"halved when the load is below half of L", 0.5, 0.1, 0.25, 1},
		{"reset to 0 without any load", 0.5, 0, 0, 1},
		{"unchanged if no task has been placed yet", 0, 0, 0, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			g := Goal{C: 5, L: testCase.initialL}
			g.Lower(testCase.optimum)
			if g.L != testCase.wantL || g.Phase != testCase.phases {
				t.Errorf("L = %v in phase %d, want %v in phase %d", g.L, g.Phase, testCase.wantL, testCase.phases)
			}
		})
	}
}

package federation

import (
	"testing"
	"time"
)

// TestShortage: the state changes only after it was contradicted for the minimum duration.
func TestShortage(t *testing.T) {
	cases := []struct{ observations, want string }{
		{"ssssssss", "....ssss"},
		{"sss.ssss", "........"},
		{"sss.sssss", "........s"},
		{"sssss.....", "....sssss."},
		{"sssss....s", "....ssssss"},
		{"sssss...s...s", "....sssssssss"},
		{"........", "........"},
	}
	for _, c := range cases {
		s := Shortage{MinDuration: 4 * time.Second}
		got := ""
		for i, observation := range c.observations {
			mark := "."
			if s.Observe(time.Duration(i)*time.Second, observation == 's') {
				mark = "s"
			}
			got += mark
		}
		if got != c.want {
			t.Errorf("observations %s: %s, want %s", c.observations, got, c.want)
		}
	}
}

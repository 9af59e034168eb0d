package federation

import (
	"testing"
	"time"
)

// TestShortage checks that the state changes only after the opposite was observed for MinDuration
// without interruption. In the cases, s is an observed or reported shortage, one character a second.
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
	for _, testCase := range cases {
		shortage := Shortage{MinDuration: 4 * time.Second}
		got := ""
		for i, observation := range testCase.observations {
			mark := "."
			if shortage.Observe(time.Duration(i)*time.Second, observation == 's') {
				mark = "s"
			}
			got += mark
		}
		if got != testCase.want {
			t.Errorf("observations %s: got states %s, want %s", testCase.observations, got, testCase.want)
		}
	}
}

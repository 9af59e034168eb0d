package slowfit

import (
	"math"
	"testing"
)

// TestShareAndSlots checks the load and the number of tasks of one size on a machine with 8 cores, no
// GPU and 32 GB of memory.
func TestShareAndSlots(t *testing.T) {
	total := Size{CPUs: 8, GPUs: 0, MemGB: 32}
	cases := []struct {
		name  string
		size  Size
		share float64
		slots int
	}{
		{"CPUs are the larger share", Size{CPUs: 2, MemGB: 2}, 0.25, 4},
		{"memory is the larger share", Size{CPUs: 1, MemGB: 16}, 0.5, 2},
		{"the machine lacks a resource", Size{CPUs: 1, GPUs: 1}, math.Inf(1), 0},
		{"rounding errors of decimal amounts cost no slot", Size{CPUs: 0.1}, 0.0125, 80},
		{"larger than the machine", Size{CPUs: 9}, 1.125, 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			if got := testCase.size.Share(total); got != testCase.share {
				t.Errorf("share of %v is %v, want %v", testCase.size, got, testCase.share)
			}
			if got := testCase.size.Slots(total); got != testCase.slots {
				t.Errorf("%v fits %d times, want %d times", testCase.size, got, testCase.slots)
			}
		})
	}
}

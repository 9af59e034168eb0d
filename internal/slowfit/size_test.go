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

// TestFit guards against tasks that need next to nothing and fit a machine that is full, and against
// rounding errors in sums of decimal amounts that keep a task from the last free part of a machine.
func TestFit(t *testing.T) {
	cases := []struct {
		name string
		size Size
		free Size
		want bool
	}{
		{"rounding errors of decimal amounts", Size{CPUs: 0.1}, Size{CPUs: 0.1 - 1e-12}, true},
		{"a rounding error below zero, and the resource is not needed", Size{MemGB: 1}, Size{CPUs: -1e-12, MemGB: 1}, true},
		{"next to nothing on a full machine", Size{CPUs: 1e-9}, Size{}, false},
		{"the least amount on a full machine", Size{CPUs: 5e-324}, Size{}, false},
		{"a whole machine beside a task that needs little", Size{CPUs: 16}, Size{CPUs: 16 - 1e-6}, false},
		{"nothing on a full machine", Size{}, Size{}, true},
		{"as many tasks as a machine may run", Size{Tasks: 1}, Size{Tasks: 0}, false},
		{"one task less", Size{Tasks: 1}, Size{Tasks: 1}, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			if got := testCase.size.Within(testCase.free); got != testCase.want {
				t.Errorf("%+v within %+v: %t, want %t", testCase.size, testCase.free, got, testCase.want)
			}
		})
	}
}

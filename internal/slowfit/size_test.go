package slowfit

import (
	"math"
	"testing"
)

func TestShareAndSlots(t *testing.T) {
	total := Size{CPUs: 8, GPUs: 0, MemGB: 32}
	cases := []struct {
		name  string
		size  Size
		share float64
		slots int
	}{
		{"cores are the larger share", Size{CPUs: 2, MemGB: 2}, 0.25, 4},
		{"memory is the larger share", Size{CPUs: 1, MemGB: 16}, 0.5, 2},
		{"the machine lacks a resource", Size{CPUs: 1, GPUs: 1}, math.Inf(1), 0},
		{"sums of decimals lose no slot", Size{CPUs: 0.1}, 0.0125, 80},
		{"more than the machine has", Size{CPUs: 9}, 1.125, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.size.Share(total); got != c.share {
				t.Errorf("%v takes a share of %v, want %v", c.size, got, c.share)
			}
			if got := c.size.Slots(total); got != c.slots {
				t.Errorf("%v fits %d times, want %d", c.size, got, c.slots)
			}
		})
	}
}

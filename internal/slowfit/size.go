package slowfit

import (
	"cmp"
	"math"
)

// Size is an amount of each resource.
type Size struct {
	CPUs, GPUs, MemGB float64
}

// tolerance absorbs the rounding of sums of decimal amounts.
const tolerance = 1e-6

// Plus adds o to s.
func (s Size) Plus(other Size) Size {
	return Size{s.CPUs + other.CPUs, s.GPUs + other.GPUs, s.MemGB + other.MemGB}
}

// Minus takes o from s.
func (s Size) Minus(other Size) Size {
	return Size{s.CPUs - other.CPUs, s.GPUs - other.GPUs, s.MemGB - other.MemGB}
}

// Times multiplies a size.
func (s Size) Times(factor float64) Size {
	return Size{s.CPUs * factor, s.GPUs * factor, s.MemGB * factor}
}

// Within tells whether s fits into free.
func (s Size) Within(free Size) bool {
	return s.CPUs <= free.CPUs+tolerance && s.GPUs <= free.GPUs+tolerance && s.MemGB <= free.MemGB+tolerance
}

// maxSlots is how many tasks go anywhere that take nothing of any resource.
const maxSlots = 1e6

// Slots is how many tasks of size s go into free.
func (s Size) Slots(free Size) int {
	slots := min(slotsOf(s.CPUs, free.CPUs), slotsOf(s.GPUs, free.GPUs), slotsOf(s.MemGB, free.MemGB))
	return int(max(0, slots))
}

// slotsOf is how often an amount of one resource goes into what is free of it.
func slotsOf(amount, free float64) float64 {
	if amount <= 0 {
		return maxSlots
	}
	return min(maxSlots, math.Floor(free/amount+tolerance))
}

// Share is the load that a task of size s puts on a machine of size total: the
// largest share that it takes of any resource. It is infinite if the machine lacks one.
func (s Size) Share(total Size) float64 {
	return max(shareOf(s.CPUs, total.CPUs), shareOf(s.GPUs, total.GPUs), shareOf(s.MemGB, total.MemGB))
}

// shareOf is the share that an amount takes of a machine's total of one resource.
func shareOf(amount, total float64) float64 {
	switch {
	case amount <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return amount / total
}

// compareSpeed orders machines by their sizes, the slower one first: by cores, then memory.
func (s Size) compareSpeed(other Size) int {
	return cmp.Or(cmp.Compare(s.CPUs, other.CPUs), cmp.Compare(s.MemGB, other.MemGB))
}

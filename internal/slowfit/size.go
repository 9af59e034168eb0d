package slowfit

import (
	"cmp"
	"math"
)

// Size is an amount of each resource.
type Size struct {
	CPUs, GPUs, MemGB float64
	// Tasks is the number of tasks: 1 for a task, and what a machine may run at once.
	Tasks float64
}

// tolerance absorbs rounding errors in numbers of tasks and in loads.
const tolerance = 1e-6

// Rounding errors in sums of decimal amounts are absorbed up to maxRoundingError, but no more than
// roundingShare of a task's amount: a task that needs next to nothing does not fit a full machine.
const (
	maxRoundingError = 1e-9 // cores, GPUs or GB
	roundingShare    = 1e-6
)

// Plus returns the sum of s and other.
func (s Size) Plus(other Size) Size {
	return Size{s.CPUs + other.CPUs, s.GPUs + other.GPUs, s.MemGB + other.MemGB, s.Tasks + other.Tasks}
}

// Minus returns s less other.
func (s Size) Minus(other Size) Size {
	return Size{s.CPUs - other.CPUs, s.GPUs - other.GPUs, s.MemGB - other.MemGB, s.Tasks - other.Tasks}
}

// Times returns s multiplied by factor.
func (s Size) Times(factor float64) Size {
	return Size{s.CPUs * factor, s.GPUs * factor, s.MemGB * factor, s.Tasks * factor}
}

// Within reports whether a task of size s fits into free.
func (s Size) Within(free Size) bool {
	return fits(s.CPUs, free.CPUs) && fits(s.GPUs, free.GPUs) && fits(s.MemGB, free.MemGB) && fits(s.Tasks, free.Tasks)
}

// fits reports whether an amount of one resource fits into the free amount of it.
func fits(amount, free float64) bool {
	if amount <= 0 {
		return free >= -maxRoundingError
	}
	return amount-min(amount*roundingShare, maxRoundingError) <= free
}

// maxSlots is the result of Slots for a task that needs no resources, and its upper bound.
const maxSlots = 1e6

// Slots returns how many tasks of size s fit into free.
func (s Size) Slots(free Size) int {
	slots := min(slotsOf(s.CPUs, free.CPUs), slotsOf(s.GPUs, free.GPUs), slotsOf(s.MemGB, free.MemGB), slotsOf(s.Tasks, free.Tasks))
	return int(max(0, slots))
}

// slotsOf returns how often an amount of one resource fits into the free amount of it, at most maxSlots.
func slotsOf(amount, free float64) float64 {
	if amount <= 0 {
		return maxSlots
	}
	return min(maxSlots, math.Floor(free/amount+tolerance))
}

// Share returns the load of a task of size s on a machine with the resources total: the largest share
// of any resource that the task takes. It is infinite if the machine lacks a resource that the task
// needs.
func (s Size) Share(total Size) float64 {
	return max(shareOf(s.CPUs, total.CPUs), shareOf(s.GPUs, total.GPUs), shareOf(s.MemGB, total.MemGB), shareOf(s.Tasks, total.Tasks))
}

// shareOf returns the share that an amount takes of a machine's total of one resource.
func shareOf(amount, total float64) float64 {
	switch {
	case amount <= 0:
		return 0
	case total <= 0:
		return math.Inf(1)
	}
	return amount / total
}

// compareSpeed compares machines by speed, by cores first and then by memory. It returns a negative
// number if a machine of size s is slower than one of size other.
func (s Size) compareSpeed(other Size) int {
	return cmp.Or(cmp.Compare(s.CPUs, other.CPUs), cmp.Compare(s.MemGB, other.MemGB))
}

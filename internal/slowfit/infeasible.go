package slowfit

import "slices"

// infeasibleSizes are sizes for which no schedulable machine has room. In a full cluster many
// jobs wait and hardly any has room: those must not cost a search each time
// that some machine gets a little free.
type infeasibleSizes struct{ sizes []Size }

// maxInfeasible bounds the sizes that are remembered.
const maxInfeasible = 16

// includes tells whether it is known that no schedulable machine has room for a task.
func (s *infeasibleSizes) includes(task Size) bool {
	return slices.ContainsFunc(s.sizes, func(size Size) bool { return size.Within(task) })
}

// add remembers a task's size in place of the larger ones, if there is room for it.
func (s *infeasibleSizes) add(task Size) {
	s.sizes = slices.DeleteFunc(s.sizes, func(size Size) bool { return task.Within(size) })
	if len(s.sizes) < maxInfeasible {
		s.sizes = append(s.sizes, task)
	}
}

// removeWithin drops the sizes that go into what a machine has free.
func (s *infeasibleSizes) removeWithin(free Size) {
	s.sizes = slices.DeleteFunc(s.sizes, func(size Size) bool { return size.Within(free) })
}

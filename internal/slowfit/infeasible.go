package slowfit

import "slices"

// infeasibleSizes holds task sizes that fit no schedulable machine. In a full cluster many jobs wait
// and hardly any of them fits. Without this, each of them would cost a search whenever a few resources
// become free on some machine.
type infeasibleSizes struct{ sizes []Size }

// maxInfeasible is the most sizes that are held.
const maxInfeasible = 16

// includes reports whether a task is at least as large as one of the infeasible sizes.
func (s *infeasibleSizes) includes(task Size) bool {
	return slices.ContainsFunc(s.sizes, func(size Size) bool { return size.Within(task) })
}

// add adds a task's size and removes those that are at least as large. The size is not added if
// maxInfeasible others remain.
func (s *infeasibleSizes) add(task Size) {
	s.sizes = slices.DeleteFunc(s.sizes, func(size Size) bool { return task.Within(size) })
	if len(s.sizes) < maxInfeasible {
		s.sizes = append(s.sizes, task)
	}
}

// removeWithin removes the sizes that fit into the free resources of a machine.
func (s *infeasibleSizes) removeWithin(free Size) {
	s.sizes = slices.DeleteFunc(s.sizes, func(size Size) bool { return size.Within(free) })
}

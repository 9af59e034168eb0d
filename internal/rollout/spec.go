package rollout

import "slices"

// The bounds of a plan.
const (
	maxSelectedMachines = 200 // machines that are selected by name
	maxBatch            = 100 // machines of a batch, so that the record fits a value of the store
	maxEvictions        = 60  // evictions of a record
	maxOverrides        = 40  // jobs that are allowed, and machines that are skipped
)

// Spec is a plan as an operator writes it. Its selection and steps never change once the plan is
// accepted.
type Spec struct {
	Name string `json:"name"`
	// Zones, Types and Machines select machines, which must match all lists that are given.
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Machines []string `json:"machines,omitempty"`
	// Canary is the number of machines of the first step; 0: like the others. The others take
	// Batch machines or, if that is 0, a Share of the remaining ones.
	Canary int     `json:"canary"`
	Batch  int     `json:"batch,omitempty"`
	Share  float64 `json:"share,omitempty"`
	// Surge has replacements rented before the machines of a step are drained.
	Surge bool `json:"surge,omitempty"`
	// WaitS is how long a task that can't be evicted without losing progress is left to finish
	// before the operator is asked.
	WaitS float64 `json:"wait_s"`
	// CheckS is how long replacements must have been healthy.
	CheckS float64 `json:"check_s"`
	// HealthS is how long a step may take until its jobs and replacements are healthy.
	HealthS float64 `json:"health_s"`
	// DeadlineS is how long the plan may take; 0: it has no deadline.
	DeadlineS float64 `json:"deadline_s,omitempty"`
}

// Selects reports whether the plan selects a machine, provided that it was rented before the plan
// was created.
func (s *Spec) Selects(name, machineType, zone string) bool {
	matches := func(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
	return matches(s.Zones, zone) && matches(s.Types, machineType) && matches(s.Machines, name)
}

// batchSize is how many of the remaining machines a step takes; steps are counted from 0.
func (s *Spec) batchSize(step, remaining int) int {
	size := s.Batch
	switch {
	case step == 0 && s.Canary > 0:
		size = s.Canary
	case s.Share > 0:
		size = int(s.Share * float64(remaining))
	}
	return min(max(size, 1), maxBatch, remaining)
}

package rollout

import "slices"

// The limits of a plan.
const (
	maxSelectedMachines = 200 // machines selected by name
	maxBatch            = 100 // machines in a batch, so that the record fits into a value of the store
	maxEvictions        = 60  // evictions in a record
	maxOverrides        = 40  // entries each of the allowed jobs and of the skipped machines
)

// Spec is a plan as an operator specifies it. The selection and the steps never change once the
// plan is accepted.
type Spec struct {
	Name string `json:"name"`
	// Zones, Types and Machines select machines. A machine must match every list that is given.
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Machines []string `json:"machines,omitempty"`
	// Canary is the number of machines of the first step; 0 means the same as for the other steps.
	// These take Batch machines or, if Share is not 0, that fraction of the remaining machines.
	Canary int     `json:"canary"`
	Batch  int     `json:"batch,omitempty"`
	Share  float64 `json:"share,omitempty"`
	// Surge means that replacements are rented before the machines of a step are drained.
	Surge bool `json:"surge,omitempty"`
	// WaitS is how long a task that can't be evicted without losing progress is left to finish
	// before an operator has to decide.
	WaitS float64 `json:"wait_s"`
	// CheckS is how long replacements must have been healthy before the machines are drained.
	CheckS float64 `json:"check_s"`
	// HealthS is how long a step may take until its jobs and replacements are healthy.
	HealthS float64 `json:"health_s"`
	// DeadlineS is how long the plan may take before it is paused; 0 means no deadline.
	DeadlineS float64 `json:"deadline_s,omitempty"`
}

// Selects reports whether the plan selects a machine. The caller checks that the machine was
// rented before the plan was created.
func (s *Spec) Selects(name, machineType, zone string) bool {
	matches := func(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
	return matches(s.Zones, zone) && matches(s.Types, machineType) && matches(s.Machines, name)
}

// batchSize returns how many of the remaining machines a step takes. Steps are counted from 0.
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

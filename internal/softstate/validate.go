package softstate

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// validate returns an error that wraps ErrInvalidBatch for values that no leader sends.
func (b *Batch) validate() error {
	if b.Term == 0 {
		return fmt.Errorf("%w: no term", ErrInvalidBatch)
	}
	for i := range b.Machines {
		m := &b.Machines[i]
		if m.Name == "" || len(m.Allocations) > maxAllocations || len(m.Images) > maxImages || m.SinceHeartbeat < 0 || m.Idle < 0 {
			return fmt.Errorf("%w: machine %q", ErrInvalidBatch, m.Name)
		}
		for _, a := range m.Allocations {
			if a.Running < 0 {
				return fmt.Errorf("%w: allocation on machine %q", ErrInvalidBatch, m.Name)
			}
		}
	}
	if b.Estimates == nil {
		return nil
	}
	return b.Estimates.validate()
}

// validate checks the bounds and signs of the estimates.
func (e *Estimates) validate() error {
	if len(e.RunRatios)+len(e.BootSeconds)+len(e.Pools) > maxEstimates {
		return fmt.Errorf("%w: too many estimates", ErrInvalidBatch)
	}
	values := slices.Concat(slices.Collect(maps.Values(e.RunRatios)), slices.Collect(maps.Values(e.BootSeconds)))
	for _, v := range values {
		if !(v > 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%w: estimate of %v", ErrInvalidBatch, v)
		}
	}
	for _, pool := range e.Pools {
		if pool.BackoffLeft < 0 || pool.Backoff < 0 || pool.Filled < 0 {
			return fmt.Errorf("%w: capacity pool of %s in %s", ErrInvalidBatch, pool.Type, pool.Zone)
		}
	}
	return nil
}

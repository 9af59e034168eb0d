package scheduler

import (
	"iter"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/softstate"
)

// Limits on requests to one capacity pool.
const (
	minPoolBackoff  = 8 * time.Second
	maxPoolBackoff  = 30 * time.Second
	maxCallsPerPool = 4 // scale-out calls at once
)

// capacityPools tracks which capacity pools of the cloud may be used. It owns the state of each
// pool: its back-off and the number of machines that may be requested at once.
type capacityPools struct {
	cfg      *Config
	clock    *clock
	types    *machineTypes
	machines *machineTable

	states map[autoscaler.CapacityPool]*poolState
}

func newCapacityPools(c *Core) capacityPools {
	return capacityPools{cfg: &c.cfg, clock: &c.clock, types: &c.types, machines: &c.machines,
		states: map[autoscaler.CapacityPool]*poolState{}}
}

// poolState is the result of the latest requests to a pool.
type poolState struct {
	blockedUntil     time.Duration
	backoff          time.Duration
	consecutiveFills int // scale-outs filled completely since the last refusal or partial fill
}

// maxCount returns the number of machines of the pool that may be requested at once: one call's
// worth at first, and one call's worth more for each scale-out in a row that was filled completely,
// up to maxCallsPerPool.
func (s *poolState) maxCount() int {
	return min(1+s.consecutiveFills, maxCallsPerPool) * autoscaler.MaxScaleOut
}

// extendBackoff blocks the pool for an exponentially growing time after the cloud has refused a
// request or filled it in part.
func (s *poolState) extendBackoff(now time.Duration) {
	if now < s.blockedUntil {
		return // several scale-outs from the pool were in flight; they count as one failure
	}
	s.backoff = min(max(s.backoff*2, minPoolBackoff), maxPoolBackoff)
	s.blockedUntil = now + s.backoff
	s.consecutiveFills = 0
}

// recordFilled records that the cloud filled a request completely.
func (s *poolState) recordFilled() {
	s.backoff = 0
	s.consecutiveFills++
}

// inherit sets the state of the pool to that of an earlier leader.
func (s *poolState) inherit(pool *softstate.CapacityPool, now time.Duration) {
	s.blockedUntil = now + min(pool.BackoffLeft, maxPoolBackoff)
	s.backoff = min(pool.Backoff, maxPoolBackoff)
	s.consecutiveFills = pool.Filled
}

// state returns the state of a pool, and adds one if the pool is new.
func (p *capacityPools) state(pool autoscaler.CapacityPool) *poolState {
	if p.states[pool] == nil {
		p.states[pool] = &poolState{}
	}
	return p.states[pool]
}

// openPools iterates over the capacity pools of the cloud that are not in back-off.
func (p *capacityPools) openPools() iter.Seq2[autoscaler.CapacityPool, *poolState] {
	return func(yield func(autoscaler.CapacityPool, *poolState) bool) {
		for i := range p.types.list {
			for _, zone := range p.types.list[i].zones {
				for _, spot := range []bool{true, false} {
					pool := autoscaler.CapacityPool{Type: int32(i), Zone: zone, Spot: spot}
					if state := p.state(pool); p.clock.now >= state.blockedUntil && !yield(pool, state) {
						return
					}
				}
			}
		}
	}
}

// anyPoolOpen reports whether any capacity pool is not in back-off.
func (p *capacityPools) anyPoolOpen() bool {
	for range p.openPools() {
		return true
	}
	return false
}

// scalableCores returns an upper estimate of the cores that scale-out could still add: machines of
// the largest type up to the operator's limit, or one call's worth if there is no limit.
func (p *capacityPools) scalableCores() float64 {
	limit := p.cfg.Operator.MaxMachines
	if !p.types.known() || !p.anyPoolOpen() {
		return 0
	}
	largest := 0.0
	for i := range p.types.list {
		largest = max(largest, p.types.list[i].total.CPUs)
	}
	if limit == 0 {
		return largest * autoscaler.MaxScaleOut
	}
	return largest * float64(max(0, limit-p.machines.count()))
}

package scheduler

import (
	"iter"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/softstate"
)

// The limits of the use of a capacity pool.
const (
	minPoolBackoff  = 8 * time.Second
	maxPoolBackoff  = 30 * time.Second
	maxCallsPerPool = 4 // for one capacity pool at once
)

// capacityPools tells which capacity pools of the cloud may be used. It owns the state of each
// pool: its back-off and how many machines may be requested at once.
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

// poolState is what the latest requests have shown of a pool.
type poolState struct {
	blockedUntil     time.Duration
	backoff          time.Duration
	consecutiveFills int // scale-outs in a row that were filled
}

// maxCount is how many machines of a pool may be requested at once: one call's worth at first,
// more once the cloud has filled some.
func (o *poolState) maxCount() int {
	return min(1+o.consecutiveFills, maxCallsPerPool) * autoscaler.MaxScaleOut
}

// extendBackoff stops the use of a pool for a while, longer each time, after the cloud has refused it or
// filled a request in part.
func (o *poolState) extendBackoff(now time.Duration) {
	if now < o.blockedUntil {
		return // several scale-outs in one pool were on their way
	}
	o.backoff = min(max(o.backoff*2, minPoolBackoff), maxPoolBackoff)
	o.blockedUntil = now + o.backoff
	o.consecutiveFills = 0
}

// recordFilled notes that a request was filled.
func (o *poolState) recordFilled() {
	o.backoff = 0
	o.consecutiveFills++
}

// inherit takes over what an earlier leader knew of the pool.
func (o *poolState) inherit(pool *softstate.CapacityPool, now time.Duration) {
	o.blockedUntil = now + min(pool.BackoffLeft, maxPoolBackoff)
	o.backoff = min(pool.Backoff, maxPoolBackoff)
	o.consecutiveFills = pool.Filled
}

// state returns the state of a pool, which may be new.
func (p *capacityPools) state(o autoscaler.CapacityPool) *poolState {
	if p.states[o] == nil {
		p.states[o] = &poolState{}
	}
	return p.states[o]
}

// openPools are the capacity pools of the cloud without a recent refusal.
func (p *capacityPools) openPools() iter.Seq2[autoscaler.CapacityPool, *poolState] {
	return func(yield func(autoscaler.CapacityPool, *poolState) bool) {
		for i := range p.types.list {
			for _, z := range p.types.list[i].zones {
				for _, spot := range []bool{true, false} {
					o := autoscaler.CapacityPool{Type: int32(i), Zone: z, Spot: spot}
					if st := p.state(o); p.clock.now >= st.blockedUntil && !yield(o, st) {
						return
					}
				}
			}
		}
	}
}

// anyPoolOpen tells whether there is a capacity pool without a recent refusal.
func (p *capacityPools) anyPoolOpen() bool {
	for range p.openPools() {
		return true
	}
	return false
}

// scalableCores is what the cloud may still give.
func (p *capacityPools) scalableCores() float64 {
	most := p.cfg.Operator.MaxMachines
	if len(p.types.list) == 0 || !p.anyPoolOpen() {
		return 0
	}
	largest := 0.0
	for i := range p.types.list {
		largest = max(largest, p.types.list[i].total.CPUs)
	}
	if most == 0 {
		return largest * autoscaler.MaxScaleOut
	}
	return largest * float64(max(0, most-p.machines.count()))
}

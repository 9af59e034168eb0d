package dispatch

import (
	"sync/atomic"
	"time"
)

// observations are facts about the running term for the metrics. They are all zero between terms.
type observations struct {
	watchRevision atomic.Uint64
	watchTime     atomic.Pointer[time.Time] // of the last response to the watch; nil: there is no watch
	unknown       atomic.Int64              // number of unknown predecessors
	oldestUnknown atomic.Int64              // for how long the first of them has been unknown, in nanoseconds
}

// watchAnswered records that the watch has delivered all job records up to a revision.
func (o *observations) watchAnswered(revision uint64) {
	now := time.Now()
	o.watchRevision.Store(revision)
	o.watchTime.Store(&now)
}

// watchEnded records that the watch has ended with its term.
func (o *observations) watchEnded() {
	o.watchRevision.Store(0)
	o.watchTime.Store(nil)
}

// setUnknown records how many predecessors the core does not know, and for how long.
func (o *observations) setUnknown(count int, oldest time.Duration) {
	o.unknown.Store(int64(count))
	o.oldestUnknown.Store(int64(oldest))
}

// WatchRevision returns the revision up to which the core has seen all job records. It is 0 while this
// controller does not lead.
func (d *Dispatcher) WatchRevision() uint64 { return d.observations.watchRevision.Load() }

// WatchAge returns the time since the last response to the watch of job records. It is 0 while this
// controller does not lead.
func (d *Dispatcher) WatchAge() time.Duration {
	answered := d.observations.watchTime.Load()
	if answered == nil {
		return 0
	}
	return time.Since(*answered)
}

// UnknownPredecessors returns how many jobs the core does not know although others depend on them.
func (d *Dispatcher) UnknownPredecessors() int { return int(d.observations.unknown.Load()) }

// OldestUnknownPredecessor returns for how long the first of the unknown predecessors has been
// unknown, as of the core's last step.
func (d *Dispatcher) OldestUnknownPredecessor() time.Duration {
	return time.Duration(d.observations.oldestUnknown.Load())
}

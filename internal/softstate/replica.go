package softstate

import (
	"fmt"
	"slices"
	"time"
)

// View is the soft state of one term as the leader of a later term uses it.
type View struct {
	Term      uint64
	Machines  map[string]Machine
	Estimates Estimates
}

// receivedMachine is a machine's soft state and the time when it was received.
type receivedMachine struct {
	machine    Machine
	receivedAt time.Time
}

// Replica holds the soft state of the newest term. It does no I/O and reads no clock: the caller passes
// the time.
type Replica struct {
	term        uint64
	sequence    uint64 // number of the stream's last batch
	machines    map[string]receivedMachine
	estimates   Estimates
	estimatesAt time.Time
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{machines: map[string]receivedMachine{}} }

// BeginStream prepares the replica for the first batch of a new stream.
func (r *Replica) BeginStream() { r.sequence = 0 }

// Term returns the term of the soft state; 0: there is none.
func (r *Replica) Term() uint64 { return r.term }

// MachineCount returns the number of machines in the replica.
func (r *Replica) MachineCount() int { return len(r.machines) }

// Apply applies a batch. A batch that was applied before is ignored. After an error the replica is
// unchanged, and the stream must be reopened.
func (r *Replica) Apply(batch Batch, now time.Time) error {
	if batch.Term < r.term {
		return fmt.Errorf("%w: %d after %d", ErrStaleTerm, batch.Term, r.term)
	}
	if batch.Term == r.term && batch.Sequence <= r.sequence {
		return nil
	}
	if batch.Sequence != r.sequence+1 {
		return fmt.Errorf("%w: %d after %d", ErrMissingBatch, batch.Sequence, r.sequence)
	}
	if err := batch.validate(); err != nil {
		return err
	}
	machines := r.machines
	if batch.Sequence == 1 { // the first batch of a stream replaces everything
		machines = map[string]receivedMachine{}
	}
	if len(machines)+len(batch.Machines) > MaxMachines {
		return ErrTooManyMachines
	}
	if batch.Term > r.term {
		r.estimates, r.estimatesAt = Estimates{}, now
	}
	r.machines, r.term, r.sequence = machines, batch.Term, batch.Sequence
	for _, m := range batch.Machines {
		if m.Gone {
			delete(r.machines, m.Name)
			continue
		}
		r.machines[m.Name] = receivedMachine{m, now}
	}
	if batch.Estimates != nil {
		r.estimates, r.estimatesAt = *batch.Estimates, now
	}
	return nil
}

// maxEstimateAge is how long estimates are used after they were received.
const maxEstimateAge = time.Minute

// View returns the soft state for a term that begins now, advanced by the time since it was
// received. Soft state of the same or a later term is not used.
func (r *Replica) View(term uint64, now time.Time) View {
	v := View{Machines: map[string]Machine{}}
	if r.term == 0 || r.term >= term {
		return v
	}
	v.Term = r.term
	for name, received := range r.machines {
		v.Machines[name] = received.machine.advancedBy(now.Sub(received.receivedAt))
	}
	if now.Sub(r.estimatesAt) <= maxEstimateAge {
		v.Estimates = r.estimates.advancedBy(now.Sub(r.estimatesAt))
	}
	return v
}

// advancedBy returns the machine's soft state with its durations after a further time.
func (m Machine) advancedBy(passed time.Duration) Machine {
	m.SinceHeartbeat += passed
	if len(m.Allocations) == 0 {
		m.Idle += passed
	}
	m.Allocations = slices.Clone(m.Allocations)
	for i := range m.Allocations {
		if a := &m.Allocations[i]; a.Running > 0 {
			a.Running += passed
		}
	}
	return m
}

// advancedBy returns the estimates with their durations after a further time.
func (e Estimates) advancedBy(passed time.Duration) Estimates {
	e.Pools = slices.Clone(e.Pools)
	for i := range e.Pools {
		pool := &e.Pools[i]
		pool.BackoffLeft = max(0, pool.BackoffLeft-passed)
	}
	return e
}

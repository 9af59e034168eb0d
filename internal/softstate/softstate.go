// Package softstate replicates what a leader holds only in memory to the controllers that may
// lead next: addresses of machines, the tasks that run there and since when, cached images, and
// estimates of run times, boot times and cloud capacity.
//
// Soft state improves a new leader's first estimates. No decision may be wrong because of it:
// it never adds a machine, a job or an allocation, and the ledger and a worker's heartbeat
// take precedence.
package softstate

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Machine is what a leader knows of a machine beyond the ledger.
type Machine struct {
	Name           string
	Gone           bool // the machine is no more
	Address        string
	AgentEpoch     uint64
	FencingToken   uint64
	SinceHeartbeat time.Duration // how long ago it was last heard
	Idle           time.Duration // how long it has been without tasks
	Images         []Image
	Allocations    []Allocation
}

// Image is an image on a machine, and its size.
type Image struct {
	Name string
	GB   float64
}

// Allocation is an attempt on a machine.
type Allocation struct {
	Task    string
	Attempt uint64
	Running time.Duration // how long it has run; 0: it does not run yet
}

// Estimates is what a leader has learned from what it saw.
type Estimates struct {
	RunRatios   map[string]float64 // by class: run times against the owners' estimates
	BootSeconds map[string]float64 // by machine type: seconds from hire to first report
	Pools       []CapacityPool
}

// CapacityPool is how the cloud has answered hires of a machine type in a zone.
type CapacityPool struct {
	Type, Zone  string
	Spot        bool
	BackoffLeft time.Duration // it is not asked again for so long
	Backoff     time.Duration
	Filled      int // hires in a row that were filled
}

// Batch is a part of a term's hints. The batches of a stream are numbered from 1.
type Batch struct {
	Term, Sequence uint64
	Machines       []Machine
	Estimates      *Estimates // nil: nothing new
}

// Changes is what a leader answers: what has changed since an earlier answer.
type Changes struct {
	Term      uint64
	Machines  []Machine
	Estimates Estimates
	UpTo      uint64 // to be named in the next question
	More      bool   // there is more than this
}

// MaxChanges is how many machines one answer holds at most.
const MaxChanges = 256

// What is kept at most. Twice the 4,000 machines that are aimed at, and room for machines
// that come and go within a term.
const (
	MaxMachines = 16384
	maxBookings = 1024 // of a machine
	maxImages   = 1024 // of a machine
	maxLearned  = 8192 // classes, types and offers
)

// The errors of a stream. After each of them it begins anew.
var (
	// ErrOldTerm means that a batch is of a term before one that was heard of.
	ErrOldTerm = errors.New("hints of an older term")
	// ErrGap means that batches are missing.
	ErrGap = errors.New("hints are missing")
	// ErrInvalid means that a batch holds what no leader would send.
	ErrInvalid = errors.New("invalid hints")
	// ErrTooMany means that there are more machines than are kept.
	ErrTooMany = errors.New("more machines than hints are kept for")
)

// View is the hints of a term, for the one after it.
type View struct {
	Term      uint64
	Machines  map[string]Machine
	Estimates Estimates
}

// kept is a machine's hint and when it came.
type kept struct {
	machine Machine
	at      time.Time
}

// Replica keeps the hints of the newest term. It is a pure state: the caller tells the time.
type Replica struct {
	term      uint64
	sequence  uint64 // of the last batch of the stream
	machines  map[string]kept
	learned   Estimates
	learnedAt time.Time
}

// NewReplica makes an empty inbox.
func NewReplica() *Replica { return &Replica{machines: map[string]kept{}} }

// Begin notes that a stream begins: the next batch is its first.
func (b *Replica) Begin() { b.sequence = 0 }

// Term is the term of the hints; 0: there are none.
func (b *Replica) Term() uint64 { return b.term }

// Size is how many machines there are hints of.
func (b *Replica) Size() int { return len(b.machines) }

// Apply takes a batch. One that was taken before is ignored; after an error nothing of it
// was taken, and the stream must begin anew.
func (b *Replica) Apply(batch Batch, now time.Time) error {
	if batch.Term < b.term {
		return fmt.Errorf("%w: %d after %d", ErrOldTerm, batch.Term, b.term)
	}
	if batch.Term == b.term && batch.Sequence <= b.sequence {
		return nil
	}
	if batch.Sequence != b.sequence+1 {
		return fmt.Errorf("%w: %d after %d", ErrGap, batch.Sequence, b.sequence)
	}
	if err := batch.check(); err != nil {
		return err
	}
	machines := b.machines
	if batch.Sequence == 1 { // the first of a stream, which tells everything
		machines = map[string]kept{}
	}
	if len(machines)+len(batch.Machines) > MaxMachines {
		return ErrTooMany
	}
	if batch.Term > b.term {
		b.learned, b.learnedAt = Estimates{}, now
	}
	b.machines, b.term, b.sequence = machines, batch.Term, batch.Sequence
	for _, m := range batch.Machines {
		if m.Gone {
			delete(b.machines, m.Name)
			continue
		}
		b.machines[m.Name] = kept{m, now}
	}
	if batch.Estimates != nil {
		b.learned, b.learnedAt = *batch.Estimates, now
	}
	return nil
}

// check tells whether a batch can be from a leader.
func (b *Batch) check() error {
	if b.Term == 0 {
		return fmt.Errorf("%w: no term", ErrInvalid)
	}
	for i := range b.Machines {
		m := &b.Machines[i]
		if m.Name == "" || len(m.Allocations) > maxBookings || len(m.Images) > maxImages || m.SinceHeartbeat < 0 || m.Idle < 0 {
			return fmt.Errorf("%w: machine %q", ErrInvalid, m.Name)
		}
		for _, k := range m.Allocations {
			if k.Running < 0 {
				return fmt.Errorf("%w: booking of machine %q", ErrInvalid, m.Name)
			}
		}
	}
	if b.Estimates == nil {
		return nil
	}
	return b.Estimates.check()
}

func (l *Estimates) check() error {
	if len(l.RunRatios)+len(l.BootSeconds)+len(l.Pools) > maxLearned {
		return fmt.Errorf("%w: too much was learned", ErrInvalid)
	}
	values := slices.Concat(slices.Collect(maps.Values(l.RunRatios)), slices.Collect(maps.Values(l.BootSeconds)))
	for _, v := range values {
		if !(v > 0) || math.IsInf(v, 0) {
			return fmt.Errorf("%w: learned %v", ErrInvalid, v)
		}
	}
	for _, o := range l.Pools {
		if o.BackoffLeft < 0 || o.Backoff < 0 || o.Filled < 0 {
			return fmt.Errorf("%w: offer of %s in %s", ErrInvalid, o.Type, o.Zone)
		}
	}
	return nil
}

// oldest is how long after they came hints are used. What is older says little.
const oldest = time.Minute

// View returns the hints for a term that begins now, brought up to date by the time that has
// passed. Hints of that term itself, or of a later one, are none for it.
func (b *Replica) View(term uint64, now time.Time) View {
	v := View{Machines: map[string]Machine{}}
	if b.term == 0 || b.term >= term {
		return v
	}
	v.Term = b.term
	for name, k := range b.machines {
		v.Machines[name] = k.machine.after(now.Sub(k.at))
	}
	if now.Sub(b.learnedAt) <= oldest {
		v.Estimates = b.learned.after(now.Sub(b.learnedAt))
	}
	return v
}

// after is a hint some time later.
func (m Machine) after(passed time.Duration) Machine {
	m.SinceHeartbeat += passed
	if len(m.Allocations) == 0 {
		m.Idle += passed
	}
	m.Allocations = slices.Clone(m.Allocations)
	for i := range m.Allocations {
		if k := &m.Allocations[i]; k.Running > 0 {
			k.Running += passed
		}
	}
	return m
}

// after is what was learned, some time later.
func (l Estimates) after(passed time.Duration) Estimates {
	l.Pools = slices.Clone(l.Pools)
	for i := range l.Pools {
		o := &l.Pools[i]
		o.BackoffLeft = max(0, o.BackoffLeft-passed)
	}
	return l
}

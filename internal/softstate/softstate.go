// Package softstate replicates what a leader holds only in memory to the controllers that may
// lead next: addresses of machines, the tasks that run there and since when, cached images, and
// estimates of run times, boot times and cloud capacity.
//
// Soft state improves a new leader's first estimates. No decision may be wrong because of it:
// it never adds a machine, a job or an allocation, and the ledger and an agent's heartbeat take
// precedence.
package softstate

import (
	"errors"
	"time"
)

// Machine is what a leader knows about a machine beyond the ledger.
type Machine struct {
	Name           string
	Gone           bool // it was deleted or has failed
	Address        string
	AgentEpoch     uint64
	FencingToken   uint64
	SinceHeartbeat time.Duration // how long ago its agent's last heartbeat arrived
	Idle           time.Duration // how long it has been without tasks
	Images         []Image
	Allocations    []Allocation
}

// Image is an image in a machine's cache.
type Image struct {
	Name string
	GB   float64
}

// Allocation is an attempt of a task that has resources reserved on a machine.
type Allocation struct {
	Task    string
	Attempt uint64
	Running time.Duration // how long it has been running; 0: it is not running yet
}

// Estimates holds what a leader has estimated from run times, boot times and the cloud's responses.
type Estimates struct {
	RunRatios   map[string]float64 // by class: run times relative to the owners' estimates
	BootSeconds map[string]float64 // by machine type: seconds from the scale-out request to the first heartbeat
	Pools       []CapacityPool
}

// CapacityPool is how the cloud has responded to scale-out requests for a machine type in a zone.
type CapacityPool struct {
	Type, Zone  string
	Spot        bool
	BackoffLeft time.Duration // remaining time until the next request to the pool
	Backoff     time.Duration
	Filled      int // consecutive requests that were filled
}

// Batch is one message of a stream of a term's soft state. Sequence numbers the batches of a stream
// from 1.
type Batch struct {
	Term, Sequence uint64
	Machines       []Machine
	Estimates      *Estimates // nil: unchanged
}

// Changes is what has changed in a leader's memory since an earlier call.
type Changes struct {
	Term      uint64
	Machines  []Machine
	Estimates Estimates
	UpTo      uint64 // the position to continue from in the next call
	More      bool   // further changes are available at once
}

// MaxChanges bounds the machines of one Changes.
const MaxChanges = 256

// The bounds of a replica. MaxMachines is twice the 4,000 machines that have to be supported, and as
// many again for machines that are rented and returned within a term.
const (
	MaxMachines    = 16384
	maxAllocations = 1024 // of one machine
	maxImages      = 1024 // of one machine
	maxEstimates   = 8192 // classes, machine types and capacity pools together
)

// The errors with which a replica refuses a batch. After each the stream is reopened.
var (
	// ErrStaleTerm means that the batch is of an earlier term than the replica.
	ErrStaleTerm = errors.New("soft state of an earlier term")
	// ErrMissingBatch means that batches before this one are missing.
	ErrMissingBatch = errors.New("soft-state batches are missing")
	// ErrInvalidBatch means that the batch holds values that no leader sends.
	ErrInvalidBatch = errors.New("invalid soft-state batch")
	// ErrTooManyMachines means that the batch exceeds the bound on machines.
	ErrTooManyMachines = errors.New("too many machines in the soft state")
)

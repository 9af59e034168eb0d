// Package ledger keeps what must outlive every controller: job records,
// finished tasks, the machines a job's tasks may be on, and open hires. Any
// node creates job records; everything else is written by the leader, under
// its term.
package ledger

import (
	"fmt"
	"strconv"

	"leadproxy/internal/federation"
	"leadproxy/internal/rollout"
	"leadproxy/internal/wire"
)

// The prefixes of the keys.
const (
	JobPrefix    = "job/"
	finPrefix    = "fin/"
	hostPrefix   = "host/"
	hirePrefix   = "hire/"
	gonePrefix   = "gone/"
	silentPrefix = "silent/"
	planPrefix   = "drain/" // plans that drain machines
	cellPrefix   = "cell/"  // transfers, both ways
	awayPrefix   = cellPrefix + "away/"
	guestPrefix  = cellPrefix + "guest/"
	fenceKey     = "fence" // its version alone counts
)

// JobRecord is a job as accepted, with its terminal state once it has one.
type JobRecord struct {
	Job *wire.Job `json:"job,omitempty"`
	// AcceptedMS is the time of day of the acceptance.
	AcceptedMS int64 `json:"accepted_ms"`
	// Terminal is empty, wire.Done or wire.Aborted. A record is never deleted;
	// with a terminal state it shrinks to what queries need.
	Terminal string `json:"fate,omitempty"`
	Tasks    int    `json:"tasks,omitempty"`
	Done     int    `json:"done,omitempty"`
	// EndedMS is the time of day of the terminal state.
	EndedMS int64 `json:"ended_ms,omitempty"`
	// What a finished job asked for, from which a new leader learns the demand.
	Class string  `json:"class,omitempty"`
	Team  string  `json:"team,omitempty"`
	Cores float64 `json:"cores,omitempty"`
	RunS  float64 `json:"run_s,omitempty"`
	// Origin is the cell whose job this is, if that is another one, and Epoch the number
	// of its transfer.
	Origin        string `json:"home,omitempty"`
	TransferEpoch uint64 `json:"epoch,omitempty"`
}

// JobKey is the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// DelegatedKey is the key of home's record of a job's latest transfer.
func DelegatedKey(ref string) string { return awayPrefix + ref }

// ForeignKey is the key of the neighbour's record of a job's latest transfer.
func ForeignKey(key federation.ForeignKey) string { return guestPrefix + key.Origin + "/" + key.JobID }

// SavedDelegated is a transfer as home's ledger holds it.
type SavedDelegated struct {
	JobID  string
	Record federation.DelegatedRecord
	// Unknown is set when the record could not be read: the job may be anywhere.
	Unknown bool
}

// SavedForeign is a transfer as the neighbour's ledger holds it.
type SavedForeign struct {
	Key     federation.ForeignKey
	Record  federation.ForeignRecord
	Version uint64
}

// PlanKey is the key of a plan that drains machines.
func PlanKey(name string) string { return planPrefix + name }

// ScaleOutRecord is a hire that was, or may have been, sent to the cloud.
type ScaleOutRecord struct {
	Request wire.ScaleOutRequest `json:"hire"`
	// Machines is known once the cloud has answered.
	Machines []string `json:"machines,omitempty"`
}

// ScaleOutKey is the key of a hire's record.
func ScaleOutKey(name string) string { return hirePrefix + name }

// TasksPerChunk is how many tasks one key of finished ranges covers. The worst
// case, every other task done, stays well below the least value limit.
const TasksPerChunk = 1024

// GoneKey is the key that marks a machine as gone for good, so that a new
// leader need not wait for word of it. It is kept while an unfinished job names
// the machine as a host.
func GoneKey(machine string) string { return gonePrefix + machine }

// UnreachableRecord tells of machines that a leader does not hear, and when, by the
// time of day, their workers' leases are over: it has not answered them since,
// and does not before this record is empty.
type UnreachableRecord struct {
	LeaseExpiryMS int64    `json:"over_ms"`
	Machines      []string `json:"machines"`
}

// UnreachableKey is the key of one such record.
func UnreachableKey(name string) string { return silentPrefix + name }

// FinishedTasksPartKey is the key of the part of a chunk that begins with its task first. A
// chunk whose ranges are more than a value may hold is written in parts. What the
// chunk's own key holds besides stays true: a task that is done remains done.
func FinishedTasksPartKey(ref string, chunk, first int) string {
	return fmt.Sprintf("%s.%d", FinishedTasksKey(ref, chunk), first)
}

// TasksPerPart is how many tasks a part has so that its ranges fit a value of so many
// bytes in the worst case, every other task done: five bytes each. It is a power of
// two.
func TasksPerPart(bytes int) int {
	n := TasksPerChunk
	for n > 1 && n*5+16 > bytes {
		n /= 2
	}
	return n
}

// Size is how many bytes the ranges take.
func (r Ranges) Size() int {
	n := 2
	for _, v := range r {
		n += len(strconv.Itoa(v)) + 1
	}
	return n
}

// FinishedTasksKey is the key of one chunk of a job's finished tasks.
func FinishedTasksKey(ref string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", finPrefix, ref, chunk)
}

// Ranges are finished tasks as pairs of first and last, relative to the chunk.
type Ranges []int

// EncodeRanges lists the runs of true in done.
func EncodeRanges(done func(i int) bool, n int) Ranges {
	var out Ranges
	for i := 0; i < n; i++ {
		if !done(i) {
			continue
		}
		first := i
		for i+1 < n && done(i+1) {
			i++
		}
		out = append(out, first, i)
	}
	return out
}

// Each calls f for every task in the ranges.
func (r Ranges) Each(f func(i int)) {
	for k := 0; k+1 < len(r); k += 2 {
		for i := max(r[k], 0); i <= r[k+1] && i < TasksPerChunk; i++ {
			f(i)
		}
	}
}

// HostsPerChunk is how many machine names one key holds.
const HostsPerChunk = 200

// HostKey is the key of one chunk of the machines a job's tasks may be on.
func HostKey(ref string, chunk int) string { return fmt.Sprintf("%s%s/%d", hostPrefix, ref, chunk) }

// NamesThatFit is how many of some names, from the first on, fit a value of so many
// bytes; at least one.
func NamesThatFit(names []string, bytes int) int {
	size := 2
	for i, name := range names {
		if size += len(name) + 3; size > bytes && i > 0 {
			return i
		}
	}
	return len(names)
}

// SavedJob is a job as the ledger holds it.
type SavedJob struct {
	ID      string
	Version uint64
	Record  JobRecord
	// Finished and Hosts are as they are kept, by chunk and part.
	Finished []SavedRanges
	Hosts    []SavedHosts
	// HostsUnknown is set when some of its hosts could not be read.
	HostsUnknown bool
}

// SavedRanges is one key of finished tasks; the ranges count from the chunk's first
// task.
type SavedRanges struct {
	Key    string
	Chunk  int
	Ranges Ranges
}

// SavedHosts is one key of hosts.
type SavedHosts struct {
	Key      string
	Chunk    int
	Machines []string
}

// Snapshot is the whole ledger, read at the start of a term.
type Snapshot struct {
	Jobs      []SavedJob
	ScaleOuts []ScaleOutRecord
	Gone      []string
	// Delegated and Guests are the transfers.
	Delegated []SavedDelegated
	Foreign   []SavedForeign
	// Plans are the plans that drain machines.
	Plans []rollout.Record
	// Unreachable is by the records' keys.
	Unreachable map[string]UnreachableRecord
	// Revision is where a watch for further job records starts.
	Revision uint64
	// Malformed are the keys that could not be read. What they held is not in the
	// snapshot.
	Malformed []*MalformedError
}

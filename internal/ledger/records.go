// Package ledger keeps what must outlive every controller: job records,
// finished tasks, the machines a job's tasks may be on, and open hires. Any
// node creates job records; everything else is written by the leader, under
// its term.
package ledger

import (
	"fmt"
	"strconv"

	"leadproxy/internal/drain"
	"leadproxy/internal/spill"
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
	// Home is the cell whose job this is, if that is another one, and Epoch the number
	// of its transfer.
	Home  string `json:"home,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
}

// JobKey is the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// AwayKey is the key of home's record of a job's latest transfer.
func AwayKey(ref string) string { return awayPrefix + ref }

// GuestKey is the key of the neighbour's record of a job's latest transfer.
func GuestKey(key spill.GuestKey) string { return guestPrefix + key.Home + "/" + key.Ref }

// SavedAway is a transfer as home's ledger holds it.
type SavedAway struct {
	Ref    string
	Record spill.AwayRecord
	// Unknown is set when the record could not be read: the job may be anywhere.
	Unknown bool
}

// SavedGuest is a transfer as the neighbour's ledger holds it.
type SavedGuest struct {
	Key     spill.GuestKey
	Record  spill.GuestRecord
	Version uint64
}

// PlanKey is the key of a plan that drains machines.
func PlanKey(name string) string { return planPrefix + name }

// HireRecord is a hire that was, or may have been, sent to the cloud.
type HireRecord struct {
	Hire wire.Hire `json:"hire"`
	// Machines is known once the cloud has answered.
	Machines []string `json:"machines,omitempty"`
}

// HireKey is the key of a hire's record.
func HireKey(name string) string { return hirePrefix + name }

// ChunkTasks is how many tasks one key of finished ranges covers. The worst
// case, every other task done, stays well below the least value limit.
const ChunkTasks = 1024

// GoneKey is the key that marks a machine as gone for good, so that a new
// leader need not wait for word of it. It is kept while an unfinished job names
// the machine as a host.
func GoneKey(machine string) string { return gonePrefix + machine }

// SilentRecord tells of machines that a leader does not hear, and when, by the
// time of day, their workers' leases are over: it has not answered them since,
// and does not before this record is empty.
type SilentRecord struct {
	OverMS   int64    `json:"over_ms"`
	Machines []string `json:"machines"`
}

// SilentKey is the key of one such record.
func SilentKey(name string) string { return silentPrefix + name }

// FinPartKey is the key of the part of a chunk that begins with its task first. A
// chunk whose ranges are more than a value may hold is written in parts. What the
// chunk's own key holds besides stays true: a task that is done remains done.
func FinPartKey(ref string, chunk, first int) string {
	return fmt.Sprintf("%s.%d", FinKey(ref, chunk), first)
}

// PartTasks is how many tasks a part has so that its ranges fit a value of so many
// bytes in the worst case, every other task done: five bytes each. It is a power of
// two.
func PartTasks(bytes int) int {
	n := ChunkTasks
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

// FinKey is the key of one chunk of a job's finished tasks.
func FinKey(ref string, chunk int) string { return fmt.Sprintf("%s%s/%d", finPrefix, ref, chunk) }

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
		for i := max(r[k], 0); i <= r[k+1] && i < ChunkTasks; i++ {
			f(i)
		}
	}
}

// ChunkHosts is how many machine names one key holds.
const ChunkHosts = 200

// HostKey is the key of one chunk of the machines a job's tasks may be on.
func HostKey(ref string, chunk int) string { return fmt.Sprintf("%s%s/%d", hostPrefix, ref, chunk) }

// NamesFit is how many of some names, from the first on, fit a value of so many
// bytes; at least one.
func NamesFit(names []string, bytes int) int {
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
	Ref     string
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
	Jobs  []SavedJob
	Hires []HireRecord
	Gone  []string
	// Away and Guests are the transfers.
	Away   []SavedAway
	Guests []SavedGuest
	// Plans are the plans that drain machines.
	Plans []drain.Record
	// Silent is by the records' keys.
	Silent map[string]SilentRecord
	// Revision is where a watch for further job records starts.
	Revision uint64
	// Malformed are the keys that could not be read. What they held is not in the
	// snapshot.
	Malformed []*MalformedError
}

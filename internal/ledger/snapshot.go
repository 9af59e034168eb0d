package ledger

import (
	"cmp"
	"slices"
	"sort"

	"leadproxy/internal/rollout"
)

// Snapshot is the whole ledger, read at the start of a term.
type Snapshot struct {
	Jobs         []SavedJob
	ScaleOuts    []ScaleOutRecord
	GoneMachines []string
	// Delegated and Foreign are the transfers.
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
	Malformed []*KeyError
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

// sortHosts orders a job's hosts by chunk.
func (j *SavedJob) sortHosts() {
	slices.SortFunc(j.Hosts, func(a, b SavedHosts) int { return cmp.Compare(a.Chunk, b.Chunk) })
}

// sortByAcceptance orders jobs by the time of their acceptance, then by id.
func sortByAcceptance(jobs []SavedJob) {
	sort.Slice(jobs, func(a, b int) bool {
		first, second := &jobs[a], &jobs[b]
		if first.Record.AcceptedMS != second.Record.AcceptedMS {
			return first.Record.AcceptedMS < second.Record.AcceptedMS
		}
		return first.ID < second.ID
	})
}

package ledger

import (
	"cmp"
	"slices"
	"sort"

	"leadproxy/internal/rollout"
)

// Snapshot is the content of the whole ledger, read at the start of a term.
type Snapshot struct {
	Jobs         []SavedJob
	ScaleOuts    []ScaleOutRecord
	GoneMachines []string
	// Delegated holds transfers of this cell's jobs to other cells, Foreign transfers of other
	// cells' jobs to this one.
	Delegated []SavedDelegated
	Foreign   []SavedForeign
	// Plans holds the drain plans.
	Plans []rollout.Record
	// Unreachable maps the key of each record of unreachable machines to the record.
	Unreachable map[string]UnreachableRecord
	// Revision is the store's revision from which to watch for further job records.
	Revision uint64
	// Malformed lists the keys that could not be decoded. Their values are missing from the
	// snapshot.
	Malformed []*KeyError
}

// SavedJob is a job as stored in the ledger.
type SavedJob struct {
	ID      string
	Version uint64
	Record  JobRecord
	// Finished and Hosts have one element per stored key, that is per chunk or part of a chunk.
	Finished []SavedRanges
	Hosts    []SavedHosts
	// HostsUnknown is set if some of the hosts could not be decoded: any machine may run tasks of
	// the job.
	HostsUnknown bool
}

// SavedRanges is the content of one key of finished tasks. The ranges are relative to the first
// task of the chunk.
type SavedRanges struct {
	Key    string
	Chunk  int
	Ranges Ranges
}

// SavedHosts is the content of one key of hosts.
type SavedHosts struct {
	Key      string
	Chunk    int
	Machines []string
}

// sortHosts sorts the hosts of a job by chunk.
func (j *SavedJob) sortHosts() {
	slices.SortFunc(j.Hosts, func(a, b SavedHosts) int { return cmp.Compare(a.Chunk, b.Chunk) })
}

// sortByAcceptance sorts jobs by the time at which they were accepted, then by id.
func sortByAcceptance(jobs []SavedJob) {
	sort.Slice(jobs, func(a, b int) bool {
		first, second := &jobs[a], &jobs[b]
		if first.Record.AcceptedMS != second.Record.AcceptedMS {
			return first.Record.AcceptedMS < second.Record.AcceptedMS
		}
		return first.ID < second.ID
	})
}

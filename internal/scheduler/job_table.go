package scheduler

// jobTable holds the jobs of the term and the dependency graph among them.
type jobTable struct {
	list       []*job
	indexByID  map[string]int32
	active     []*job             // jobs that are not settled
	awaited    map[string][]int32 // by id: the jobs that depend on a job which this leader has not seen
	cancelling map[int32]bool     // jobs whose cancellation is being written
	unwritten  []*job             // with something new for the ledger
}

func newJobTable() jobTable {
	return jobTable{indexByID: map[string]int32{}, awaited: map[string][]int32{}, cancelling: map[int32]bool{}}
}

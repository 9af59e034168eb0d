package scheduler

// jobTable holds the jobs of the term and the dependency graph among them.
type jobTable struct {
	cfg       *Config
	clock     *clock
	effects   *effects
	writes    *durableWrites
	estimates *runEstimates
	machines  *machineTable

	list       []*job
	indexByID  map[string]int32
	active     []*job             // jobs that are not settled
	awaited    map[string][]int32 // by id: the jobs that depend on a job which this leader has not seen
	cancelling map[int32]bool     // jobs whose cancellation is being written
	unwritten  []*job             // with something new for the ledger
}

func newJobTable(c *Core) jobTable {
	return jobTable{cfg: &c.cfg, clock: &c.clock, effects: &c.effects, writes: &c.writes, estimates: &c.estimates, machines: &c.machines,
		indexByID: map[string]int32{}, awaited: map[string][]int32{}, cancelling: map[int32]bool{}}
}

package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/wire"
)

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
	active     []*job // jobs that are not cleaned up
	graph      depgraph.Graph
	cancelling map[int32]bool // jobs whose cancellation is being written
	unwritten  []*job         // with something new for the ledger
}

func newJobTable(c *Core) jobTable {
	return jobTable{cfg: &c.cfg, clock: &c.clock, effects: &c.effects, writes: &c.writes, estimates: &c.estimates, machines: &c.machines,
		indexByID: map[string]int32{}, cancelling: map[int32]bool{}}
}

// add adds a new job, whose index follows the last one.
func (t *jobTable) add(j *job) {
	t.graph.Add(&j.dependencies)
	t.indexByID[j.id] = j.index
	t.list = append(t.list, j)
}

// addActive counts a job among those that need attention.
func (t *jobTable) addActive(j *job) { t.active = append(t.active, j) }

// addCancelling notes that a job's cancellation is being written.
func (t *jobTable) addCancelling(j *job) { t.cancelling[j.index] = true }

// removeCancelling notes that it is durable.
func (t *jobTable) removeCancelling(j *job) { delete(t.cancelling, j.index) }

// anyWaiting tells whether some task could be placed if there were room.
func (t *jobTable) anyWaiting() bool {
	return slices.ContainsFunc(t.active, func(j *job) bool { return j.placeable(t.clock.now) })
}

func (t *jobTable) taskName(b *allocation) string {
	return wire.TaskName{JobID: t.list[b.job].id, Index: int(b.task)}.String()
}

// reportedTask is the task of an entry in a heartbeat.
type reportedTask struct {
	job        *job // nil: not known
	index      int32
	allocation *allocation // nil: there is none for the attempt
}

// findTask finds the task of an entry in a heartbeat.
func (t *jobTable) findTask(m *machine, status *wire.TaskStatus) reportedTask {
	if b := m.allocation(status.Attempt); b != nil {
		return reportedTask{t.list[b.job], b.task, b}
	}
	name, err := wire.ParseTaskName(status.Task)
	at, known := t.indexByID[name.JobID]
	if err != nil || !known || t.list[at].spec != nil && name.Index >= t.list[at].progress.total {
		return reportedTask{}
	}
	return reportedTask{job: t.list[at], index: int32(name.Index)}
}

// taskIsDone tells whether a task has ended.
func (t *jobTable) taskIsDone(id string, n int) bool {
	i, ok := t.indexByID[id]
	if !ok {
		return true
	}
	j := t.list[i]
	return j.ended() || n >= len(j.progress.tasks) || j.progress.tasks[n].state >= taskDone
}

// runningJobCounter counts the running jobs of a group, once for all who ask in a step.
func (t *jobTable) runningJobCounter() func(rollout.Group) int {
	var counts map[rollout.Group]int
	return func(g rollout.Group) int {
		if counts == nil {
			counts = map[rollout.Group]int{}
			for _, j := range t.active {
				if j.spec != nil && j.progress.allocated > 0 && !j.ended() {
					counts[rollout.TeamGroup(j.spec.Team)]++
					counts[rollout.ClassGroup(j.spec.Class)]++
				}
			}
		}
		return counts[g]
	}
}

// cleanUp drops what is kept for a job that has ended, once it has nothing on any machine any
// more.
func (t *jobTable) cleanUp(j *job) {
	if !j.end.durable || j.end.cleanedUp || j.progress.allocated > 0 || len(j.record.inDoubtHosts) > 0 {
		return
	}
	j.end.cleanedUp = true
	t.deleteKeys(j)
	for _, h := range j.record.hosts {
		m := t.machines.list[h.machine]
		m.recorded.namedByJobs--
	}
	j.progress.tasks, j.record.hosts, j.record.hostIndexByMachine, j.record.hostChunks, j.record.finishedKeys = nil, nil, nil, nil, nil
	j.retry.clearFailures()
}

// removeCleanedUp removes jobs that need no more attention from the active ones.
func (t *jobTable) removeCleanedUp() {
	t.active = slices.DeleteFunc(t.active, func(j *job) bool { return j.end.cleanedUp })
}

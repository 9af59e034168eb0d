package scheduler

import (
	"slices"

	"leadproxy/internal/rollout"
	"leadproxy/internal/scheduler/depgraph"
	"leadproxy/internal/wire"
)

// jobTable holds all jobs of the term and the dependency graph between them.
type jobTable struct {
	cfg       *Config
	clock     *clock
	effects   *effects
	writes    *durableWrites
	estimates *runEstimates
	machines  *machineTable

	list       []*job
	indexByID  map[string]int32
	active     []*job // jobs that have not been cleaned up
	graph      depgraph.Graph
	cancelling map[int32]bool // jobs whose cancellation is being written
	unwritten  []*job         // jobs with hosts or finished tasks to be written
}

func newJobTable(c *Core) jobTable {
	return jobTable{cfg: &c.cfg, clock: &c.clock, effects: &c.effects, writes: &c.writes, estimates: &c.estimates, machines: &c.machines,
		indexByID: map[string]int32{}, cancelling: map[int32]bool{}}
}

// add adds a new job, whose index must follow the last one.
func (t *jobTable) add(j *job) {
	t.graph.Add(&j.dependencies)
	t.indexByID[j.id] = j.index
	t.list = append(t.list, j)
}

// addActive adds a job to those that are not cleaned up yet.
func (t *jobTable) addActive(j *job) { t.active = append(t.active, j) }

// addCancelling records that the cancellation of a job is being written.
func (t *jobTable) addCancelling(j *job) { t.cancelling[j.index] = true }

// removeCancelling records that the cancellation of a job is durable.
func (t *jobTable) removeCancelling(j *job) { delete(t.cancelling, j.index) }

// anyWaiting reports whether any task waits only for free resources or its team's quota.
func (t *jobTable) anyWaiting() bool {
	return slices.ContainsFunc(t.active, func(j *job) bool { return j.placeable(t.clock.now) })
}

// taskName returns the name of an allocation's task, as agents and logs use it.
func (t *jobTable) taskName(alloc *allocation) string {
	return wire.TaskName{JobID: t.list[alloc.job].id, Index: int(alloc.task)}.String()
}

// reportedTask is what this leader knows about a task in a heartbeat.
type reportedTask struct {
	job        *job // nil: unknown
	index      int32
	allocation *allocation // nil: the attempt has none
}

// findTask looks up the task of a heartbeat entry, by its attempt and otherwise by its name.
func (t *jobTable) findTask(m *machine, status *wire.TaskStatus) reportedTask {
	if alloc := m.allocation(status.Attempt); alloc != nil {
		return reportedTask{t.list[alloc.job], alloc.task, alloc}
	}
	name, err := wire.ParseTaskName(status.Task)
	index, known := t.indexByID[name.JobID]
	if err != nil || !known || t.list[index].spec != nil && name.Index >= t.list[index].progress.total {
		return reportedTask{}
	}
	return reportedTask{job: t.list[index], index: int32(name.Index)}
}

// taskIsDone reports whether a task has completed. Tasks of unknown and ended jobs, and tasks out of
// range, count as completed.
func (t *jobTable) taskIsDone(jobID string, taskIndex int) bool {
	index, ok := t.indexByID[jobID]
	if !ok {
		return true
	}
	j := t.list[index]
	return j.ended() || taskIndex >= len(j.progress.tasks) || j.progress.tasks[taskIndex].state >= taskDone
}

// runningJobCounter returns a function that counts the running jobs of a group. All groups are
// counted at its first call, so it must not be kept beyond the current step.
func (t *jobTable) runningJobCounter() func(rollout.Group) int {
	var counts map[rollout.Group]int
	return func(group rollout.Group) int {
		if counts == nil {
			counts = map[rollout.Group]int{}
			for _, j := range t.active {
				if j.spec != nil && j.progress.allocated > 0 && !j.ended() {
					counts[rollout.TeamGroup(j.spec.Team)]++
					counts[rollout.ClassGroup(j.spec.Class)]++
				}
			}
		}
		return counts[group]
	}
}

// cleanUp releases the state of an ended job once its terminal state is durable and no task of it
// can be on any machine.
func (t *jobTable) cleanUp(j *job) {
	if !j.end.durable || j.end.cleanedUp || j.progress.allocated > 0 || len(j.record.inDoubtHosts) > 0 {
		return
	}
	j.end.cleanedUp = true
	t.deleteKeys(j)
	for _, host := range j.record.hosts {
		m := t.machines.list[host.machine]
		m.recorded.namedByJobs--
	}
	j.progress.tasks, j.record.hosts, j.record.hostIndexByMachine, j.record.hostChunks, j.record.finishedKeys = nil, nil, nil, nil, nil
	j.retry.clearFailures()
}

// removeCleanedUp removes cleaned-up jobs from the active ones.
func (t *jobTable) removeCleanedUp() {
	t.active = slices.DeleteFunc(t.active, func(j *job) bool { return j.end.cleanedUp })
}

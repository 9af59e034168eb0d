package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newDependentJob returns a job with one task that depends on other jobs.
func newDependentJob(jobID string, dependsOn ...string) *wire.Job {
	j := newTestJob(jobID, 1, 1)
	j.DependsOn = dependsOn
	return j
}

// finishTask has an agent report that the only task of a job is done.
func (h *harness) finishTask(machine, jobID string) {
	h.t.Helper()
	var tasks []wire.TaskStatus
	found := false
	for _, alloc := range h.core.findOrAddMachine(machine).capacity.allocations {
		status := newTaskStatus(wire.Command{Task: h.core.jobs.taskName(alloc), Attempt: alloc.attempt}, wire.TaskRunning, "")
		if status.Task == jobID+"/0" {
			status.Status, status.ExitReason, found = wire.TaskEnded, wire.ExitDone, true
		}
		tasks = append(tasks, status)
	}
	h.want(jobID+" has a task on "+machine, found, true)
	h.acknowledge(machine, tasks...)
}

// takeStartedJobs returns the IDs of the jobs whose tasks have been started since the last call, and
// marks the commands as executed.
func (h *harness) takeStartedJobs() string {
	var jobIDs []string
	for _, start := range h.startCommands() {
		jobID := wire.JobIDOfTask(start.Task)
		jobIDs = append(jobIDs, jobID)
	}
	h.completeCommands(CommandExecuted)
	return strings.Join(jobIDs, " ")
}

// TestDependents: no task of a job starts before all jobs that it depends on are durably done. Until
// then the job is queued and does not count towards its team's limit or guarantee.
func TestDependents(t *testing.T) {
	t.Run("a diamond", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 2})
		h.bringUp("vm-1")
		h.submit(newDependentJob("job-1"))
		h.submit(newDependentJob("job-2", "job-1"))
		h.submit(newDependentJob("job-3", "job-1"))
		h.submit(newDependentJob("job-4", "job-2", "job-3"))
		h.want("started at first", h.takeStartedJobs(), "job-1")
		h.want("state of a job that waits", h.jobStatus("job-4"), wire.JobQueued)
		h.want("jobs in the queue", len(h.core.placement.sortedQueue()), 0)
		h.holdWrites = true
		h.finishTask("vm-1", "job-1")
		h.want("started before the end is durable", h.takeStartedJobs(), "")
		h.releaseWrites()
		h.want("started once the end is durable", h.takeStartedJobs(), "job-2 job-3")
		h.finishTask("vm-1", "job-2")
		h.want("started after one of two predecessors", h.takeStartedJobs(), "")
		h.finishTask("vm-1", "job-3")
		h.want("started after both predecessors", h.takeStartedJobs(), "job-4")
		h.finishTask("vm-1", "job-4")
		h.want("state of the last job", h.jobStatus("job-4"), wire.JobDone)
	})
	t.Run("one predecessor is done already, one becomes known later", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-0", Record: ledger.JobRecord{TerminalState: wire.JobDone, Tasks: 1, Done: 1}}}})
		h.bringUp("vm-1")
		h.submit(newDependentJob("job-2", "job-0", "job-1"))
		h.want("started while job-1 is unknown", h.takeStartedJobs(), "")
		h.submit(newDependentJob("job-1"))
		h.want("started once job-1 is known", h.takeStartedJobs(), "job-1")
		h.finishTask("vm-1", "job-1")
		h.want("started once job-1 is done", h.takeStartedJobs(), "job-2")
	})
	t.Run("the end of a predecessor is seen before its submission", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{})
		h.bringUp("vm-1")
		h.submit(newDependentJob("job-2", "job-1"))
		h.submit(newDependentJob("job-4", "job-3"))
		h.step(JobRecordEvent{JobID: "job-1", Record: ledger.JobRecord{TerminalState: wire.JobDone, Tasks: 1, Done: 1}, Version: 4})
		h.step(JobRecordEvent{JobID: "job-3", Record: ledger.JobRecord{Job: newDependentJob("job-3"), TerminalState: wire.JobCancelled}, Version: 4})
		h.want("started after a predecessor that is done", h.takeStartedJobs(), "job-2")
		h.want("state of the job with a cancelled predecessor", h.jobStatus("job-4"), wire.JobCancelled)
	})
	t.Run("blocked jobs do not count towards the guarantee", func(t *testing.T) {
		// Both teams need all of the one machine. Jobs that wait for their dependencies do not
		// count towards the first team's demand, so its guarantee covers the remaining job.
		h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUs: 4}, settings.Team{Name: "u"})
		other := newTestJob("job-9", 4, 1)
		other.Team, other.Priority = "u", "critical"
		h.submit(other)
		first := newTestJob("job-1", 4, 1)
		h.submit(first)
		for i := range 10 {
			h.submit(newDependentJob(fmt.Sprintf("job-2%d", i), "job-1"))
		}
		h.want("first in the queue", h.core.placement.sortedQueue()[0].id, "job-1")
		h.want("jobs in the queue", len(h.core.placement.sortedQueue()), 2)
	})
	t.Run("cancellation of a long chain and a wide fan", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{})
		h.bringUp("vm-1")
		const length = 3000
		h.submit(newDependentJob("job-0"))
		for i := range length {
			h.submit(newDependentJob(fmt.Sprintf("job-1%d", i), "job-0"))
			predecessor := "job-0"
			if i > 0 {
				predecessor = fmt.Sprintf("job-2%d", i-1)
			}
			h.submit(newDependentJob(fmt.Sprintf("job-2%d", i), predecessor))
		}
		h.step(CancelRequest{JobID: "job-0", ReplyTo: testRecipient("u")})
		h.want("state of the last job of the fan", h.jobStatus(fmt.Sprintf("job-1%d", length-1)), wire.JobCancelled)
		h.want("state of the last job of the chain", h.jobStatus(fmt.Sprintf("job-2%d", length-1)), wire.JobCancelled)
		h.want("its terminal state in the ledger", h.writesByKey[fmt.Sprintf("job/job-2%d", length-1)].Value.(ledger.JobRecord).TerminalState, wire.JobCancelled)
	})
}

// TestDependentsOfACancelledJob: the dependents of a cancelled job count as cancelled from the
// moment at which its record is durable, before their own records are written, and remain so.
func TestDependentsOfACancelledJob(t *testing.T) {
	unfinished := func(jobID string, dependsOn ...string) ledger.SavedJob {
		return ledger.SavedJob{ID: jobID, Version: 3, Record: ledger.JobRecord{Job: newDependentJob(jobID, dependsOn...), AcceptedMS: 1}}
	}
	cancelled := ledger.SavedJob{ID: "job-1", Version: 3, Record: ledger.JobRecord{Job: newDependentJob("job-1").CancelledSummary(), TerminalState: wire.JobCancelled}}
	cases := []struct {
		name  string
		saved []ledger.SavedJob
		act   func(h *harness)
		want  string // the state of job-3, which depends on job-2, which depends on job-1
	}{
		// "" means that the terminal state is pending: the record alone decides.
		{"the cancellation of job-1 is not durable yet", nil, func(h *harness) {
			h.holdWrites = true
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		}, ""},
		{"the cancellation of job-2 is not durable yet", nil, func(h *harness) {
			h.holdWrites = true
			h.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")})
		}, ""},
		{"the cancellation of job-1 is durable", nil, func(h *harness) { h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"the cancellation of job-2 is durable", nil, func(h *harness) { h.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"job-3 itself is cancelled", nil, func(h *harness) { h.step(CancelRequest{JobID: "job-3", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"job-1 was done before the cancellation", nil, func(h *harness) {
			h.finishTask("vm-1", "job-1")
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		}, wire.JobQueued},
		{"the leader failed after the record of job-1 and before those of its dependents", []ledger.SavedJob{unfinished("job-3", "job-2"), unfinished("job-2", "job-1"), cancelled}, nil, wire.JobCancelled},
		{"the dependents are submitted after the cancellation", []ledger.SavedJob{cancelled}, func(h *harness) {
			h.submit(newDependentJob("job-2", "job-1"))
			h.submit(newDependentJob("job-3", "job-2"))
		}, wire.JobCancelled},
		{"another graph: one of several ancestors is cancelled", nil, func(h *harness) {
			h.submit(newDependentJob("job-5"))
			h.submit(newDependentJob("job-6"))
			h.submit(newDependentJob("job-7", "job-5", "job-6"))
			h.submit(newDependentJob("job-8", "job-7", "job-3"))
			h.step(CancelRequest{JobID: "job-5", ReplyTo: testRecipient("u")})
			h.want("state of a dependent", h.jobStatus("job-7"), wire.JobCancelled)
			h.want("state of a dependent of that", h.jobStatus("job-8"), wire.JobCancelled)
			h.want("the other predecessor is not cancelled", h.jobStatus("job-6") != wire.JobCancelled, true)
		}, wire.JobQueued},
		{"a diamond is cancelled at its top", nil, func(h *harness) {
			h.submit(newDependentJob("job-4", "job-1"))
			h.submit(newDependentJob("job-9", "job-4", "job-2"))
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			h.want("state of the job at the bottom", h.jobStatus("job-9"), wire.JobCancelled)
			h.want("state of the other branch", h.jobStatus("job-4"), wire.JobCancelled)
		}, wire.JobCancelled},
		{"one branch of a diamond is cancelled", nil, func(h *harness) {
			h.submit(newDependentJob("job-4", "job-1"))
			h.submit(newDependentJob("job-9", "job-4", "job-2"))
			h.step(CancelRequest{JobID: "job-4", ReplyTo: testRecipient("u")})
			h.want("state of the job at the bottom", h.jobStatus("job-9"), wire.JobCancelled)
		}, wire.JobQueued},
		{"job-1 is cancelled while its completion is being written", nil, func(h *harness) {
			h.holdWrites = true
			h.finishTask("vm-1", "job-1")
			h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			h.releaseWrites()
			h.want("state of job-1", h.jobStatus("job-1"), wire.JobDone)
		}, wire.JobQueued},
		{"a leader change without a cancellation", []ledger.SavedJob{unfinished("job-3", "job-2"), unfinished("job-2", "job-1"), unfinished("job-1")}, nil, wire.JobQueued},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{Jobs: test.saved})
			h.bringUp("vm-1")
			if test.saved == nil {
				h.submit(newDependentJob("job-1"))
				h.submit(newDependentJob("job-2", "job-1"))
				h.submit(newDependentJob("job-3", "job-2"))
				h.completeCommands(CommandExecuted)
			}
			if test.act != nil {
				test.act(h)
			}
			state := h.jobStatus("job-3")
			if h.recentEffects[0].(UserReply).TerminalStatePending {
				state = ""
			}
			h.want("state of job-3", state, test.want)
			h.completeCommands(CommandExecuted)
			h.advance(time.Second)
			for _, start := range h.startCommands() {
				if jobID := wire.JobIDOfTask(start.Task); jobID == "job-3" {
					t.Errorf("%s was started, want no start of job-3", start.Task)
				}
			}
		})
	}
}

// TestPredecessorsInheritPriority: a job is at least as urgent as every job that depends on it, its
// deadline leaves these enough time for theirs, and its waiting time counts from when it is ready.
func TestPredecessorsInheritPriority(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.submit(newTestJob("job-7", 1, 1))
	first := newDependentJob("job-1")
	first.Priority = "idle"
	h.submit(first)
	h.submit(newDependentJob("job-2", "job-1"))
	job := func(jobID string) *job { return h.core.jobs.list[h.core.jobs.indexByID[jobID]] }
	h.want("predecessor less urgent than its dependent", job("job-1").priority.class > job("job-2").priority.class, false)
	h.want("deadline before a dependent has one", job("job-1").priority.deadline, noDeadline)
	last := newDependentJob("job-3", "job-2")
	last.Priority = "critical"
	deadline := 100.0
	last.DeadlineS = &deadline
	h.submit(last)
	for _, jobID := range []string{"job-1", "job-2", "job-3"} {
		h.want("priority class of "+jobID, job(jobID).priority.class, 0)
	}
	h.want("deadline of the last job", job("job-3").priority.deadline, 100*time.Second)
	h.want("deadline of its predecessor", job("job-2").priority.deadline, 90*time.Second)
	h.want("deadline of the first job", job("job-1").priority.deadline, 80*time.Second)
	h.want("first in the queue", h.core.placement.sortedQueue()[0].id, "job-1")
	h.want("priority class of an unrelated job", job("job-7").priority.class, 2)
	h.now += 3 * time.Minute
	h.bringUp("vm-1")
	h.completeCommands(CommandExecuted)
	h.finishTask("vm-1", "job-1")
	h.want("arrival of the second job", job("job-2").priority.arrived, h.now)
}

// TestDeadlinesOfALongPipelineTakeOneStepForEachJob guards against a core that stands still for minutes: each
// stage needs the one before directly and by way of a job that takes as long as all stages before it, so
// that the priorities of a stage were corrected twice for each correction of the next.
func TestDeadlinesOfALongPipelineTakeOneStepForEachJob(t *testing.T) {
	const (
		stages        = 28
		firstEstimate = 0.1 // s, doubled with each stage
		limit         = time.Second
	)
	h := newHarness(t, ledger.Snapshot{})
	h.submit(newTestJob("job-1000", 1, 1))
	for stage := 1; stage <= stages; stage++ {
		previous := fmt.Sprintf("job-%d", 1000+stage-1)
		detour := newTestJob(fmt.Sprintf("job-%d", 2000+stage), 1, 1)
		detour.DependsOn, detour.EstimatedRunS = []string{previous}, firstEstimate*float64(uint64(1)<<(stage-1))
		h.submit(detour)
		next := newTestJob(fmt.Sprintf("job-%d", 1000+stage), 1, 1)
		next.DependsOn, next.EstimatedRunS = []string{detour.ID, previous}, firstEstimate
		if stage == stages {
			due := 60.0
			next.DeadlineS = &due
		}
		begin := time.Now()
		h.submit(next)
		if took := time.Since(begin); took > limit {
			t.Errorf("the submission of stage %d took %v, want at most %v", stage, took, limit)
		}
	}
	first := h.core.jobs.list[h.core.jobs.indexByID["job-1000"]]
	longestPath := firstEstimate*float64(uint64(1)<<stages-1) + firstEstimate*stages
	h.want("deadline of the first stage in s", math.Round(first.priority.deadline.Seconds()), math.Round(60-longestPath))
}

// TestDeadlinesLeaveTimeForTheLongestPath compares the deadlines of random pipelines, whose records reach
// the core in any order, with the least that any path to a dependent with a deadline leaves.
func TestDeadlinesLeaveTimeForTheLongestPath(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 31))
		jobs := make([]*wire.Job, 2+random.IntN(12))
		want := make([]float64, len(jobs))
		for i := range jobs {
			jobs[i], want[i] = newDependentJob(fmt.Sprintf("job-%d", i)), math.Inf(1)
			jobs[i].EstimatedRunS = float64(1 + random.IntN(50))
			for predecessor := range i {
				if random.IntN(3) == 0 {
					jobs[i].DependsOn = append(jobs[i].DependsOn, jobs[predecessor].ID)
				}
			}
			if random.IntN(3) == 0 {
				due := float64(100 + random.IntN(300))
				jobs[i].DeadlineS, want[i] = &due, due
			}
		}
		h := newHarness(t, ledger.Snapshot{})
		for _, i := range random.Perm(len(jobs)) {
			h.submit(jobs[i])
		}
		for i := len(jobs) - 1; i >= 0; i-- {
			for _, predecessor := range jobs[i].DependsOn {
				index := slices.IndexFunc(jobs, func(j *wire.Job) bool { return j.ID == predecessor })
				want[index] = min(want[index], want[i]-jobs[i].EstimatedRunS)
			}
		}
		for i, j := range jobs {
			got := math.Inf(1)
			if deadline := h.core.jobs.list[h.core.jobs.indexByID[j.ID]].priority.deadline; deadline != noDeadline {
				got = deadline.Seconds()
			}
			if got != want[i] {
				t.Fatalf("seed %d: deadline of %s is %v s, want %v s", seed, j.ID, got, want[i])
			}
		}
	}
}

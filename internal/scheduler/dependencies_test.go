package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// newDependentJob is a job of one task that waits for others.
func newDependentJob(jobID string, others ...string) *wire.Job {
	j := newTestJob(jobID, 1, 1)
	j.DependsOn = others
	return j
}

// finishTask has a machine report the one task of a job as done.
func (h *harness) finishTask(machine, jobID string) {
	h.t.Helper()
	var tasks []wire.TaskStatus
	there := false
	for _, b := range h.core.findOrAddMachine(machine).capacity.allocations {
		t := newTaskStatus(wire.Command{Task: h.core.jobs.taskName(b), Attempt: b.attempt}, wire.TaskRunning, "")
		if t.Task == jobID+"/0" {
			t.Status, t.ExitReason, there = wire.TaskEnded, wire.ExitDone, true
		}
		tasks = append(tasks, t)
	}
	h.want(jobID+" is on "+machine, there, true)
	h.acknowledge(machine, tasks...)
}

// takeStartedJobs lists the jobs whose tasks have been started since the last call.
func (h *harness) takeStartedJobs() string {
	var jobIDs []string
	for _, o := range h.startCommands() {
		jobID := wire.JobIDOfTask(o.Task)
		jobIDs = append(jobIDs, jobID)
	}
	h.completeCommands(CommandExecuted)
	return strings.Join(jobIDs, " ")
}

// TestDependents: nothing of a job starts before all its dependencies are durably done; until
// then it is queued and does not count for its team's limit.
func TestDependents(t *testing.T) {
	t.Run("a diamond", func(t *testing.T) {
		g := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 2})
		g.bringUp("vm-1")
		g.submit(newDependentJob("job-1"))
		g.submit(newDependentJob("job-2", "job-1"))
		g.submit(newDependentJob("job-3", "job-1"))
		g.submit(newDependentJob("job-4", "job-2", "job-3"))
		g.want("started at first", g.takeStartedJobs(), "job-1")
		g.want("state of what waits", g.jobStatus("job-4"), wire.JobQueued)
		g.want("demand for it", len(g.core.placement.sortedQueue()), 0)
		g.holdWrites = true
		g.finishTask("vm-1", "job-1")
		g.want("started before the end is durable", g.takeStartedJobs(), "")
		g.releaseWrites()
		g.want("started after it", g.takeStartedJobs(), "job-2 job-3")
		g.finishTask("vm-1", "job-2")
		g.want("started after one of two", g.takeStartedJobs(), "")
		g.finishTask("vm-1", "job-3")
		g.want("started at last", g.takeStartedJobs(), "job-4")
		g.finishTask("vm-1", "job-4")
		g.want("state at last", g.jobStatus("job-4"), wire.JobDone)
	})
	t.Run("a predecessor that is done already, and one seen later", func(t *testing.T) {
		g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-0", Record: ledger.JobRecord{TerminalState: wire.JobDone, Tasks: 1, Done: 1}}}})
		g.bringUp("vm-1")
		g.submit(newDependentJob("job-2", "job-0", "job-1"))
		g.want("started", g.takeStartedJobs(), "")
		g.submit(newDependentJob("job-1"))
		g.want("started", g.takeStartedJobs(), "job-1")
		g.finishTask("vm-1", "job-1")
		g.want("started", g.takeStartedJobs(), "job-2")
	})
	t.Run("a predecessor whose end is seen first", func(t *testing.T) {
		g := newHarness(t, ledger.Snapshot{})
		g.bringUp("vm-1")
		g.submit(newDependentJob("job-2", "job-1"))
		g.submit(newDependentJob("job-4", "job-3"))
		g.step(JobRecordEvent{JobID: "job-1", Record: ledger.JobRecord{TerminalState: wire.JobDone, Tasks: 1, Done: 1}, Version: 4})
		g.step(JobRecordEvent{JobID: "job-3", Record: ledger.JobRecord{Job: newDependentJob("job-3"), TerminalState: wire.JobCancelled}, Version: 4})
		g.want("started", g.takeStartedJobs(), "job-2")
		g.want("state of the other", g.jobStatus("job-4"), wire.JobCancelled)
	})
	t.Run("a guarantee", func(t *testing.T) {
		// Both teams need all of the one machine. A job that waits for its dependencies does not
		// count for the first team's demand, so its guarantee covers the rest.
		g := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUs: 4}, settings.Team{Name: "u"})
		other := newTestJob("job-9", 4, 1)
		other.Team, other.Priority = "u", "critical"
		g.submit(other)
		first := newTestJob("job-1", 4, 1)
		g.submit(first)
		for i := range 10 {
			g.submit(newDependentJob(fmt.Sprintf("job-2%d", i), "job-1"))
		}
		g.want("first in the queue", g.core.placement.sortedQueue()[0].id, "job-1")
		g.want("in the queue", len(g.core.placement.sortedQueue()), 2)
	})
	t.Run("a long chain and a wide fan", func(t *testing.T) {
		g := newHarness(t, ledger.Snapshot{})
		g.bringUp("vm-1")
		const n = 3000
		g.submit(newDependentJob("job-0"))
		for i := range n {
			g.submit(newDependentJob(fmt.Sprintf("job-1%d", i), "job-0"))
			before := "job-0"
			if i > 0 {
				before = fmt.Sprintf("job-2%d", i-1)
			}
			g.submit(newDependentJob(fmt.Sprintf("job-2%d", i), before))
		}
		g.step(CancelRequest{JobID: "job-0", ReplyTo: testRecipient("u")})
		g.want("the last of the fan", g.jobStatus(fmt.Sprintf("job-1%d", n-1)), wire.JobCancelled)
		g.want("the last of the chain", g.jobStatus(fmt.Sprintf("job-2%d", n-1)), wire.JobCancelled)
		g.want("what the ledger has of it", g.writesByKey[fmt.Sprintf("job/job-2%d", n-1)].Value.(ledger.JobRecord).TerminalState, wire.JobCancelled)
	})
}

// TestDependentsOfACancelledJob: they count as cancelled from the moment in which that of their
// ancestor is durable, without writes of their own, and stay so.
func TestDependentsOfACancelledJob(t *testing.T) {
	open := func(jobID string, needs ...string) ledger.SavedJob {
		return ledger.SavedJob{ID: jobID, Version: 3, Record: ledger.JobRecord{Job: newDependentJob(jobID, needs...), AcceptedMS: 1}}
	}
	cancelled := ledger.SavedJob{ID: "job-1", Version: 3, Record: ledger.JobRecord{Job: newDependentJob("job-1").CancelledSummary(), TerminalState: wire.JobCancelled}}
	cases := []struct {
		name  string
		saved []ledger.SavedJob
		play  func(g *harness)
		want  string // the state of job-3, which depends on job-2, which depends on job-1
	}{
		// "" is decided by the record alone.
		{"before it is durable", nil, func(g *harness) {
			g.holdWrites = true
			g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		}, ""},
		{"before that of the one between", nil, func(g *harness) {
			g.holdWrites = true
			g.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")})
		}, ""},
		{"once it is durable", nil, func(g *harness) { g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"the one between", nil, func(g *harness) { g.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"the last alone", nil, func(g *harness) { g.step(CancelRequest{JobID: "job-3", ReplyTo: testRecipient("u")}) }, wire.JobCancelled},
		{"done before", nil, func(g *harness) {
			g.finishTask("vm-1", "job-1")
			g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
		}, wire.JobQueued},
		{"the leader ended between its write and theirs", []ledger.SavedJob{open("job-3", "job-2"), open("job-2", "job-1"), cancelled}, nil, wire.JobCancelled},
		{"submitted after it", []ledger.SavedJob{cancelled}, func(g *harness) {
			g.submit(newDependentJob("job-2", "job-1"))
			g.submit(newDependentJob("job-3", "job-2"))
		}, wire.JobCancelled},
		{"one of several ancestors, the others run on", nil, func(g *harness) {
			g.submit(newDependentJob("job-5"))
			g.submit(newDependentJob("job-6"))
			g.submit(newDependentJob("job-7", "job-5", "job-6"))
			g.submit(newDependentJob("job-8", "job-7", "job-3"))
			g.step(CancelRequest{JobID: "job-5", ReplyTo: testRecipient("u")})
			g.want("what needs it", g.jobStatus("job-7"), wire.JobCancelled)
			g.want("what needs that", g.jobStatus("job-8"), wire.JobCancelled)
			g.want("what it was beside", g.jobStatus("job-6") != wire.JobCancelled, true)
		}, wire.JobQueued},
		{"both ways of a diamond", nil, func(g *harness) {
			g.submit(newDependentJob("job-4", "job-1"))
			g.submit(newDependentJob("job-9", "job-4", "job-2"))
			g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			g.want("where the ways meet", g.jobStatus("job-9"), wire.JobCancelled)
			g.want("the other way", g.jobStatus("job-4"), wire.JobCancelled)
		}, wire.JobCancelled},
		{"one way of a diamond", nil, func(g *harness) {
			g.submit(newDependentJob("job-4", "job-1"))
			g.submit(newDependentJob("job-9", "job-4", "job-2"))
			g.step(CancelRequest{JobID: "job-4", ReplyTo: testRecipient("u")})
			g.want("where the ways meet", g.jobStatus("job-9"), wire.JobCancelled)
		}, wire.JobQueued},
		{"cancelled as its last task ends", nil, func(g *harness) {
			g.holdWrites = true
			g.finishTask("vm-1", "job-1")
			g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
			g.releaseWrites()
			g.want("the one that was cancelled", g.jobStatus("job-1"), wire.JobDone)
		}, wire.JobQueued},
		{"a takeover without it", []ledger.SavedJob{open("job-3", "job-2"), open("job-2", "job-1"), open("job-1")}, nil, wire.JobQueued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, ledger.Snapshot{Jobs: c.saved})
			g.bringUp("vm-1")
			if c.saved == nil {
				g.submit(newDependentJob("job-1"))
				g.submit(newDependentJob("job-2", "job-1"))
				g.submit(newDependentJob("job-3", "job-2"))
				g.completeCommands(CommandExecuted)
			}
			if c.play != nil {
				c.play(g)
			}
			state := g.jobStatus("job-3")
			if g.recentEffects[0].(UserReply).TerminalStatePending {
				state = ""
			}
			g.want("state of the last", state, c.want)
			g.completeCommands(CommandExecuted)
			g.advance(time.Second)
			for _, o := range g.startCommands() {
				if jobID := wire.JobIDOfTask(o.Task); jobID == "job-3" {
					t.Errorf("%s was started", o.Task)
				}
			}
		})
	}
}

// TestPredecessorsInheritPriority: a job is as urgent as any that depends on it, and in time
// for its deadline; waits count from when it is ready.
func TestPredecessorsInheritPriority(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.submit(newTestJob("job-7", 1, 1))
	first := newDependentJob("job-1")
	first.Priority = "idle"
	g.submit(first)
	g.submit(newDependentJob("job-2", "job-1"))
	of := func(jobID string) *job { return g.core.jobs.list[g.core.jobs.indexByID[jobID]] }
	g.want("without an end", of("job-1").priority.class > of("job-2").priority.class, false)
	g.want("its deadline", of("job-1").priority.deadline, noDeadline)
	last := newDependentJob("job-3", "job-2")
	last.Priority = "critical"
	due := 100.0
	last.DeadlineS = &due
	g.submit(last)
	for _, jobID := range []string{"job-1", "job-2", "job-3"} {
		g.want("rank of "+jobID, of(jobID).priority.class, 0)
	}
	g.want("due of the last", of("job-3").priority.deadline, 100*time.Second)
	g.want("due of the one before", of("job-2").priority.deadline, 90*time.Second)
	g.want("due of the first", of("job-1").priority.deadline, 80*time.Second)
	g.want("first in the queue", g.core.placement.sortedQueue()[0].id, "job-1")
	g.want("rank of another job", of("job-7").priority.class, 2)
	g.now += 3 * time.Minute
	g.bringUp("vm-1")
	g.completeCommands(CommandExecuted)
	g.finishTask("vm-1", "job-1")
	g.want("when the second became ready", of("job-2").priority.arrived, g.now)
}

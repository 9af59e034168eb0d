package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// statusReply requests and returns the reply to a status request.
func (h *harness) statusReply(jobID string) UserReply {
	h.t.Helper()
	h.recentEffects = nil
	h.step(StatusRequest{JobID: jobID, ReplyTo: testRecipient("u")})
	for _, effect := range h.recentEffects {
		if reply, ok := effect.(UserReply); ok {
			return reply
		}
	}
	h.t.Fatal("the status request got no reply")
	return UserReply{}
}

// TestNoStatusFromMemoryWhileAPredecessorIsUnknown: a predecessor that the core does not know may be
// cancelled, so that only the records tell whether the job is.
func TestNoStatusFromMemoryWhileAPredecessorIsUnknown(t *testing.T) {
	cancelled := ledger.JobRecord{Job: newDependentJob("job-1").CancelledSummary(), TerminalState: wire.JobCancelled}
	done := ledger.JobRecord{TerminalState: wire.JobDone, Tasks: 1, Done: 1}
	submit := func(jobID string, dependsOn ...string) func(h *harness) {
		return func(h *harness) { h.submit(newDependentJob(jobID, dependsOn...)) }
	}
	record := func(jobID string, record ledger.JobRecord) func(h *harness) {
		return func(h *harness) { h.step(JobRecordEvent{JobID: jobID, Record: record, Version: 4}) }
	}
	cases := []struct {
		name   string
		events []func(h *harness)
		want   string // the status of job-9; "": the records decide
	}{
		{"unknown", []func(h *harness){submit("job-9", "job-1")}, ""},
		{"unknown behind a known one", []func(h *harness){submit("job-9", "job-2"), submit("job-2", "job-1")}, ""},
		{"unknown behind a known one that was there before", []func(h *harness){submit("job-2", "job-1"), submit("job-9", "job-2")}, ""},
		{"one of two unknown", []func(h *harness){submit("job-9", "job-1", "job-2"), submit("job-2")}, ""},
		{"diamond with an unknown top", []func(h *harness){submit("job-2", "job-1"), submit("job-3", "job-1"), submit("job-9", "job-2", "job-3")}, ""},
		{"unknown only behind one that is done", []func(h *harness){submit("job-9", "job-2"), record("job-2", done)}, wire.JobQueued},
		{"becomes known as unfinished", []func(h *harness){submit("job-9", "job-1"), submit("job-1")}, wire.JobQueued},
		{"becomes known as done", []func(h *harness){submit("job-9", "job-1"), record("job-1", done)}, wire.JobRunning},
		{"becomes known as cancelled", []func(h *harness){submit("job-9", "job-1"), record("job-1", cancelled)}, wire.JobCancelled},
		{"becomes known as cancelled behind a known one", []func(h *harness){submit("job-9", "job-2"), submit("job-2", "job-1"), record("job-1", cancelled)}, wire.JobCancelled},
		{"becomes known with an unknown one behind it", []func(h *harness){submit("job-9", "job-2"), submit("job-2", "job-1", "job-3"), submit("job-1")}, ""},
		{"diamond whose top becomes known as cancelled", []func(h *harness){submit("job-2", "job-1"), submit("job-3", "job-1"), submit("job-9", "job-2", "job-3"), record("job-1", cancelled)}, wire.JobCancelled},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			for _, apply := range test.events {
				apply(h)
			}
			reply := h.statusReply("job-9")
			h.want("the records decide", reply.TerminalStatePending, test.want == "")
			if test.want == wire.JobRunning {
				h.want("started", h.takeStartedJobs(), "job-9")
			} else if test.want != "" {
				h.want("status", reply.Status.Status, test.want)
			}
		})
	}
}

// takeRecordReads returns the IDs of the jobs whose records the core has requested since the last call.
func (h *harness) takeRecordReads() (jobIDs []string) {
	remaining := h.otherEffects[:0]
	for _, effect := range h.otherEffects {
		if read, ok := effect.(ReadJobRecord); ok {
			jobIDs = append(jobIDs, read.JobID)
			continue
		}
		remaining = append(remaining, effect)
	}
	h.otherEffects = remaining
	return jobIDs
}

// answerRead answers a read with the record of a job that was accepted.
func (h *harness) answerRead(j *wire.Job) {
	record := JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: h.now.Milliseconds()}, Version: 3}
	h.step(RecordReadResult{JobID: j.ID, Outcome: RecordFound, Record: record})
}

func TestRecordsOfUnknownPredecessorsAreRead(t *testing.T) {
	t.Run("not while the watch may deliver them", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{})
		h.submit(newDependentJob("job-2", "job-1"))
		h.submit(newDependentJob("job-1"))
		h.step(Tick{})
		h.want("reads", h.takeRecordReads(), []string{})
	})
	t.Run("once, and again after a failure", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{})
		h.submit(newDependentJob("job-2", "job-1"))
		h.submit(newDependentJob("job-3", "job-1"))
		h.want("reads before a tick", h.takeRecordReads(), []string{})
		h.step(Tick{})
		h.step(Tick{})
		h.want("reads", h.takeRecordReads(), []string{"job-1"})
		h.step(RecordReadResult{JobID: "job-1", Outcome: RecordNotRead})
		h.step(Tick{})
		h.want("reads after a failure", h.takeRecordReads(), []string{"job-1"})
		h.answerRead(newDependentJob("job-1"))
		h.want("the records decide", h.statusReply("job-3").TerminalStatePending, false)
		h.step(Tick{})
		h.want("reads once it is known", h.takeRecordReads(), []string{})
	})
	t.Run("of predecessors that a new term's snapshot lacks", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-2", Version: 3, Record: ledger.JobRecord{Job: newDependentJob("job-2", "job-1"), AcceptedMS: 1}}}})
		h.want("the records decide", h.statusReply("job-2").TerminalStatePending, true)
		h.step(Tick{})
		h.want("reads", h.takeRecordReads(), []string{"job-1"})
	})
	t.Run("a chain without waiting for ticks", func(t *testing.T) {
		const length = 100
		h := newHarness(t, ledger.Snapshot{})
		jobID := func(i int) string { return fmt.Sprintf("job-%d", i) }
		h.submit(newDependentJob("job-last", jobID(0)))
		h.step(Tick{})
		for i := range length {
			h.want("reads", h.takeRecordReads(), []string{jobID(i)})
			h.answerRead(newDependentJob(jobID(i), jobID(i+1)))
		}
		h.step(JobRecordEvent{JobID: jobID(length), Record: ledger.JobRecord{Job: newDependentJob(jobID(length)).CancelledSummary(), TerminalState: wire.JobCancelled}, Version: 4})
		h.want("status of the last job", h.jobStatus("job-last"), wire.JobCancelled)
	})
	t.Run("a bounded number at the same time", func(t *testing.T) {
		h := newHarness(t, ledger.Snapshot{})
		for i := range 3 * maxRecordReads {
			h.submit(newDependentJob(fmt.Sprintf("job-1%d", i), fmt.Sprintf("job-2%d", i)))
		}
		h.step(Tick{})
		h.step(Tick{})
		h.want("reads", len(h.takeRecordReads()), maxRecordReads)
	})
}

func TestUnreadablePredecessorDoesNotLeaveItsDependentsUnanswered(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.submit(newDependentJob("job-2", "job-1"))
	h.submit(newDependentJob("job-3", "job-2"))
	h.step(RecordReadResult{JobID: "job-1", Outcome: RecordUnreadable})
	h.submit(newDependentJob("job-4", "job-1"))
	for _, jobID := range []string{"job-2", "job-3", "job-4"} {
		reply := h.statusReply(jobID)
		h.want("the records decide on "+jobID, reply.TerminalStatePending, false)
		h.want("status of "+jobID, reply.Status.Status, wire.JobQueued)
	}
	h.step(Tick{})
	h.want("reads", h.takeRecordReads(), []string{})
	h.want("started while it is unreadable", h.takeStartedJobs(), "")
	h.submit(newDependentJob("job-1"))
	h.want("started once its record was repaired", h.takeStartedJobs(), "job-1")
	h.finishTask("vm-1", "job-1")
	h.want("started once it is done", h.takeStartedJobs(), "job-2 job-4")
}

package scheduler

import (
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

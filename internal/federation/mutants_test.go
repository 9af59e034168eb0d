//go:build mutants

package federation

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants lists faulty variants of the source, each without one safeguard of transfers.
// docs/operations-federation.md has the command that runs them. None of them removes the check of
// which cell has answered, since the epoch alone distinguishes the transfers of one job, even to
// different cells.
var mutants = []property.Mutant{
	{Name: "an answer of another epoch is applied", File: "delegated_jobs.go", From: "|| t.record.Epoch != a.Epoch {", To: "{"},
	{Name: "the offer is sent before the record is durable", File: "delegated_jobs.go", From: "body: body, startedAt: now, lastAnswerAt: now}\n	d.transfers[jobID] = t", To: "body: body, startedAt: now, lastAnswerAt: now, phase: phaseOffering}\n	d.transfers[jobID] = t"},
	{Name: "the job returns before its record is durable", File: "delegated_jobs.go", From: "	d.save(t)\n}\n\n// HandleAnswer", To: "	d.save(t)\n	t.phase = phaseClosed\n}\n\n// HandleAnswer"},
	{Name: "a job that is not repeatable is reclaimed", File: "delegated_jobs.go", From: "!t.record.Repeatable || ", To: ""},
	{Name: "an unanswered offer is treated as refused", File: "delegated_jobs.go", From: "t.phase, t.nextMessageAt = phaseRevoking, now\n		d.trace(t, StepRevoking, \"the offer was not answered in time\")", To: "d.closeEpoch(t, false)"},
	{Name: "a cancellation is confirmed while the neighbour may run the job", File: "delegated_jobs.go", From: "t == nil || t.phase == phaseClosed {\n		return true", To: "t == nil || t.phase != phasePlanned {\n		return true"},
	{Name: "a cancellation is confirmed before the cleanup", File: "delegated_jobs.go", From: "t == nil || t.phase == phaseClosed {\n		return true", To: "t == nil || t.phase == phaseClosed || t.phase == phaseCleaning {\n		return true"},
	{Name: "a new leader assumes that an open offer was never sent", File: "delegated_jobs.go", From: "	default:\n		t.phase = phaseOffering", To: "	default:\n		t.phase = phaseClosed"},
	{Name: "the epoch does not increase", File: "delegated_jobs.go", From: "epoch = previous.record.Epoch + 1", To: "epoch = previous.record.Epoch"},
	{Name: "the need for cleanup is not recorded", File: "delegated_jobs.go", From: "t.record.State, t.record.Cleanup = Returned, cleanup", To: "t.record.State, t.record.Cleanup = Returned, false"},
	{Name: "a revocation writes no record", File: "foreign_jobs.go", From: "		record.State = ForeignRevoked\n		f.write(key, entry, record, nil)\n", To: "		a.Outcome = OutcomeRevoked\n		return\n"},
	{Name: "a refusal is answered before it is durable", File: "foreign_jobs.go", From: "		f.decideOffer(key, entry, m.Body, record)\n", To: "		f.decideOffer(key, entry, m.Body, record)\n		if entry.pendingRecord != nil && entry.pendingRecord.State == ForeignRefused {\n			a.Outcome, entry.pendingRecord = OutcomeRefused, nil\n			return\n		}\n"},
	{Name: "an older epoch is decided again", File: "foreign_jobs.go", From: "m.Epoch < entry.record.Epoch:\n		answer.Outcome = OutcomeStale", To: "m.Epoch < entry.record.Epoch:\n		f.decide(key, entry, m, wallMS, &answer)"},
	{Name: "the cancellation of a running job is confirmed at once", File: "foreign_jobs.go", From: "			f.emit(CancelForeign{key.JobID})", To: "			f.emit(CancelForeign{key.JobID})\n			a.Outcome = OutcomeCancelled"},
	{Name: "a cancellation of an accepted job is ignored", File: "foreign_jobs.go", From: "			f.emit(CancelForeign{key.JobID})", To: ""},
	{Name: "an existing job is overwritten", File: "foreign_jobs.go", From: "	if jobExists {", To: "	if false {"},
}

// TestMutantsAreCaught requires that the transfer tests fail for each of the mutants.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestTransfer", mutants, "-rapid.checks=40000", "-rapid.steps=120", "-rapid.nofailfile")
}

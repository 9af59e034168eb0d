//go:build mutants

package federation

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants each take one guard of the handover out. docs/operations-spill.md has the
// command. Not among them is the look at the cell that answers: epochs alone tell the
// transfers of one job apart, whichever cell they are with.
var mutants = []property.Mutant{
	{Name: "an answer of another epoch counts", File: "home.go", From: "|| t.record.Epoch != a.Epoch {", To: "{"},
	{Name: "the offer leaves before the record is durable", File: "home.go", From: "body: body, began: now, heard: now}\n	h.transfers[ref] = t", To: "body: body, began: now, heard: now, phase: offering}\n	h.transfers[ref] = t"},
	{Name: "the job returns before that is durable", File: "home.go", From: "	h.save(t)\n}\n\n// Answered", To: "	h.save(t)\n	t.phase = closed\n}\n\n// Answered"},
	{Name: "a strict job is taken back", File: "home.go", From: "!t.record.Repeatable || ", To: ""},
	{Name: "an unanswered offer counts as refused", File: "home.go", From: "t.phase, t.next = revoking, now\n		h.note(t, StepRevoking, \"the offer was not settled in time\")", To: "h.giveBack(t, false)"},
	{Name: "a cancellation is confirmed while the neighbour may run the job", File: "home.go", From: "t == nil || t.phase == closed {\n		return true", To: "t == nil || t.phase != planned {\n		return true"},
	{Name: "a cancellation is confirmed before the cleanup", File: "home.go", From: "t == nil || t.phase == closed {\n		return true", To: "t == nil || t.phase == closed || t.phase == cleaning {\n		return true"},
	{Name: "a new leader takes an open offer for unsent", File: "home.go", From: "	default:\n		t.phase = offering", To: "	default:\n		t.phase = closed"},
	{Name: "epochs do not rise", File: "home.go", From: "epoch = old.record.Epoch + 1", To: "epoch = old.record.Epoch"},
	{Name: "the cleanup is forgotten", File: "home.go", From: "t.record.State, t.record.Cleanup = Returned, cleanup", To: "t.record.State, t.record.Cleanup = Returned, false"},
	{Name: "a revocation leaves no record", File: "guests.go", From: "		record.State = GuestRevoked\n		g.write(key, r, record, nil)\n", To: "		a.Outcome = OutcomeRevoked\n		return\n"},
	{Name: "a refusal is told before it is durable", File: "guests.go", From: "		g.offered(key, r, m.Body, record)\n", To: "		g.offered(key, r, m.Body, record)\n		if r.writing != nil && r.writing.State == GuestRefused {\n			a.Outcome, r.writing = OutcomeRefused, nil\n			return\n		}\n"},
	{Name: "an older epoch decides anew", File: "guests.go", From: "m.Epoch < r.record.Epoch:\n		answer.Outcome = OutcomeStale", To: "m.Epoch < r.record.Epoch:\n		g.askedFirst(key, r, m, wallMS, &answer)"},
	{Name: "the cancellation of a running job is told at once", File: "guests.go", From: "			g.emit(CancelGuest{key.Ref})", To: "			g.emit(CancelGuest{key.Ref})\n			a.Outcome = OutcomeAborted"},
	{Name: "a cancellation does not reach the job", File: "guests.go", From: "			g.emit(CancelGuest{key.Ref})", To: ""},
	{Name: "a job in the way is overwritten", File: "guests.go", From: "	if jobExists {", To: "	if false {"},
}

// TestMutantsAreCaught runs the handover's tests against each of them.
func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "^TestHandover", mutants, "-rapid.checks=40000", "-rapid.steps=120", "-rapid.nofailfile")
}

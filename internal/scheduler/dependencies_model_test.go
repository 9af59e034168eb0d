package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"leadproxy/internal/ledger"
	"leadproxy/internal/property"
	"leadproxy/internal/wire"
)

// graphModel is the specification of dependent jobs in its simplest form: it recomputes everything
// from all jobs each time.
type graphModel struct {
	dependsOn map[string][]string
	done      map[string]bool
	cancelled map[string]bool // jobs cancelled by their users
	unseen    map[string]bool // jobs whose records have not reached the core
}

// anyAncestor reports whether matches holds for an ancestor of a job.
func (m *graphModel) anyAncestor(jobID string, matches func(jobID string) bool) bool {
	for _, predecessor := range m.dependsOn[jobID] {
		if matches(predecessor) || m.anyAncestor(predecessor, matches) {
			return true
		}
	}
	return false
}

// isCancelled reports whether a job is cancelled, by its user or with an ancestor.
func (m *graphModel) isCancelled(jobID string) bool {
	cancelledByUser := func(jobID string) bool { return m.cancelled[jobID] }
	return !m.done[jobID] && (cancelledByUser(jobID) || m.anyAncestor(jobID, cancelledByUser))
}

// isReady reports whether a job's tasks may start.
func (m *graphModel) isReady(jobID string) bool {
	return !m.done[jobID] && !m.isCancelled(jobID) && !m.anyAncestor(jobID, func(jobID string) bool { return !m.done[jobID] })
}

// TestGraphAgreesWithTheModel submits random graphs, finishes and cancels jobs at random, and
// starts new terms from the ledger in between. Records reach the core in any order and some of them
// late. The core must start exactly the jobs that are ready in the model, and report the same state
// of every job unless it does not know one of the job's ancestors.
func TestGraphAgreesWithTheModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runGraphHistory(t, rand.New(rand.NewPCG(seed, 11)), 60)
		})
	}
}

// TestGraphProperty has rapid search for a short history in which core and model differ.
func TestGraphProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runGraphHistory(t, property.RapidChooser{T: t}, rapid.IntRange(30, 60).Draw(t, "steps"))
	})
}

// runGraphHistory runs one history of submissions, completions, cancellations and leader changes.
func runGraphHistory(t testingT, random property.Chooser, steps int) {
	model := &graphModel{map[string][]string{}, map[string]bool{}, map[string]bool{}, map[string]bool{}}
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	var jobIDs []string
	for step := range steps {
		switch action := random.IntN(12); {
		case action < 5 || len(jobIDs) < 3:
			jobID := fmt.Sprintf("job-%03d", step)
			h.submittedJobs[jobID] = newModelJob(jobID, jobIDs, random)
			jobIDs = append(jobIDs, jobID)
			model.dependsOn[jobID] = h.submittedJobs[jobID].DependsOn
			if random.IntN(3) == 0 {
				model.unseen[jobID] = true
				break
			}
			h.submit(h.submittedJobs[jobID])
		case action < 8:
			if jobID := jobIDs[random.IntN(len(jobIDs))]; model.isReady(jobID) && !model.unseen[jobID] {
				h.completeCommands(CommandExecuted)
				h.finishTask("vm-1", jobID)
				model.done[jobID] = true
			}
		case action < 9:
			if jobID := jobIDs[random.IntN(len(jobIDs))]; !model.unseen[jobID] {
				h.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient("u")})
				model.cancelled[jobID] = model.cancelled[jobID] || !model.done[jobID]
			}
		case action < 11:
			h.deliverUnseen(model, jobIDs[random.IntN(len(jobIDs))])
		default:
			h = startNextTerm(t, h, model, jobIDs)
		}
		h.completeCommands(CommandExecuted)
		h.checkAgainstModel(model, jobIDs)
	}
}

// newModelJob returns a job that depends on up to three of the given jobs. All jobs fit on the
// machine.
func newModelJob(jobID string, jobIDs []string, random property.Chooser) *wire.Job {
	j := newTestJob(jobID, 1, 0.01)
	j.MemGB = 0.01
	for range random.IntN(4) {
		if len(jobIDs) > 0 {
			j.DependsOn = append(j.DependsOn, jobIDs[random.IntN(len(jobIDs))])
		}
	}
	slices.Sort(j.DependsOn)
	j.DependsOn = slices.Compact(j.DependsOn)
	return j
}

// deliverUnseen passes the record of a job to the core if it has not reached it yet.
func (h *harness) deliverUnseen(model *graphModel, jobID string) {
	if model.unseen[jobID] {
		delete(model.unseen, jobID)
		h.submit(h.submittedJobs[jobID])
	}
}

// startNextTerm starts a new term from the job records that the last term wrote, without those that
// are still unseen. The machine has restarted, so that the tasks that ran there start again.
func startNextTerm(t testingT, h *harness, model *graphModel, jobIDs []string) *harness {
	t.Helper()
	var snapshot ledger.Snapshot
	for _, jobID := range jobIDs {
		if model.unseen[jobID] {
			continue
		}
		record := ledger.JobRecord{Job: h.submittedJobs[jobID]}
		if write, ok := h.writesByKey[ledger.JobKey(jobID)]; ok {
			record = write.Value.(ledger.JobRecord)
		}
		snapshot.Jobs = append(snapshot.Jobs, ledger.SavedJob{ID: jobID, Version: 1, Record: record})
	}
	next := newHarness(t, snapshot)
	next.submittedJobs = h.submittedJobs
	for key, write := range h.writesByKey {
		next.writesByKey[key] = write
	}
	next.bringUp("vm-1")
	return next
}

// checkAgainstModel compares the state of all jobs that the core knows, and which of them have tasks
// placed, with the model. The core must leave the state of a job to the records if and only if it
// can't know it.
func (h *harness) checkAgainstModel(model *graphModel, jobIDs []string) {
	h.t.Helper()
	for _, jobID := range jobIDs {
		if model.unseen[jobID] {
			continue
		}
		want := []string{wire.JobQueued, wire.JobRunning}
		switch {
		case model.done[jobID]:
			want = []string{wire.JobDone}
		case model.isCancelled(jobID):
			want = []string{wire.JobCancelled}
		}
		reply := h.statusReply(jobID)
		if reply.TerminalStatePending && !model.anyAncestor(jobID, func(jobID string) bool { return model.unseen[jobID] }) {
			h.t.Errorf("state of %s is left to the records although all its ancestors are known", jobID)
		}
		if got := reply.Status.Status; !reply.TerminalStatePending && !slices.Contains(want, got) {
			h.t.Errorf("state of %s: %s, want one of %v", jobID, got, want)
		}
		j := h.core.jobs.list[h.core.jobs.indexByID[jobID]]
		if hasAllocation := j.progress.tasks != nil && !j.ended() && j.progress.allocated > 0; hasAllocation != model.isReady(jobID) {
			h.t.Errorf("%s has a task placed: %v, want %v", jobID, hasAllocation, model.isReady(jobID))
		}
	}
}

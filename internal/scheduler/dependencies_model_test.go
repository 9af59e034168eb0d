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
// starts new terms from the ledger in between. The core must start exactly the jobs that are ready
// in the model, and report the same state of every job.
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
	model := &graphModel{map[string][]string{}, map[string]bool{}, map[string]bool{}}
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	var jobIDs []string
	for step := range steps {
		switch action := random.IntN(10); {
		case action < 5 || len(jobIDs) < 3:
			jobID := fmt.Sprintf("job-%03d", step)
			j := newTestJob(jobID, 1, 0.01)
			j.MemGB = 0.01 // all jobs fit on the machine
			for range random.IntN(4) {
				if len(jobIDs) > 0 {
					j.DependsOn = append(j.DependsOn, jobIDs[random.IntN(len(jobIDs))])
				}
			}
			slices.Sort(j.DependsOn)
			j.DependsOn = slices.Compact(j.DependsOn)
			jobIDs = append(jobIDs, jobID)
			model.dependsOn[jobID] = j.DependsOn
			h.submit(j)
		case action < 8:
			if jobID := jobIDs[random.IntN(len(jobIDs))]; model.isReady(jobID) {
				h.completeCommands(CommandExecuted)
				h.finishTask("vm-1", jobID)
				model.done[jobID] = true
			}
		case action < 9:
			jobID := jobIDs[random.IntN(len(jobIDs))]
			h.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient("u")})
			model.cancelled[jobID] = model.cancelled[jobID] || !model.done[jobID]
		default:
			h = startNextTerm(t, h, jobIDs)
		}
		h.completeCommands(CommandExecuted)
		h.checkAgainstModel(model, jobIDs)
	}
}

// startNextTerm starts a new term from the job records that the last term wrote. The machine has
// restarted, so that the tasks that ran there start again.
func startNextTerm(t testingT, h *harness, jobIDs []string) *harness {
	t.Helper()
	var snapshot ledger.Snapshot
	for _, jobID := range jobIDs {
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

// checkAgainstModel compares the state of all jobs, and which of them have tasks placed, with the
// model.
func (h *harness) checkAgainstModel(model *graphModel, jobIDs []string) {
	h.t.Helper()
	for _, jobID := range jobIDs {
		want := []string{wire.JobQueued, wire.JobRunning}
		switch {
		case model.done[jobID]:
			want = []string{wire.JobDone}
		case model.isCancelled(jobID):
			want = []string{wire.JobCancelled}
		}
		if got := h.jobStatus(jobID); !slices.Contains(want, got) {
			h.t.Errorf("state of %s: %s, want one of %v", jobID, got, want)
		}
		j := h.core.jobs.list[h.core.jobs.indexByID[jobID]]
		if hasAllocation := j.progress.tasks != nil && !j.ended() && j.progress.allocated > 0; hasAllocation != model.isReady(jobID) {
			h.t.Errorf("%s has a task placed: %v, want %v", jobID, hasAllocation, model.isReady(jobID))
		}
	}
}

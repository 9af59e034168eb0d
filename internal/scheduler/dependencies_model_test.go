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

// graphModel is the protocol's definition of dependent jobs in the plainest form: everything is
// computed again from all jobs each time.
type graphModel struct {
	dependsOn map[string][]string
	done      map[string]bool
	cancelled map[string]bool // by their own users
}

func (m *graphModel) anyAncestor(jobID string, is func(jobID string) bool) bool {
	for _, p := range m.dependsOn[jobID] {
		if is(p) || m.anyAncestor(p, is) {
			return true
		}
	}
	return false
}

// isCancelled tells whether a job is cancelled, by its user or with an ancestor.
func (m *graphModel) isCancelled(jobID string) bool {
	own := func(r string) bool { return m.cancelled[r] }
	return !m.done[jobID] && (own(jobID) || m.anyAncestor(jobID, own))
}

// isReady tells whether a job's tasks may start.
func (m *graphModel) isReady(jobID string) bool {
	return !m.done[jobID] && !m.isCancelled(jobID) && !m.anyAncestor(jobID, func(r string) bool { return !m.done[r] })
}

// TestGraphAgreesWithTheModel submits random graphs, ends and cancels jobs at random, and begins
// new terms from the ledger in between. The core starts just what the model says is ready, and
// reports every job's state as the model does.
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

// runGraphHistory plays one history of graphs, ends, cancellations and takeovers.
func runGraphHistory(t testingT, r property.Chooser, steps int) {
	m := &graphModel{map[string][]string{}, map[string]bool{}, map[string]bool{}}
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	var jobIDs []string
	for step := range steps {
		switch k := r.IntN(10); {
		case k < 5 || len(jobIDs) < 3:
			jobID := fmt.Sprintf("job-%03d", step)
			j := newTestJob(jobID, 1, 0.01)
			j.MemGB = 0.01 // the machine has room for all
			for range r.IntN(4) {
				if len(jobIDs) > 0 {
					j.DependsOn = append(j.DependsOn, jobIDs[r.IntN(len(jobIDs))])
				}
			}
			slices.Sort(j.DependsOn)
			j.DependsOn = slices.Compact(j.DependsOn)
			jobIDs = append(jobIDs, jobID)
			m.dependsOn[jobID] = j.DependsOn
			g.submit(j)
		case k < 8:
			if jobID := jobIDs[r.IntN(len(jobIDs))]; m.isReady(jobID) {
				g.completeCommands(CommandExecuted)
				g.finishTask("vm-1", jobID)
				m.done[jobID] = true
			}
		case k < 9:
			jobID := jobIDs[r.IntN(len(jobIDs))]
			g.step(CancelRequest{JobID: jobID, ReplyTo: testRecipient("u")})
			m.cancelled[jobID] = m.cancelled[jobID] || !m.done[jobID]
		default:
			g = startNextTerm(t, g, jobIDs)
		}
		g.completeCommands(CommandExecuted)
		g.checkAgainstModel(m, jobIDs)
	}
}

// changeLeader begins a new term from the job records that the last one has written, on a machine
// that has restarted: what ran there starts again.
func startNextTerm(t testingT, g *harness, jobIDs []string) *harness {
	t.Helper()
	var s ledger.Snapshot
	for _, jobID := range jobIDs {
		record := ledger.JobRecord{Job: g.submittedJobs[jobID]}
		if w, ok := g.writesByKey[ledger.JobKey(jobID)]; ok {
			record = w.Value.(ledger.JobRecord)
		}
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: jobID, Version: 1, Record: record})
	}
	n := newHarness(t, s)
	n.submittedJobs = g.submittedJobs
	for jobID, w := range g.writesByKey {
		n.writesByKey[jobID] = w
	}
	n.bringUp("vm-1")
	return n
}

// checkAgainstModel compares all jobs' states, and what is started, with the model.
func (h *harness) checkAgainstModel(m *graphModel, jobIDs []string) {
	h.t.Helper()
	for _, jobID := range jobIDs {
		want := []string{wire.JobQueued, wire.JobRunning}
		switch {
		case m.done[jobID]:
			want = []string{wire.JobDone}
		case m.isCancelled(jobID):
			want = []string{wire.JobCancelled}
		}
		if got := h.jobStatus(jobID); !slices.Contains(want, got) {
			h.t.Errorf("%s is %s, want %v", jobID, got, want)
		}
		j := h.core.jobs.list[h.core.jobs.indexByID[jobID]]
		if booked := j.progress.tasks != nil && !j.ended() && j.progress.allocated > 0; booked != m.isReady(jobID) {
			h.t.Errorf("%s has a task on a machine: %v, ready: %v", jobID, booked, m.isReady(jobID))
		}
	}
}

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
	needs     map[string][]string
	done      map[string]bool
	cancelled map[string]bool // by their own users
}

func (m *graphModel) anyAncestor(ref string, is func(ref string) bool) bool {
	for _, p := range m.needs[ref] {
		if is(p) || m.anyAncestor(p, is) {
			return true
		}
	}
	return false
}

// aborted tells whether a job is cancelled, by its user or with an ancestor.
func (m *graphModel) aborted(ref string) bool {
	own := func(r string) bool { return m.cancelled[r] }
	return !m.done[ref] && (own(ref) || m.anyAncestor(ref, own))
}

// ready tells whether a job's tasks may start.
func (m *graphModel) ready(ref string) bool {
	return !m.done[ref] && !m.aborted(ref) && !m.anyAncestor(ref, func(r string) bool { return !m.done[r] })
}

// TestGraphAgreesWithTheModel submits random graphs, ends and cancels jobs at random, and begins
// new terms from the ledger in between. The core starts just what the model says is ready, and
// reports every job's state as the model does.
func TestGraphAgreesWithTheModel(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playGraph(t, rand.New(rand.NewPCG(seed, 11)), 60)
		})
	}
}

// TestGraphProperty has rapid search for a short history in which core and model differ.
func TestGraphProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playGraph(t, property.RapidChooser{T: t}, rapid.IntRange(30, 60).Draw(t, "steps")) })
}

// playGraph plays one history of graphs, ends, cancellations and takeovers.
func playGraph(t tester, r property.Chooser, steps int) {
	m := &graphModel{map[string][]string{}, map[string]bool{}, map[string]bool{}}
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	var refs []string
	for step := range steps {
		switch k := r.IntN(10); {
		case k < 5 || len(refs) < 3:
			ref := fmt.Sprintf("job-%03d", step)
			j := newTestJob(ref, 1, 0.01)
			j.MemGB = 0.01 // the machine has room for all
			for range r.IntN(4) {
				if len(refs) > 0 {
					j.DependsOn = append(j.DependsOn, refs[r.IntN(len(refs))])
				}
			}
			slices.Sort(j.DependsOn)
			j.DependsOn = slices.Compact(j.DependsOn)
			refs = append(refs, ref)
			m.needs[ref] = j.DependsOn
			g.submit(j)
		case k < 8:
			if ref := refs[r.IntN(len(refs))]; m.ready(ref) {
				g.endCommands(CommandExecuted)
				g.finishTask("vm-1", ref)
				m.done[ref] = true
			}
		case k < 9:
			ref := refs[r.IntN(len(refs))]
			g.step(CancelRequest{JobID: ref, ReplyTo: recipient("u")})
			m.cancelled[ref] = m.cancelled[ref] || !m.done[ref]
		default:
			g = takeOver(t, g, refs)
		}
		g.endCommands(CommandExecuted)
		g.agrees(m, refs)
	}
}

// takeOver begins a new term from the job records that the last one has written, on a machine
// that has restarted: what ran there starts again.
func takeOver(t tester, g *harness, refs []string) *harness {
	t.Helper()
	var s ledger.Snapshot
	for _, ref := range refs {
		record := ledger.JobRecord{Job: g.specs[ref]}
		if w, ok := g.writes[ledger.JobKey(ref)]; ok {
			record = w.Value.(ledger.JobRecord)
		}
		s.Jobs = append(s.Jobs, ledger.SavedJob{ID: ref, Version: 1, Record: record})
	}
	n := newHarness(t, s)
	n.specs = g.specs
	for ref, w := range g.writes {
		n.writes[ref] = w
	}
	n.bringUp("vm-1")
	return n
}

// agrees compares all jobs' states, and what is started, with the model.
func (g *harness) agrees(m *graphModel, refs []string) {
	g.t.Helper()
	for _, ref := range refs {
		want := []string{wire.JobQueued, wire.JobRunning}
		switch {
		case m.done[ref]:
			want = []string{wire.JobDone}
		case m.aborted(ref):
			want = []string{wire.JobCancelled}
		}
		if got := g.jobStatus(ref); !slices.Contains(want, got) {
			g.t.Errorf("%s is %s, want %v", ref, got, want)
		}
		j := g.c.jobs.list[g.c.jobs.indexByID[ref]]
		if booked := j.progress.tasks != nil && !j.ended() && j.progress.allocated > 0; booked != m.ready(ref) {
			g.t.Errorf("%s has a task on a machine: %v, ready: %v", ref, booked, m.ready(ref))
		}
	}
}

package federation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model: one origin and two neighbours, whose leaders crash, over a network that loses,
// delays and duplicates messages, with stores that apply writes late or not at all. What runs and
// what users are told is kept outside of the code under test.
//
// A leader's writes have its term as a condition, so none of them is applied once the next leader
// has read its records; until then each may be applied or not.

const (
	modelJobs         = 3
	reclaimAfterModel = 20 * time.Second
)

// modelJob is the true state of one job.
type modelJob struct {
	ref        string
	repeatable bool
	wanted     bool            // its user has requested its cancellation
	begun      map[string]bool // cells in which it has been started
	completed  map[string]bool // cells in which it has run to its end
}

// originWrite is a pending write of the origin's leader: of a transfer, or of a job's terminal state.
type originWrite struct {
	ref    string
	record *DelegatedRecord // nil: see below
	drop   bool
	end    string // of the job
}

// originCell is the origin: its durable state, and its present leader.
type originCell struct {
	delegated map[string]DelegatedRecord
	ends      map[string]string // of jobs, durable
	started   map[string]bool   // durable before the first start
	// The leader's.
	jobs    *DelegatedJobs
	decided map[string]string
	writes  []originWrite
}

// neighbourWrite is a pending write of a neighbour's leader.
type neighbourWrite struct{ effect WriteForeign }

// neighbourCell is a neighbour: its durable state, and its present leader.
type neighbourCell struct {
	name     string
	admits   bool
	records  map[ForeignKey]ForeignRecord
	versions map[ForeignKey]uint64
	revision uint64
	jobs     map[string]*OfferBody
	own      map[string]bool // jobs of its own users, by the same names
	ends     map[string]string
	// The leader's.
	foreign *ForeignJobs
	writes  []neighbourWrite
	cancel  map[string]bool // cancellations being written
}

// packet is a message or an answer in flight.
type packet struct {
	cell    string // the neighbour
	message *Message
	answer  *Answer
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

type world struct {
	t          failer
	now        time.Duration
	jobs       map[string]*modelJob
	refs       []string
	origin     *originCell
	neighbours map[string]*neighbourCell
	cells      []string
	packets    []packet
}

func newWorld(t failer) *world {
	w := &world{t: t, jobs: map[string]*modelJob{}, neighbours: map[string]*neighbourCell{}, cells: []string{"b", "c"}}
	w.origin = &originCell{delegated: map[string]DelegatedRecord{}, ends: map[string]string{}, started: map[string]bool{}}
	for i := range modelJobs {
		jobID := fmt.Sprintf("job-%d", i)
		w.refs = append(w.refs, jobID)
		w.jobs[jobID] = &modelJob{ref: jobID, repeatable: i == 0, begun: map[string]bool{}, completed: map[string]bool{}}
	}
	for _, name := range w.cells {
		w.neighbours[name] = &neighbourCell{name: name, admits: true, records: map[ForeignKey]ForeignRecord{}, versions: map[ForeignKey]uint64{}, jobs: map[string]*OfferBody{}, own: map[string]bool{}, ends: map[string]string{}}
		w.lead(w.neighbours[name])
	}
	w.leadOrigin()
	return w
}

// --- the origin ---

func (w *world) body(jobID string) *OfferBody {
	return &OfferBody{Job: []byte(jobID), Cores: 1, Repeatable: w.jobs[jobID].repeatable}
}

// leadOrigin begins a term of the origin.
func (w *world) leadOrigin() {
	h := w.origin
	h.jobs = NewDelegatedJobs(func(string) time.Duration { return reclaimAfterModel })
	h.decided, h.writes = map[string]string{}, nil
	for jobID, end := range h.ends {
		h.decided[jobID] = end
	}
	for _, jobID := range w.refs {
		if record, ok := h.delegated[jobID]; ok {
			h.jobs.Restore(jobID, record, w.body(jobID), h.ends[jobID] != "", w.now)
		}
	}
	w.applyOriginEffects()
}

// applyOriginEffects applies the effects of the origin's leader.
func (w *world) applyOriginEffects() {
	for effects := w.origin.jobs.TakeEffects(); len(effects) > 0; effects = w.origin.jobs.TakeEffects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case SaveDelegated:
				w.origin.writes = append(w.origin.writes, originWrite{ref: e.JobID, record: &e.Record})
			case DropDelegated:
				w.origin.writes = append(w.origin.writes, originWrite{ref: e.JobID, drop: true})
			case Send:
				w.packets = append(w.packets, packet{cell: e.Cell, message: &e.Message})
			case EndJob:
				w.decide(e.JobID, map[bool]string{true: "aborted", false: "done"}[e.Cancelled])
			}
		}
	}
}

// decide has the origin's leader write a job's terminal state.
func (w *world) decide(jobID, end string) {
	if w.origin.decided[jobID] == "" {
		w.origin.decided[jobID] = end
		w.origin.writes = append(w.origin.writes, originWrite{ref: jobID, end: end})
	}
}

// writeOrigin applies the first pending write of the origin.
func (w *world) writeOrigin() {
	if len(w.origin.writes) == 0 {
		return
	}
	write := w.origin.writes[0]
	w.origin.writes = w.origin.writes[1:]
	w.applyOriginWrite(write)
	switch {
	case write.record != nil:
		w.origin.jobs.RecordSaved(write.ref, *write.record, w.now)
	case write.end != "":
		w.origin.jobs.JobOver(write.ref, w.now)
	}
	w.applyOriginEffects()
}

// applyOriginWrite makes a write durable, and checks what users may be told from then on.
func (w *world) applyOriginWrite(write originWrite) {
	jobID := write.ref
	switch {
	case write.record != nil:
		w.origin.delegated[jobID] = *write.record
	case write.drop:
		delete(w.origin.delegated, jobID)
	default:
		w.told(jobID, write.end)
	}
}

// told checks a final answer as it becomes durable.
func (w *world) told(jobID, end string) {
	j := w.jobs[jobID]
	if old := w.origin.ends[jobID]; old != "" && old != end {
		w.t.Fatalf("%s: told %s after %s", jobID, end, old)
	}
	w.origin.ends[jobID] = end
	if end == "done" && len(j.completed) == 0 {
		w.t.Fatalf("%s is told as done and has not run to its end", jobID)
	}
	if end == "aborted" && !j.wanted {
		w.t.Fatalf("%s is told as cancelled and nobody asked for it", jobID)
	}
	if end == "aborted" {
		for _, cell := range w.cells {
			if g := w.neighbours[cell]; g.jobs[jobID] != nil && g.ends[jobID] == "" {
				w.t.Fatalf("%s is told as cancelled while it can run in %s", jobID, cell)
			}
		}
	}
}

// crashOrigin ends the origin's leader. Some of its writes, in their order, are applied before the
// next one reads.
func (w *world) crashOrigin(t *rapid.T) {
	for range rapid.IntRange(0, len(w.origin.writes)).Draw(t, "writes carried out") {
		w.applyOriginWrite(w.origin.writes[0])
		w.origin.writes = w.origin.writes[1:]
	}
	w.leadOrigin()
}

// startAtOrigin starts a job at the origin if its leader may.
func (w *world) startAtOrigin(jobID string) {
	if w.origin.decided[jobID] == "" && !w.origin.jobs.Delegated(jobID) {
		w.origin.started[jobID] = true
		w.starts(jobID, "origin")
	}
}

// finishAtOrigin completes a job that runs at the origin.
func (w *world) finishAtOrigin(jobID string) {
	if w.jobs[jobID].begun["origin"] && w.origin.decided[jobID] == "" && !w.origin.jobs.Delegated(jobID) {
		w.jobs[jobID].completed["origin"] = true
		w.decide(jobID, "done")
	}
}

// starts records that a job runs in a cell, and checks that it may.
func (w *world) starts(jobID, cell string) {
	j := w.jobs[jobID]
	j.begun[cell] = true
	if !j.repeatable && len(j.begun) > 1 {
		w.t.Fatalf("%s may run only once and was started in %v", jobID, j.begun)
	}
	if w.origin.ends[jobID] == "aborted" {
		w.t.Fatalf("%s starts in %s after it was told as cancelled", jobID, cell)
	}
}

// delegate begins a transfer if the origin's leader may.
func (w *world) delegate(jobID, cell string) {
	h := w.origin
	if h.decided[jobID] == "" && !h.started[jobID] && !h.jobs.Delegated(jobID) && h.jobs.MayBegin(jobID) {
		h.jobs.Begin(jobID, cell, w.body(jobID), w.now, w.now.Milliseconds())
		w.applyOriginEffects()
	}
}

// cancel is a user's request to cancel a job.
func (w *world) cancel(jobID string) {
	w.jobs[jobID].wanted = true
	if w.origin.decided[jobID] == "" && w.origin.jobs.Cancel(jobID, w.now) {
		w.decide(jobID, "aborted")
	}
	w.applyOriginEffects()
}

// --- neighbours ---

// lead begins a term of a neighbour.
func (w *world) lead(g *neighbourCell) {
	g.foreign = NewForeignJobs(modelLocalJobs{g})
	g.writes, g.cancel = nil, map[string]bool{}
	for key, record := range g.records {
		g.foreign.Restore(key, record, g.versions[key])
	}
}

// modelLocalJobs are the jobs of a neighbour's leader.
type modelLocalJobs struct{ *neighbourCell }

// ForeignJobState returns the state of a job.
func (g modelLocalJobs) ForeignJobState(key ForeignKey) (JobState, bool) {
	return JobState{Over: g.ends[key.JobID] != "", Cancelled: g.ends[key.JobID] == "aborted"}, g.jobs[key.JobID] != nil
}

// Admit accepts an offer if the test allows it.
func (g modelLocalJobs) Admit(string, string, *OfferBody) Refusal {
	if g.admits {
		return Refusal{}
	}
	return Refusal{Reason: "full", Temporary: true}
}

func (w *world) applyForeignEffects(g *neighbourCell) {
	for _, effect := range g.foreign.TakeEffects() {
		switch e := effect.(type) {
		case WriteForeign:
			g.writes = append(g.writes, neighbourWrite{e})
		case CancelForeign:
			g.cancel[e.JobID] = true
		}
	}
}

// writeNeighbour applies a pending write of a neighbour's leader.
func (w *world) writeNeighbour(g *neighbourCell, at int) {
	write := g.writes[at].effect
	g.writes = slices.Delete(g.writes, at, at+1)
	exists, ok := w.applyNeighbourWrite(g, write)
	if ok || exists {
		g.foreign.RecordWritten(write.Key, write.Record, g.versions[write.Key], exists, w.now.Milliseconds())
		w.applyForeignEffects(g)
	}
}

func (w *world) applyNeighbourWrite(g *neighbourCell, write WriteForeign) (exists, ok bool) {
	if g.versions[write.Key] != write.Version {
		return false, false
	}
	if write.Body != nil && (g.jobs[write.Key.JobID] != nil || g.own[write.Key.JobID]) {
		return true, false
	}
	g.revision++
	g.records[write.Key], g.versions[write.Key] = write.Record, g.revision
	if write.Body != nil {
		g.jobs[write.Key.JobID] = write.Body
	}
	return false, true
}

// crashNeighbour ends a neighbour's leader.
func (w *world) crashNeighbour(t *rapid.T, g *neighbourCell) {
	for len(g.writes) > 0 {
		if rapid.Bool().Draw(t, "write carried out") {
			w.applyNeighbourWrite(g, g.writes[0].effect)
		}
		g.writes = g.writes[1:]
	}
	w.lead(g)
}

// startForeign and finishForeign run an accepted job; cancelForeign ends one.
func (w *world) startForeign(g *neighbourCell, jobID string) {
	if g.jobs[jobID] != nil && g.ends[jobID] == "" {
		w.starts(jobID, g.name)
	}
}

func (w *world) finishForeign(g *neighbourCell, jobID string) {
	if w.jobs[jobID].begun[g.name] && g.jobs[jobID] != nil && g.ends[jobID] == "" {
		w.jobs[jobID].completed[g.name] = true
		g.ends[jobID] = "done"
	}
}

func (w *world) cancelForeign(g *neighbourCell, jobID string) {
	if g.cancel[jobID] && g.jobs[jobID] != nil && g.ends[jobID] == "" {
		g.ends[jobID] = "aborted"
	}
	delete(g.cancel, jobID)
}

// --- the network ---

// deliver delivers a packet.
func (w *world) deliver(p packet) {
	if p.message == nil {
		w.origin.jobs.HandleAnswer(p.cell, *p.answer, w.now)
		w.applyOriginEffects()
		return
	}
	g := w.neighbours[p.cell]
	answer := g.foreign.HandleMessage("a", *p.message, w.now.Milliseconds())
	w.applyForeignEffects(g)
	w.packets = append(w.packets, packet{cell: p.cell, answer: &answer})
}

func (w *world) pass(d time.Duration) {
	w.now += d
	w.origin.jobs.Tick(w.now)
	w.applyOriginEffects()
}

// --- the property ---

func (w *world) ref(t *rapid.T) string { return rapid.SampledFrom(w.refs).Draw(t, "job") }
func (w *world) cell(t *rapid.T) *neighbourCell {
	return w.neighbours[rapid.SampledFrom(w.cells).Draw(t, "cell")]
}

// actions are the events that may occur at any moment. rapid draws the first names in their order
// more often, so renaming one changes what the model finds: check with the mutants.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"propose transfer": func(t *rapid.T) { w.delegate(w.ref(t), w.cell(t).name) },
		"write origin":     func(*rapid.T) { w.writeOrigin() },
		"write origin 2":   func(*rapid.T) { w.writeOrigin() },
		"crash origin":     w.crashOrigin,
		"start origin":     func(t *rapid.T) { w.startAtOrigin(w.ref(t)) },
		"finish origin":    func(t *rapid.T) { w.finishAtOrigin(w.ref(t)) },
		"cancel":           func(t *rapid.T) { w.cancel(w.ref(t)) },
		"admission":        func(t *rapid.T) { w.cell(t).admits = rapid.Bool().Draw(t, "admits") },
		"crash neighbour":  func(t *rapid.T) { w.crashNeighbour(t, w.cell(t)) },
		"start foreign":    func(t *rapid.T) { w.startForeign(w.cell(t), w.ref(t)) },
		"finish foreign":   func(t *rapid.T) { w.finishForeign(w.cell(t), w.ref(t)) },
		"cancel foreign":   func(t *rapid.T) { w.cancelForeign(w.cell(t), w.ref(t)) },
		"write neighbour": func(t *rapid.T) {
			if g := w.cell(t); len(g.writes) > 0 {
				w.writeNeighbour(g, rapid.IntRange(0, len(g.writes)-1).Draw(t, "write"))
			}
		},
		"own job": func(t *rapid.T) {
			if g, jobID := w.cell(t), w.ref(t); g.jobs[jobID] == nil {
				g.own[jobID] = true
			}
		},
		"deliver": func(t *rapid.T) { w.deliverSome(t, 8) },
		"newest":  func(t *rapid.T) { w.deliverNewest(t) },
		"lose": func(t *rapid.T) {
			if len(w.packets) > 0 {
				at := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
				w.packets = slices.Delete(w.packets, at, at+1)
			}
		},
		"time": func(t *rapid.T) {
			w.pass(time.Duration(rapid.SampledFrom([]int{100, 300, 1000, 9000, 21000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// deliverSome delivers some packets, copies of which may be delivered again later.
func (w *world) deliverSome(t *rapid.T, most int) {
	for range rapid.IntRange(1, most).Draw(t, "packets") {
		if len(w.packets) == 0 {
			return
		}
		at := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
		p := w.packets[at]
		if rapid.IntRange(0, 3).Draw(t, "copy stays") > 0 {
			w.packets = slices.Delete(w.packets, at, at+1)
		}
		w.deliver(p)
	}
}

// deliverNewest delivers the packet that was sent last, which is the usual case.
func (w *world) deliverNewest(*rapid.T) {
	if n := len(w.packets); n > 0 {
		p := w.packets[n-1]
		w.packets = w.packets[:n-1]
		w.deliver(p)
	}
}

// carry delivers all packets and applies all writes.
func (w *world) carry() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		w.deliver(p)
	}
	for len(w.origin.writes) > 0 {
		w.writeOrigin()
	}
	for _, cell := range w.cells {
		for g := w.neighbours[cell]; len(g.writes) > 0; {
			w.writeNeighbour(g, 0)
		}
	}
}

// settle ends all faults and lets everything complete.
func (w *world) settle() {
	for range 400 {
		w.carry()
		for _, cell := range w.cells {
			g := w.neighbours[cell]
			for _, jobID := range w.refs {
				w.cancelForeign(g, jobID)
				w.startForeign(g, jobID)
				if !w.jobs[jobID].wanted {
					w.finishForeign(g, jobID)
				}
			}
		}
		w.settleOrigin()
		w.pass(RetryInterval)
	}
}

// settleOrigin completes the origin's jobs and has users repeat their cancellations. A job whose
// cancellation is requested never completes by itself.
func (w *world) settleOrigin() {
	for _, jobID := range w.refs {
		if w.jobs[jobID].wanted {
			w.cancel(jobID)
			continue
		}
		w.startAtOrigin(jobID)
		w.finishAtOrigin(jobID)
	}
}

// settled checks what must hold in the end.
func (w *world) settled() {
	for _, jobID := range w.refs {
		if w.origin.ends[jobID] == "" {
			w.t.Fatalf("%s has no final answer: %s", jobID, w.describe(jobID))
		}
		if record, ok := w.origin.delegated[jobID]; ok {
			w.t.Fatalf("%s: the origin still has the record %+v: %s", jobID, record, w.describe(jobID))
		}
		for _, cell := range w.cells {
			g := w.neighbours[cell]
			if g.jobs[jobID] != nil && g.ends[jobID] == "" {
				w.t.Fatalf("%s is open in %s: %s", jobID, cell, w.describe(jobID))
			}
			if g.records[ForeignKey{"a", jobID}].State == ForeignAccepted {
				w.t.Fatalf("%s is not released in %s: %s", jobID, cell, w.describe(jobID))
			}
		}
	}
}

func (w *world) describe(jobID string) string {
	text := fmt.Sprintf("decided %q, writes %v", w.origin.decided[jobID], w.origin.writes)
	if tr := w.origin.jobs.transfers[jobID]; tr != nil {
		text += fmt.Sprintf(", %s of epoch %d to %s, cancelling %v", phaseNames[tr.phase], tr.record.Epoch, tr.record.Cell, tr.cancelling)
	}
	for _, cell := range w.cells {
		if r, ok := w.neighbours[cell].records[ForeignKey{"a", jobID}]; ok {
			text += fmt.Sprintf(", %s has %+v", cell, r)
		}
	}
	return text
}

// TestTransferModel plays random schedules of transfers, crashes, losses and cancellations. Each
// job has one final answer, none that is not repeatable runs in two cells, none is lost, and all
// are over once the faults end.
func TestTransferModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.t = t
		w.settle()
		w.settled()
	})
}

// flush lets everything proceed for a while, without completing a job.
func (w *world) flush() {
	for range 8 {
		w.carry()
		for _, cell := range w.cells {
			for _, jobID := range w.refs {
				w.cancelForeign(w.neighbours[cell], jobID)
			}
		}
		w.pass(RetryInterval)
	}
}

// TestTransferReclaimedTwice: a repeatable job is reclaimed from an unreachable neighbour and
// later offered to the same one again. The outcome of the first transfer there does not affect the
// second.
func TestTransferReclaimedTwice(t *testing.T) {
	w := newWorld(t)
	jobID := w.refs[0]
	w.delegate(jobID, "b")
	w.flush()
	if w.origin.delegated[jobID].State != Accepted {
		t.Fatalf("not accepted: %s", w.describe(jobID))
	}
	w.packets = nil
	w.now += reclaimAfterModel + time.Second
	w.origin.jobs.Tick(w.now)
	w.applyOriginEffects()
	w.flush() // the origin reclaims it, the neighbour cancels it
	if w.origin.jobs.Delegated(jobID) || w.neighbours["b"].ends[jobID] != "aborted" {
		t.Fatalf("not reclaimed: %s", w.describe(jobID))
	}
	w.flush() // and releases it
	w.delegate(jobID, "b")
	if !w.origin.jobs.Delegated(jobID) {
		t.Fatalf("not offered again: %s", w.describe(jobID))
	}
	w.flush()
	w.settle()
	w.settled()
	if w.origin.ends[jobID] != "done" || !w.jobs[jobID].completed["origin"] {
		t.Errorf("%s: %s", w.origin.ends[jobID], w.describe(jobID))
	}
}

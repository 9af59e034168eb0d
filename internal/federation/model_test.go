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
	jobID           string
	repeatable      bool
	cancelRequested bool            // its user has requested its cancellation
	startedIn       map[string]bool // cells in which it has been started
	completedIn     map[string]bool // cells in which it has run to its end
}

// originWrite is a pending write of the origin's leader: of a transfer, or of a job's terminal state.
type originWrite struct {
	jobID         string
	record        *DelegatedRecord // nil: see below
	drop          bool
	terminalState string // of the job
}

// originCell is the origin: its durable state, and its present leader.
type originCell struct {
	delegated      map[string]DelegatedRecord
	terminalStates map[string]string // of jobs, durable
	started        map[string]bool   // durable before the first start
	// The leader's.
	jobs          *DelegatedJobs
	decidedStates map[string]string
	writes        []originWrite
}

// neighbourWrite is a pending write of a neighbour's leader.
type neighbourWrite struct{ effect WriteForeign }

// neighbourCell is a neighbour: its durable state, and its present leader.
type neighbourCell struct {
	name           string
	admitsOffers   bool
	records        map[ForeignKey]ForeignRecord
	versions       map[ForeignKey]uint64
	revision       uint64
	jobs           map[string]*OfferBody
	localJobs      map[string]bool // jobs of its own users, by the same names
	terminalStates map[string]string
	// The leader's.
	foreign              *ForeignJobs
	writes               []neighbourWrite
	pendingCancellations map[string]bool // cancellations being written
}

// packet is a message or an answer in flight.
type packet struct {
	neighbour string // the neighbour
	message   *Message
	answer    *Answer
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

type transferModel struct {
	t              failer
	now            time.Duration
	jobs           map[string]*modelJob
	jobIDs         []string
	origin         *originCell
	neighbours     map[string]*neighbourCell
	neighbourNames []string
	packets        []packet
}

func newTransferModel(t failer) *transferModel {
	w := &transferModel{t: t, jobs: map[string]*modelJob{}, neighbours: map[string]*neighbourCell{}, neighbourNames: []string{"b", "c"}}
	w.origin = &originCell{delegated: map[string]DelegatedRecord{}, terminalStates: map[string]string{}, started: map[string]bool{}}
	for i := range modelJobs {
		jobID := fmt.Sprintf("job-%d", i)
		w.jobIDs = append(w.jobIDs, jobID)
		w.jobs[jobID] = &modelJob{jobID: jobID, repeatable: i == 0, startedIn: map[string]bool{}, completedIn: map[string]bool{}}
	}
	for _, name := range w.neighbourNames {
		w.neighbours[name] = &neighbourCell{name: name, admitsOffers: true, records: map[ForeignKey]ForeignRecord{}, versions: map[ForeignKey]uint64{}, jobs: map[string]*OfferBody{}, localJobs: map[string]bool{}, terminalStates: map[string]string{}}
		w.startNeighbourTerm(w.neighbours[name])
	}
	w.startOriginTerm()
	return w
}

// --- the origin ---

func (w *transferModel) offerBody(jobID string) *OfferBody {
	return &OfferBody{Job: []byte(jobID), Cores: 1, Repeatable: w.jobs[jobID].repeatable}
}

// startOriginTerm begins a term of the origin.
func (w *transferModel) startOriginTerm() {
	h := w.origin
	h.jobs = NewDelegatedJobs(func(string) time.Duration { return reclaimAfterModel })
	h.decidedStates, h.writes = map[string]string{}, nil
	for jobID, end := range h.terminalStates {
		h.decidedStates[jobID] = end
	}
	for _, jobID := range w.jobIDs {
		if record, ok := h.delegated[jobID]; ok {
			h.jobs.Restore(jobID, record, w.offerBody(jobID), h.terminalStates[jobID] != "", w.now)
		}
	}
	w.applyOriginEffects()
}

// applyOriginEffects applies the effects of the origin's leader.
func (w *transferModel) applyOriginEffects() {
	for effects := w.origin.jobs.TakeEffects(); len(effects) > 0; effects = w.origin.jobs.TakeEffects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case SaveDelegated:
				w.origin.writes = append(w.origin.writes, originWrite{jobID: e.JobID, record: &e.Record})
			case DropDelegated:
				w.origin.writes = append(w.origin.writes, originWrite{jobID: e.JobID, drop: true})
			case Send:
				w.packets = append(w.packets, packet{neighbour: e.Cell, message: &e.Message})
			case EndJob:
				w.writeTerminalState(e.JobID, map[bool]string{true: "aborted", false: "done"}[e.Cancelled])
			}
		}
	}
}

// writeTerminalState has the origin's leader write a job's terminal state.
func (w *transferModel) writeTerminalState(jobID, end string) {
	if w.origin.decidedStates[jobID] == "" {
		w.origin.decidedStates[jobID] = end
		w.origin.writes = append(w.origin.writes, originWrite{jobID: jobID, terminalState: end})
	}
}

// writeOrigin applies the first pending write of the origin.
func (w *transferModel) writeOrigin() {
	if len(w.origin.writes) == 0 {
		return
	}
	write := w.origin.writes[0]
	w.origin.writes = w.origin.writes[1:]
	w.applyOriginWrite(write)
	switch {
	case write.record != nil:
		w.origin.jobs.RecordSaved(write.jobID, *write.record, w.now)
	case write.terminalState != "":
		w.origin.jobs.JobEnded(write.jobID, w.now)
	}
	w.applyOriginEffects()
}

// applyOriginWrite makes a write durable, and checks what users may be told from then on.
func (w *transferModel) applyOriginWrite(write originWrite) {
	jobID := write.jobID
	switch {
	case write.record != nil:
		w.origin.delegated[jobID] = *write.record
	case write.drop:
		delete(w.origin.delegated, jobID)
	default:
		w.recordTerminalState(jobID, write.terminalState)
	}
}

// recordTerminalState checks a final answer as it becomes durable.
func (w *transferModel) recordTerminalState(jobID, end string) {
	j := w.jobs[jobID]
	if old := w.origin.terminalStates[jobID]; old != "" && old != end {
		w.t.Fatalf("%s: told %s after %s", jobID, end, old)
	}
	w.origin.terminalStates[jobID] = end
	if end == "done" && len(j.completedIn) == 0 {
		w.t.Fatalf("%s is told as done and has not run to its end", jobID)
	}
	if end == "aborted" && !j.cancelRequested {
		w.t.Fatalf("%s is told as cancelled and nobody asked for it", jobID)
	}
	if end == "aborted" {
		for _, cell := range w.neighbourNames {
			if g := w.neighbours[cell]; g.jobs[jobID] != nil && g.terminalStates[jobID] == "" {
				w.t.Fatalf("%s is told as cancelled while it can run in %s", jobID, cell)
			}
		}
	}
}

// crashOrigin ends the origin's leader. Some of its writes, in their order, are applied before the
// next one reads.
func (w *transferModel) crashOrigin(t *rapid.T) {
	for range rapid.IntRange(0, len(w.origin.writes)).Draw(t, "writes carried out") {
		w.applyOriginWrite(w.origin.writes[0])
		w.origin.writes = w.origin.writes[1:]
	}
	w.startOriginTerm()
}

// startAtOrigin starts a job at the origin if its leader may.
func (w *transferModel) startAtOrigin(jobID string) {
	if w.origin.decidedStates[jobID] == "" && !w.origin.jobs.Delegated(jobID) {
		w.origin.started[jobID] = true
		w.recordStart(jobID, "origin")
	}
}

// finishAtOrigin completes a job that runs at the origin.
func (w *transferModel) finishAtOrigin(jobID string) {
	if w.jobs[jobID].startedIn["origin"] && w.origin.decidedStates[jobID] == "" && !w.origin.jobs.Delegated(jobID) {
		w.jobs[jobID].completedIn["origin"] = true
		w.writeTerminalState(jobID, "done")
	}
}

// recordStart records that a job runs in a cell, and checks that it may.
func (w *transferModel) recordStart(jobID, cell string) {
	j := w.jobs[jobID]
	j.startedIn[cell] = true
	if !j.repeatable && len(j.startedIn) > 1 {
		w.t.Fatalf("%s may run only once and was started in %v", jobID, j.startedIn)
	}
	if w.origin.terminalStates[jobID] == "aborted" {
		w.t.Fatalf("%s starts in %s after it was told as cancelled", jobID, cell)
	}
}

// delegate begins a transfer if the origin's leader may.
func (w *transferModel) delegate(jobID, cell string) {
	h := w.origin
	if h.decidedStates[jobID] == "" && !h.started[jobID] && !h.jobs.Delegated(jobID) && h.jobs.MayBegin(jobID) {
		h.jobs.Begin(jobID, cell, w.offerBody(jobID), w.now, w.now.Milliseconds())
		w.applyOriginEffects()
	}
}

// cancel is a user's request to cancel a job.
func (w *transferModel) cancel(jobID string) {
	w.jobs[jobID].cancelRequested = true
	if w.origin.decidedStates[jobID] == "" && w.origin.jobs.Cancel(jobID, w.now) {
		w.writeTerminalState(jobID, "aborted")
	}
	w.applyOriginEffects()
}

// --- neighbours ---

// startNeighbourTerm begins a term of a neighbour.
func (w *transferModel) startNeighbourTerm(g *neighbourCell) {
	g.foreign = NewForeignJobs(modelLocalJobs{g})
	g.writes, g.pendingCancellations = nil, map[string]bool{}
	for key, record := range g.records {
		g.foreign.Restore(key, record, g.versions[key])
	}
}

// modelLocalJobs are the jobs of a neighbour's leader.
type modelLocalJobs struct{ *neighbourCell }

// ForeignJobState returns the state of a job.
func (g modelLocalJobs) ForeignJobState(key ForeignKey) (JobState, bool) {
	return JobState{Ended: g.terminalStates[key.JobID] != "", Cancelled: g.terminalStates[key.JobID] == "aborted"}, g.jobs[key.JobID] != nil
}

// Admit accepts an offer if the test allows it.
func (g modelLocalJobs) Admit(string, string, *OfferBody) Refusal {
	if g.admitsOffers {
		return Refusal{}
	}
	return Refusal{Reason: "full", Temporary: true}
}

func (w *transferModel) applyForeignEffects(g *neighbourCell) {
	for _, effect := range g.foreign.TakeEffects() {
		switch e := effect.(type) {
		case WriteForeign:
			g.writes = append(g.writes, neighbourWrite{e})
		case CancelForeign:
			g.pendingCancellations[e.JobID] = true
		}
	}
}

// writeNeighbour applies a pending write of a neighbour's leader.
func (w *transferModel) writeNeighbour(g *neighbourCell, at int) {
	write := g.writes[at].effect
	g.writes = slices.Delete(g.writes, at, at+1)
	exists, ok := w.applyNeighbourWrite(g, write)
	if ok || exists {
		g.foreign.RecordWritten(write.Key, write.Record, g.versions[write.Key], exists, w.now.Milliseconds())
		w.applyForeignEffects(g)
	}
}

func (w *transferModel) applyNeighbourWrite(g *neighbourCell, write WriteForeign) (exists, ok bool) {
	if g.versions[write.Key] != write.Version {
		return false, false
	}
	if write.Body != nil && (g.jobs[write.Key.JobID] != nil || g.localJobs[write.Key.JobID]) {
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
func (w *transferModel) crashNeighbour(t *rapid.T, g *neighbourCell) {
	for len(g.writes) > 0 {
		if rapid.Bool().Draw(t, "write carried out") {
			w.applyNeighbourWrite(g, g.writes[0].effect)
		}
		g.writes = g.writes[1:]
	}
	w.startNeighbourTerm(g)
}

// startForeign and finishForeign run an accepted job; cancelForeign ends one.
func (w *transferModel) startForeign(g *neighbourCell, jobID string) {
	if g.jobs[jobID] != nil && g.terminalStates[jobID] == "" {
		w.recordStart(jobID, g.name)
	}
}

func (w *transferModel) finishForeign(g *neighbourCell, jobID string) {
	if w.jobs[jobID].startedIn[g.name] && g.jobs[jobID] != nil && g.terminalStates[jobID] == "" {
		w.jobs[jobID].completedIn[g.name] = true
		g.terminalStates[jobID] = "done"
	}
}

func (w *transferModel) cancelForeign(g *neighbourCell, jobID string) {
	if g.pendingCancellations[jobID] && g.jobs[jobID] != nil && g.terminalStates[jobID] == "" {
		g.terminalStates[jobID] = "aborted"
	}
	delete(g.pendingCancellations, jobID)
}

// --- the network ---

// deliver delivers a packet.
func (w *transferModel) deliver(p packet) {
	if p.message == nil {
		w.origin.jobs.HandleAnswer(p.neighbour, *p.answer, w.now)
		w.applyOriginEffects()
		return
	}
	g := w.neighbours[p.neighbour]
	answer := g.foreign.HandleMessage("a", *p.message, w.now.Milliseconds())
	w.applyForeignEffects(g)
	w.packets = append(w.packets, packet{neighbour: p.neighbour, answer: &answer})
}

func (w *transferModel) advanceTime(d time.Duration) {
	w.now += d
	w.origin.jobs.Tick(w.now)
	w.applyOriginEffects()
}

// --- the property ---

func (w *transferModel) drawJobID(t *rapid.T) string {
	return rapid.SampledFrom(w.jobIDs).Draw(t, "job")
}
func (w *transferModel) drawNeighbour(t *rapid.T) *neighbourCell {
	return w.neighbours[rapid.SampledFrom(w.neighbourNames).Draw(t, "cell")]
}

// actions are the events that may occur at any moment. rapid draws the first names in their order
// more often, so renaming one changes what the model finds: check with the mutants.
func (w *transferModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"propose transfer": func(t *rapid.T) { w.delegate(w.drawJobID(t), w.drawNeighbour(t).name) },
		"write origin":     func(*rapid.T) { w.writeOrigin() },
		"write origin 2":   func(*rapid.T) { w.writeOrigin() },
		"crash origin":     w.crashOrigin,
		"start origin":     func(t *rapid.T) { w.startAtOrigin(w.drawJobID(t)) },
		"finish origin":    func(t *rapid.T) { w.finishAtOrigin(w.drawJobID(t)) },
		"cancel":           func(t *rapid.T) { w.cancel(w.drawJobID(t)) },
		"admission":        func(t *rapid.T) { w.drawNeighbour(t).admitsOffers = rapid.Bool().Draw(t, "admits") },
		"crash neighbour":  func(t *rapid.T) { w.crashNeighbour(t, w.drawNeighbour(t)) },
		"start foreign":    func(t *rapid.T) { w.startForeign(w.drawNeighbour(t), w.drawJobID(t)) },
		"finish foreign":   func(t *rapid.T) { w.finishForeign(w.drawNeighbour(t), w.drawJobID(t)) },
		"cancel foreign":   func(t *rapid.T) { w.cancelForeign(w.drawNeighbour(t), w.drawJobID(t)) },
		"write neighbour": func(t *rapid.T) {
			if g := w.drawNeighbour(t); len(g.writes) > 0 {
				w.writeNeighbour(g, rapid.IntRange(0, len(g.writes)-1).Draw(t, "write"))
			}
		},
		"own job": func(t *rapid.T) {
			if g, jobID := w.drawNeighbour(t), w.drawJobID(t); g.jobs[jobID] == nil {
				g.localJobs[jobID] = true
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
			w.advanceTime(time.Duration(rapid.SampledFrom([]int{100, 300, 1000, 9000, 21000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// deliverSome delivers some packets, copies of which may be delivered again later.
func (w *transferModel) deliverSome(t *rapid.T, most int) {
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
func (w *transferModel) deliverNewest(*rapid.T) {
	if n := len(w.packets); n > 0 {
		p := w.packets[n-1]
		w.packets = w.packets[:n-1]
		w.deliver(p)
	}
}

// deliverAndWriteAll delivers all packets and applies all writes.
func (w *transferModel) deliverAndWriteAll() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		w.deliver(p)
	}
	for len(w.origin.writes) > 0 {
		w.writeOrigin()
	}
	for _, cell := range w.neighbourNames {
		for g := w.neighbours[cell]; len(g.writes) > 0; {
			w.writeNeighbour(g, 0)
		}
	}
}

// runWithoutFaults ends all faults and lets everything complete.
func (w *transferModel) runWithoutFaults() {
	for range 400 {
		w.deliverAndWriteAll()
		for _, cell := range w.neighbourNames {
			g := w.neighbours[cell]
			for _, jobID := range w.jobIDs {
				w.cancelForeign(g, jobID)
				w.startForeign(g, jobID)
				if !w.jobs[jobID].cancelRequested {
					w.finishForeign(g, jobID)
				}
			}
		}
		w.advanceOriginJobs()
		w.advanceTime(RetryInterval)
	}
}

// advanceOriginJobs completes the origin's jobs and has users repeat their cancellations. A job whose
// cancellation is requested never completes by itself.
func (w *transferModel) advanceOriginJobs() {
	for _, jobID := range w.jobIDs {
		if w.jobs[jobID].cancelRequested {
			w.cancel(jobID)
			continue
		}
		w.startAtOrigin(jobID)
		w.finishAtOrigin(jobID)
	}
}

// checkFinalState checks what must hold in the end.
func (w *transferModel) checkFinalState() {
	for _, jobID := range w.jobIDs {
		if w.origin.terminalStates[jobID] == "" {
			w.t.Fatalf("%s has no final answer: %s", jobID, w.describe(jobID))
		}
		if record, ok := w.origin.delegated[jobID]; ok {
			w.t.Fatalf("%s: the origin still has the record %+v: %s", jobID, record, w.describe(jobID))
		}
		for _, cell := range w.neighbourNames {
			g := w.neighbours[cell]
			if g.jobs[jobID] != nil && g.terminalStates[jobID] == "" {
				w.t.Fatalf("%s is open in %s: %s", jobID, cell, w.describe(jobID))
			}
			if g.records[ForeignKey{"a", jobID}].State == ForeignAccepted {
				w.t.Fatalf("%s is not released in %s: %s", jobID, cell, w.describe(jobID))
			}
		}
	}
}

func (w *transferModel) describe(jobID string) string {
	text := fmt.Sprintf("decided %q, writes %v", w.origin.decidedStates[jobID], w.origin.writes)
	if tr := w.origin.jobs.transfers[jobID]; tr != nil {
		text += fmt.Sprintf(", %s of epoch %d to %s, cancelling %v", phaseNames[tr.phase], tr.record.Epoch, tr.record.Cell, tr.cancelling)
	}
	for _, cell := range w.neighbourNames {
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
		w := newTransferModel(t)
		t.Repeat(w.actions())
		w.t = t
		w.runWithoutFaults()
		w.checkFinalState()
	})
}

// exchangeMessages lets everything proceed for a while, without completing a job.
func (w *transferModel) exchangeMessages() {
	for range 8 {
		w.deliverAndWriteAll()
		for _, cell := range w.neighbourNames {
			for _, jobID := range w.jobIDs {
				w.cancelForeign(w.neighbours[cell], jobID)
			}
		}
		w.advanceTime(RetryInterval)
	}
}

// TestTransferReclaimedTwice: a repeatable job is reclaimed from an unreachable neighbour and
// later offered to the same one again. The outcome of the first transfer there does not affect the
// second.
func TestTransferReclaimedTwice(t *testing.T) {
	w := newTransferModel(t)
	jobID := w.jobIDs[0]
	w.delegate(jobID, "b")
	w.exchangeMessages()
	if w.origin.delegated[jobID].State != Accepted {
		t.Fatalf("not accepted: %s", w.describe(jobID))
	}
	w.packets = nil
	w.now += reclaimAfterModel + time.Second
	w.origin.jobs.Tick(w.now)
	w.applyOriginEffects()
	w.exchangeMessages() // the origin reclaims it, the neighbour cancels it
	if w.origin.jobs.Delegated(jobID) || w.neighbours["b"].terminalStates[jobID] != "aborted" {
		t.Fatalf("not reclaimed: %s", w.describe(jobID))
	}
	w.exchangeMessages() // and releases it
	w.delegate(jobID, "b")
	if !w.origin.jobs.Delegated(jobID) {
		t.Fatalf("not offered again: %s", w.describe(jobID))
	}
	w.exchangeMessages()
	w.runWithoutFaults()
	w.checkFinalState()
	if w.origin.terminalStates[jobID] != "done" || !w.jobs[jobID].completedIn["origin"] {
		t.Errorf("%s: %s", w.origin.terminalStates[jobID], w.describe(jobID))
	}
}

package federation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model has one origin and two neighbours. Their leaders crash, the network loses, delays and
// duplicates messages, and the stores apply writes late or not at all. Which jobs run where, and
// which terminal states users see, is recorded outside of the code under test.
//
// A leader's writes are conditional on its term, so none of them is applied once the next leader has
// read the records. Until then, each of them may or may not be applied.

const (
	modelJobs         = 3
	reclaimAfterModel = 20 * time.Second
)

// modelJob is the actual state of one job, whatever the cells know of it.
type modelJob struct {
	jobID           string
	repeatable      bool
	cancelRequested bool            // the user has requested its cancellation
	startedIn       map[string]bool // cells in which it has been started
	completedIn     map[string]bool // cells in which it has completed
}

// originWrite is a pending write of the origin's leader. It writes or deletes the record of a job's
// transfer, or writes the job's terminal state.
type originWrite struct {
	jobID         string
	record        *DelegatedRecord // nil if the write is of another kind
	drop          bool             // delete the transfer's record
	terminalState string           // "" if the write is of another kind
}

// originCell is the origin: its durable state and its current leader.
type originCell struct {
	delegated      map[string]DelegatedRecord
	terminalStates map[string]string // by job
	started        map[string]bool   // jobs started at the origin; durable before the start
	// The state of the current leader, which is lost in a crash.
	jobs          *DelegatedJobs
	decidedStates map[string]string // terminal states that are durable or being written, by job
	writes        []originWrite
}

// neighbourWrite is a pending write of a neighbour's leader.
type neighbourWrite struct{ effect WriteForeign }

// neighbourCell is a neighbour: its durable state and its current leader.
type neighbourCell struct {
	name           string
	admitsOffers   bool
	records        map[ForeignKey]ForeignRecord
	versions       map[ForeignKey]uint64
	revision       uint64
	jobs           map[string]*OfferBody // accepted foreign jobs
	localJobs      map[string]bool       // jobs of the neighbour's own users, with the same IDs
	terminalStates map[string]string     // of foreign jobs
	// The state of the current leader, which is lost in a crash.
	foreign              *ForeignJobs
	writes               []neighbourWrite
	pendingCancellations map[string]bool // jobs whose cancellation is not durable yet
}

// packet is a message or an answer in transit between the origin and a neighbour.
type packet struct {
	neighbour string
	message   *Message
	answer    *Answer
}

// failer is a *testing.T or a *rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

// transferModel is the model: the cells, the network and the actual state of the jobs.
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
	m := &transferModel{t: t, jobs: map[string]*modelJob{}, neighbours: map[string]*neighbourCell{}, neighbourNames: []string{"b", "c"}}
	m.origin = &originCell{delegated: map[string]DelegatedRecord{}, terminalStates: map[string]string{}, started: map[string]bool{}}
	for i := range modelJobs {
		jobID := fmt.Sprintf("job-%d", i)
		m.jobIDs = append(m.jobIDs, jobID)
		m.jobs[jobID] = &modelJob{jobID: jobID, repeatable: i == 0, startedIn: map[string]bool{}, completedIn: map[string]bool{}}
	}
	for _, name := range m.neighbourNames {
		m.neighbours[name] = &neighbourCell{name: name, admitsOffers: true, records: map[ForeignKey]ForeignRecord{}, versions: map[ForeignKey]uint64{}, jobs: map[string]*OfferBody{}, localJobs: map[string]bool{}, terminalStates: map[string]string{}}
		m.startNeighbourTerm(m.neighbours[name])
	}
	m.startOriginTerm()
	return m
}

// --- the origin ---

func (m *transferModel) offerBody(jobID string) *OfferBody {
	return &OfferBody{Job: []byte(jobID), Cores: 1, Repeatable: m.jobs[jobID].repeatable}
}

// startOriginTerm replaces the origin's leader by one that restores the durable state.
func (m *transferModel) startOriginTerm() {
	origin := m.origin
	origin.jobs = NewDelegatedJobs(func(string) time.Duration { return reclaimAfterModel })
	origin.decidedStates, origin.writes = map[string]string{}, nil
	for jobID, state := range origin.terminalStates {
		origin.decidedStates[jobID] = state
	}
	for _, jobID := range m.jobIDs {
		if record, ok := origin.delegated[jobID]; ok {
			origin.jobs.Restore(jobID, record, m.offerBody(jobID), origin.terminalStates[jobID] != "", m.now)
		}
	}
	m.applyOriginEffects()
}

// applyOriginEffects executes the effects of the origin's leader.
func (m *transferModel) applyOriginEffects() {
	for effects := m.origin.jobs.TakeEffects(); len(effects) > 0; effects = m.origin.jobs.TakeEffects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case SaveDelegated:
				m.origin.writes = append(m.origin.writes, originWrite{jobID: e.JobID, record: &e.Record})
			case DropDelegated:
				m.origin.writes = append(m.origin.writes, originWrite{jobID: e.JobID, drop: true})
			case Send:
				m.packets = append(m.packets, packet{neighbour: e.Cell, message: &e.Message})
			case EndJob:
				m.writeTerminalState(e.JobID, map[bool]string{true: "aborted", false: "done"}[e.Cancelled])
			}
		}
	}
}

// writeTerminalState makes the origin's leader write a job's terminal state.
func (m *transferModel) writeTerminalState(jobID, state string) {
	if m.origin.decidedStates[jobID] == "" {
		m.origin.decidedStates[jobID] = state
		m.origin.writes = append(m.origin.writes, originWrite{jobID: jobID, terminalState: state})
	}
}

// writeOrigin applies the first pending write of the origin.
func (m *transferModel) writeOrigin() {
	if len(m.origin.writes) == 0 {
		return
	}
	write := m.origin.writes[0]
	m.origin.writes = m.origin.writes[1:]
	m.applyOriginWrite(write)
	switch {
	case write.record != nil:
		m.origin.jobs.RecordSaved(write.jobID, *write.record, m.now)
	case write.terminalState != "":
		m.origin.jobs.JobEnded(write.jobID, m.now)
	}
	m.applyOriginEffects()
}

// applyOriginWrite makes a write durable.
func (m *transferModel) applyOriginWrite(write originWrite) {
	jobID := write.jobID
	switch {
	case write.record != nil:
		m.origin.delegated[jobID] = *write.record
	case write.drop:
		delete(m.origin.delegated, jobID)
	default:
		m.recordTerminalState(jobID, write.terminalState)
	}
}

// recordTerminalState makes a job's terminal state durable and checks that it is correct: it does not
// change, a job that is done has completed somewhere, and a cancelled job was cancelled by its user
// and can't run at a neighbour any more.
func (m *transferModel) recordTerminalState(jobID, state string) {
	j := m.jobs[jobID]
	if previous := m.origin.terminalStates[jobID]; previous != "" && previous != state {
		m.t.Fatalf("%s: terminal state %s was written after %s", jobID, state, previous)
	}
	m.origin.terminalStates[jobID] = state
	if state == "done" && len(j.completedIn) == 0 {
		m.t.Fatalf("%s is recorded as done but has not completed in any cell", jobID)
	}
	if state == "aborted" && !j.cancelRequested {
		m.t.Fatalf("%s is recorded as cancelled but its user has not requested that", jobID)
	}
	if state == "aborted" {
		for _, cell := range m.neighbourNames {
			if neighbour := m.neighbours[cell]; neighbour.jobs[jobID] != nil && neighbour.terminalStates[jobID] == "" {
				m.t.Fatalf("%s is recorded as cancelled while it can run in %s", jobID, cell)
			}
		}
	}
}

// crashOrigin ends the term of the origin's leader. The first of its pending writes, up to a drawn
// number, are applied before the next leader reads the records.
func (m *transferModel) crashOrigin(t *rapid.T) {
	for range rapid.IntRange(0, len(m.origin.writes)).Draw(t, "writes applied") {
		m.applyOriginWrite(m.origin.writes[0])
		m.origin.writes = m.origin.writes[1:]
	}
	m.startOriginTerm()
}

// startAtOrigin starts a job at the origin if the leader may do so.
func (m *transferModel) startAtOrigin(jobID string) {
	if m.origin.decidedStates[jobID] == "" && !m.origin.jobs.Delegated(jobID) {
		m.origin.started[jobID] = true
		m.recordStart(jobID, "origin")
	}
}

// finishAtOrigin completes a job at the origin if it runs there.
func (m *transferModel) finishAtOrigin(jobID string) {
	if m.jobs[jobID].startedIn["origin"] && m.origin.decidedStates[jobID] == "" && !m.origin.jobs.Delegated(jobID) {
		m.jobs[jobID].completedIn["origin"] = true
		m.writeTerminalState(jobID, "done")
	}
}

// recordStart records that a job is started in a cell. A job that is not repeatable must not have
// started in another cell, and no job may start once its cancellation is durable.
func (m *transferModel) recordStart(jobID, cell string) {
	j := m.jobs[jobID]
	j.startedIn[cell] = true
	if !j.repeatable && len(j.startedIn) > 1 {
		m.t.Fatalf("%s is not repeatable and was started in %v", jobID, j.startedIn)
	}
	if m.origin.terminalStates[jobID] == "aborted" {
		m.t.Fatalf("%s starts in %s after it was recorded as cancelled", jobID, cell)
	}
}

// delegate begins a transfer if the origin's leader may do so.
func (m *transferModel) delegate(jobID, cell string) {
	origin := m.origin
	if origin.decidedStates[jobID] == "" && !origin.started[jobID] && !origin.jobs.Delegated(jobID) && origin.jobs.MayBegin(jobID) {
		origin.jobs.Begin(jobID, cell, m.offerBody(jobID), m.now, m.now.Milliseconds())
		m.applyOriginEffects()
	}
}

// cancel requests the cancellation of a job on behalf of its user.
func (m *transferModel) cancel(jobID string) {
	m.jobs[jobID].cancelRequested = true
	if m.origin.decidedStates[jobID] == "" && m.origin.jobs.Cancel(jobID, m.now) {
		m.writeTerminalState(jobID, "aborted")
	}
	m.applyOriginEffects()
}

// --- neighbours ---

// startNeighbourTerm replaces a neighbour's leader by one that restores the durable state.
func (m *transferModel) startNeighbourTerm(neighbour *neighbourCell) {
	neighbour.foreign = NewForeignJobs(modelLocalJobs{neighbour})
	neighbour.writes, neighbour.pendingCancellations = nil, map[string]bool{}
	for key, record := range neighbour.records {
		neighbour.foreign.Restore(key, record, neighbour.versions[key])
	}
}

// modelLocalJobs implements LocalJobs for a neighbour of the model.
type modelLocalJobs struct{ *neighbourCell }

// ForeignJobState implements LocalJobs.
func (l modelLocalJobs) ForeignJobState(key ForeignKey) (JobState, bool) {
	return JobState{Ended: l.terminalStates[key.JobID] != "", Cancelled: l.terminalStates[key.JobID] == "aborted"}, l.jobs[key.JobID] != nil
}

// Admit accepts every offer while the neighbour admits offers, and none otherwise.
func (l modelLocalJobs) Admit(string, string, *OfferBody) Refusal {
	if l.admitsOffers {
		return Refusal{}
	}
	return Refusal{Reason: "full", Temporary: true}
}

// applyForeignEffects executes the effects of a neighbour's leader.
func (m *transferModel) applyForeignEffects(neighbour *neighbourCell) {
	for _, effect := range neighbour.foreign.TakeEffects() {
		switch e := effect.(type) {
		case WriteForeign:
			neighbour.writes = append(neighbour.writes, neighbourWrite{e})
		case CancelForeign:
			neighbour.pendingCancellations[e.JobID] = true
		}
	}
}

// writeNeighbour applies the pending write at an index of a neighbour's writes.
func (m *transferModel) writeNeighbour(neighbour *neighbourCell, index int) {
	write := neighbour.writes[index].effect
	neighbour.writes = slices.Delete(neighbour.writes, index, index+1)
	exists, ok := m.applyNeighbourWrite(neighbour, write)
	if ok || exists {
		neighbour.foreign.RecordWritten(write.Key, write.Record, neighbour.versions[write.Key], exists, m.now.Milliseconds())
		m.applyForeignEffects(neighbour)
	}
}

// applyNeighbourWrite makes a write durable if the version of its key is the expected one and no job
// with its ID exists.
func (m *transferModel) applyNeighbourWrite(neighbour *neighbourCell, write WriteForeign) (exists, ok bool) {
	if neighbour.versions[write.Key] != write.Version {
		return false, false
	}
	if write.Body != nil && (neighbour.jobs[write.Key.JobID] != nil || neighbour.localJobs[write.Key.JobID]) {
		return true, false
	}
	neighbour.revision++
	neighbour.records[write.Key], neighbour.versions[write.Key] = write.Record, neighbour.revision
	if write.Body != nil {
		neighbour.jobs[write.Key.JobID] = write.Body
	}
	return false, true
}

// crashNeighbour ends the term of a neighbour's leader. Each of its pending writes may be applied
// before the next leader reads the records.
func (m *transferModel) crashNeighbour(t *rapid.T, neighbour *neighbourCell) {
	for len(neighbour.writes) > 0 {
		if rapid.Bool().Draw(t, "write applied") {
			m.applyNeighbourWrite(neighbour, neighbour.writes[0].effect)
		}
		neighbour.writes = neighbour.writes[1:]
	}
	m.startNeighbourTerm(neighbour)
}

// startForeign starts a job at a neighbour that has accepted it.
func (m *transferModel) startForeign(neighbour *neighbourCell, jobID string) {
	if neighbour.jobs[jobID] != nil && neighbour.terminalStates[jobID] == "" {
		m.recordStart(jobID, neighbour.name)
	}
}

// finishForeign completes a job at a neighbour if it runs there.
func (m *transferModel) finishForeign(neighbour *neighbourCell, jobID string) {
	if m.jobs[jobID].startedIn[neighbour.name] && neighbour.jobs[jobID] != nil && neighbour.terminalStates[jobID] == "" {
		m.jobs[jobID].completedIn[neighbour.name] = true
		neighbour.terminalStates[jobID] = "done"
	}
}

// cancelForeign makes the pending cancellation of a job at a neighbour durable.
func (m *transferModel) cancelForeign(neighbour *neighbourCell, jobID string) {
	if neighbour.pendingCancellations[jobID] && neighbour.jobs[jobID] != nil && neighbour.terminalStates[jobID] == "" {
		neighbour.terminalStates[jobID] = "aborted"
	}
	delete(neighbour.pendingCancellations, jobID)
}

// --- the network ---

// deliver delivers a message to its neighbour, whose answer is sent back, or an answer to the origin.
func (m *transferModel) deliver(p packet) {
	if p.message == nil {
		m.origin.jobs.HandleAnswer(p.neighbour, *p.answer, m.now)
		m.applyOriginEffects()
		return
	}
	neighbour := m.neighbours[p.neighbour]
	answer := neighbour.foreign.HandleMessage("a", *p.message, m.now.Milliseconds())
	m.applyForeignEffects(neighbour)
	m.packets = append(m.packets, packet{neighbour: p.neighbour, answer: &answer})
}

// advanceTime advances the clock and lets the origin handle timeouts.
func (m *transferModel) advanceTime(d time.Duration) {
	m.now += d
	m.origin.jobs.Tick(m.now)
	m.applyOriginEffects()
}

// --- the actions and the property ---

func (m *transferModel) drawJobID(t *rapid.T) string {
	return rapid.SampledFrom(m.jobIDs).Draw(t, "job")
}
func (m *transferModel) drawNeighbour(t *rapid.T) *neighbourCell {
	return m.neighbours[rapid.SampledFrom(m.neighbourNames).Draw(t, "cell")]
}

// actions returns the events that may occur at any time, by name. rapid draws from the sorted names,
// the first ones more often, so renaming an action changes which faults the model finds. Run the
// mutants after such a change.
func (m *transferModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"propose transfer": func(t *rapid.T) { m.delegate(m.drawJobID(t), m.drawNeighbour(t).name) },
		"write origin":     func(*rapid.T) { m.writeOrigin() },
		"write origin 2":   func(*rapid.T) { m.writeOrigin() },
		"crash origin":     m.crashOrigin,
		"start origin":     func(t *rapid.T) { m.startAtOrigin(m.drawJobID(t)) },
		"finish origin":    func(t *rapid.T) { m.finishAtOrigin(m.drawJobID(t)) },
		"cancel":           func(t *rapid.T) { m.cancel(m.drawJobID(t)) },
		"admission":        func(t *rapid.T) { m.drawNeighbour(t).admitsOffers = rapid.Bool().Draw(t, "admits") },
		"crash neighbour":  func(t *rapid.T) { m.crashNeighbour(t, m.drawNeighbour(t)) },
		"start foreign":    func(t *rapid.T) { m.startForeign(m.drawNeighbour(t), m.drawJobID(t)) },
		"finish foreign":   func(t *rapid.T) { m.finishForeign(m.drawNeighbour(t), m.drawJobID(t)) },
		"cancel foreign":   func(t *rapid.T) { m.cancelForeign(m.drawNeighbour(t), m.drawJobID(t)) },
		"write neighbour": func(t *rapid.T) {
			if neighbour := m.drawNeighbour(t); len(neighbour.writes) > 0 {
				m.writeNeighbour(neighbour, rapid.IntRange(0, len(neighbour.writes)-1).Draw(t, "write"))
			}
		},
		"own job": func(t *rapid.T) {
			if neighbour, jobID := m.drawNeighbour(t), m.drawJobID(t); neighbour.jobs[jobID] == nil {
				neighbour.localJobs[jobID] = true
			}
		},
		"deliver": func(t *rapid.T) { m.deliverSome(t, 8) },
		"newest":  func(t *rapid.T) { m.deliverNewest(t) },
		"lose": func(t *rapid.T) {
			if len(m.packets) > 0 {
				index := rapid.IntRange(0, len(m.packets)-1).Draw(t, "packet")
				m.packets = slices.Delete(m.packets, index, index+1)
			}
		},
		"time": func(t *rapid.T) {
			m.advanceTime(time.Duration(rapid.SampledFrom([]int{100, 300, 1000, 9000, 21000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// deliverSome delivers 1 to maxPackets drawn packets. Some of them remain in transit, so that they
// are delivered again later.
func (m *transferModel) deliverSome(t *rapid.T, maxPackets int) {
	for range rapid.IntRange(1, maxPackets).Draw(t, "packets") {
		if len(m.packets) == 0 {
			return
		}
		index := rapid.IntRange(0, len(m.packets)-1).Draw(t, "packet")
		p := m.packets[index]
		if rapid.IntRange(0, 3).Draw(t, "copy remains") > 0 {
			m.packets = slices.Delete(m.packets, index, index+1)
		}
		m.deliver(p)
	}
}

// deliverNewest delivers the packet that was sent last, as a network without delays does.
func (m *transferModel) deliverNewest(*rapid.T) {
	if n := len(m.packets); n > 0 {
		p := m.packets[n-1]
		m.packets = m.packets[:n-1]
		m.deliver(p)
	}
}

// deliverAndWriteAll delivers the packets that are in transit and applies all writes.
func (m *transferModel) deliverAndWriteAll() {
	packets := m.packets
	m.packets = nil
	for _, p := range packets {
		m.deliver(p)
	}
	for len(m.origin.writes) > 0 {
		m.writeOrigin()
	}
	for _, cell := range m.neighbourNames {
		for neighbour := m.neighbours[cell]; len(neighbour.writes) > 0; {
			m.writeNeighbour(neighbour, 0)
		}
	}
}

// runWithoutFaults runs the model without faults for long enough that all jobs end.
func (m *transferModel) runWithoutFaults() {
	for range 400 {
		m.deliverAndWriteAll()
		for _, cell := range m.neighbourNames {
			neighbour := m.neighbours[cell]
			for _, jobID := range m.jobIDs {
				m.cancelForeign(neighbour, jobID)
				m.startForeign(neighbour, jobID)
				if !m.jobs[jobID].cancelRequested {
					m.finishForeign(neighbour, jobID)
				}
			}
		}
		m.advanceOriginJobs()
		m.advanceTime(RetryInterval)
	}
}

// advanceOriginJobs completes the jobs that may run at the origin, and repeats the users'
// cancellations. A job whose cancellation was requested is not completed, so that it ends only if the
// cancellation takes effect.
func (m *transferModel) advanceOriginJobs() {
	for _, jobID := range m.jobIDs {
		if m.jobs[jobID].cancelRequested {
			m.cancel(jobID)
			continue
		}
		m.startAtOrigin(jobID)
		m.finishAtOrigin(jobID)
	}
}

// checkFinalState checks that each job has a terminal state, that the origin has deleted the records
// of all transfers, and that no neighbour has an open job or an unreleased transfer.
func (m *transferModel) checkFinalState() {
	for _, jobID := range m.jobIDs {
		if m.origin.terminalStates[jobID] == "" {
			m.t.Fatalf("%s has no terminal state: %s", jobID, m.describe(jobID))
		}
		if record, ok := m.origin.delegated[jobID]; ok {
			m.t.Fatalf("%s: the origin still has the record %+v: %s", jobID, record, m.describe(jobID))
		}
		for _, cell := range m.neighbourNames {
			neighbour := m.neighbours[cell]
			if neighbour.jobs[jobID] != nil && neighbour.terminalStates[jobID] == "" {
				m.t.Fatalf("%s is open in %s: %s", jobID, cell, m.describe(jobID))
			}
			if neighbour.records[ForeignKey{"a", jobID}].State == ForeignAccepted {
				m.t.Fatalf("%s is not released in %s: %s", jobID, cell, m.describe(jobID))
			}
		}
	}
}

// describe returns the state of a job's transfers for failure messages.
func (m *transferModel) describe(jobID string) string {
	text := fmt.Sprintf("decided %q, writes %v", m.origin.decidedStates[jobID], m.origin.writes)
	if transfer := m.origin.jobs.transfers[jobID]; transfer != nil {
		text += fmt.Sprintf(", %s of epoch %d to %s, cancelling %v", phaseNames[transfer.phase], transfer.record.Epoch, transfer.record.Cell, transfer.cancelling)
	}
	for _, cell := range m.neighbourNames {
		if record, ok := m.neighbours[cell].records[ForeignKey{"a", jobID}]; ok {
			text += fmt.Sprintf(", %s has %+v", cell, record)
		}
	}
	return text
}

// TestTransferModel checks random schedules of transfers, crashes, message losses and cancellations.
// Each job must get exactly one terminal state, a job that is not repeatable must not start in two
// cells, no job may be lost, and all jobs must end once the faults stop.
func TestTransferModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTransferModel(t)
		t.Repeat(m.actions())
		m.t = t
		m.runWithoutFaults()
		m.checkFinalState()
	})
}

// exchangeMessages delivers messages, applies writes and carries out cancellations for 8 retry
// intervals, without starting or completing a job.
func (m *transferModel) exchangeMessages() {
	for range 8 {
		m.deliverAndWriteAll()
		for _, cell := range m.neighbourNames {
			for _, jobID := range m.jobIDs {
				m.cancelForeign(m.neighbours[cell], jobID)
			}
		}
		m.advanceTime(RetryInterval)
	}
}

// TestTransferReclaimedTwice guards against a result of an earlier epoch that is taken for one of the
// current epoch. A repeatable job is reclaimed from an unreachable neighbour, which cancels it, and is
// later offered to the same neighbour again. The first transfer's outcome must not affect the second.
func TestTransferReclaimedTwice(t *testing.T) {
	m := newTransferModel(t)
	jobID := m.jobIDs[0]
	m.delegate(jobID, "b")
	m.exchangeMessages()
	if m.origin.delegated[jobID].State != Accepted {
		t.Fatalf("the neighbour has not accepted the job: %s", m.describe(jobID))
	}
	m.packets = nil
	m.now += reclaimAfterModel + time.Second
	m.origin.jobs.Tick(m.now)
	m.applyOriginEffects()
	m.exchangeMessages() // the origin reclaims the job and the neighbour cancels it
	if m.origin.jobs.Delegated(jobID) || m.neighbours["b"].terminalStates[jobID] != "aborted" {
		t.Fatalf("the job is not reclaimed, or not cancelled at the neighbour: %s", m.describe(jobID))
	}
	m.exchangeMessages() // the neighbour releases the job
	m.delegate(jobID, "b")
	if !m.origin.jobs.Delegated(jobID) {
		t.Fatalf("the job is not offered a second time: %s", m.describe(jobID))
	}
	m.exchangeMessages()
	m.runWithoutFaults()
	m.checkFinalState()
	if m.origin.terminalStates[jobID] != "done" || !m.jobs[jobID].completedIn["origin"] {
		t.Errorf("terminal state %q, want done at the origin: %s", m.origin.terminalStates[jobID], m.describe(jobID))
	}
}

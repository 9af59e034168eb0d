package federation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The model: one home and two neighbours, whose leaders crash, over a network that loses,
// delays and doubles messages, with state services that carry out writes late or not at
// all. What runs and what users are told is kept outside of the code under test.
//
// A leader's writes need its term, so none of them is carried out once the next leader
// has read its records; until then each may have been or not.

const (
	modelJobs = 3
	takeBack  = 20 * time.Second
)

// modelJob is what is true of one job.
type modelJob struct {
	ref        string
	repeatable bool
	wanted     bool            // its user has asked for its cancellation
	begun      map[string]bool // cells in which it has been started
	completed  map[string]bool // cells in which it has run to its end
}

// homeWrite is a write of home's leader on its way: of a transfer, or of a job's end.
type homeWrite struct {
	ref    string
	record *DelegatedRecord // nil: see below
	drop   bool
	end    string // of the job
}

// homeCell is home: what is durable, and its present leader.
type homeCell struct {
	away    map[string]DelegatedRecord
	ends    map[string]string // of jobs, durable
	started map[string]bool   // durable before the first start
	// The leader's.
	home    *DelegatedJobs
	decided map[string]string
	writes  []homeWrite
}

// guestWrite is a write of a neighbour's leader on its way.
type guestWrite struct{ effect WriteForeign }

// guestCell is a neighbour: what is durable, and its present leader.
type guestCell struct {
	name     string
	admits   bool
	records  map[ForeignKey]ForeignRecord
	versions map[ForeignKey]uint64
	revision uint64
	jobs     map[string]*OfferBody
	own      map[string]bool // jobs of its own users, by the same names
	ends     map[string]string
	// The leader's.
	guests *ForeignJobs
	writes []guestWrite
	cancel map[string]bool // cancellations being written
}

// packet is a message or an answer under way.
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
	t       failer
	now     time.Duration
	jobs    map[string]*modelJob
	refs    []string
	home    *homeCell
	guests  map[string]*guestCell
	cells   []string
	packets []packet
}

func newWorld(t failer) *world {
	w := &world{t: t, jobs: map[string]*modelJob{}, guests: map[string]*guestCell{}, cells: []string{"b", "c"}}
	w.home = &homeCell{away: map[string]DelegatedRecord{}, ends: map[string]string{}, started: map[string]bool{}}
	for i := range modelJobs {
		ref := fmt.Sprintf("job-%d", i)
		w.refs = append(w.refs, ref)
		w.jobs[ref] = &modelJob{ref: ref, repeatable: i == 0, begun: map[string]bool{}, completed: map[string]bool{}}
	}
	for _, name := range w.cells {
		w.guests[name] = &guestCell{name: name, admits: true, records: map[ForeignKey]ForeignRecord{}, versions: map[ForeignKey]uint64{}, jobs: map[string]*OfferBody{}, own: map[string]bool{}, ends: map[string]string{}}
		w.lead(w.guests[name])
	}
	w.leadHome()
	return w
}

// --- home ---

func (w *world) body(ref string) *OfferBody {
	return &OfferBody{Job: []byte(ref), Cores: 1, Repeatable: w.jobs[ref].repeatable}
}

// leadHome begins a term of home.
func (w *world) leadHome() {
	h := w.home
	h.home = NewDelegatedJobs(func(string) time.Duration { return takeBack })
	h.decided, h.writes = map[string]string{}, nil
	for ref, end := range h.ends {
		h.decided[ref] = end
	}
	for _, ref := range w.refs {
		if record, ok := h.away[ref]; ok {
			h.home.Restore(ref, record, w.body(ref), h.ends[ref] != "", w.now)
		}
	}
	w.carryOutHome()
}

// carryOutHome does what home's leader wants done.
func (w *world) carryOutHome() {
	for effects := w.home.home.Take(); len(effects) > 0; effects = w.home.home.Take() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case SaveDelegated:
				w.home.writes = append(w.home.writes, homeWrite{ref: e.JobID, record: &e.Record})
			case DropDelegated:
				w.home.writes = append(w.home.writes, homeWrite{ref: e.JobID, drop: true})
			case Send:
				w.packets = append(w.packets, packet{cell: e.Cell, message: &e.Message})
			case EndJob:
				w.decide(e.JobID, map[bool]string{true: "aborted", false: "done"}[e.Aborted])
			}
		}
	}
}

// decide has home's leader write a job's end.
func (w *world) decide(ref, end string) {
	if w.home.decided[ref] == "" {
		w.home.decided[ref] = end
		w.home.writes = append(w.home.writes, homeWrite{ref: ref, end: end})
	}
}

// writeHome carries out the first write of home that is under way.
func (w *world) writeHome() {
	if len(w.home.writes) == 0 {
		return
	}
	write := w.home.writes[0]
	w.home.writes = w.home.writes[1:]
	w.applyHome(write)
	switch {
	case write.record != nil:
		w.home.home.Saved(write.ref, *write.record, w.now)
	case write.end != "":
		w.home.home.Over(write.ref, w.now)
	}
	w.carryOutHome()
}

// applyHome makes a write durable, and looks at what users may now be told.
func (w *world) applyHome(write homeWrite) {
	ref := write.ref
	switch {
	case write.record != nil:
		w.home.away[ref] = *write.record
	case write.drop:
		delete(w.home.away, ref)
	default:
		w.told(ref, write.end)
	}
}

// told looks at a final answer as it becomes durable.
func (w *world) told(ref, end string) {
	j := w.jobs[ref]
	if old := w.home.ends[ref]; old != "" && old != end {
		w.t.Fatalf("%s: told %s after %s", ref, end, old)
	}
	w.home.ends[ref] = end
	if end == "done" && len(j.completed) == 0 {
		w.t.Fatalf("%s is told as done and has not run to its end", ref)
	}
	if end == "aborted" && !j.wanted {
		w.t.Fatalf("%s is told as cancelled and nobody asked for it", ref)
	}
	if end == "aborted" {
		for _, cell := range w.cells {
			if g := w.guests[cell]; g.jobs[ref] != nil && g.ends[ref] == "" {
				w.t.Fatalf("%s is told as cancelled while it can run in %s", ref, cell)
			}
		}
	}
}

// crashHome ends home's leader. Some of its writes, in their order, are carried out
// before the next one reads.
func (w *world) crashHome(t *rapid.T) {
	for range rapid.IntRange(0, len(w.home.writes)).Draw(t, "writes carried out") {
		w.applyHome(w.home.writes[0])
		w.home.writes = w.home.writes[1:]
	}
	w.leadHome()
}

// startHome starts a job at home where its leader may.
func (w *world) startHome(ref string) {
	if w.home.decided[ref] == "" && !w.home.home.Delegated(ref) {
		w.home.started[ref] = true
		w.starts(ref, "home")
	}
}

// finishHome has a job end that runs at home.
func (w *world) finishHome(ref string) {
	if w.jobs[ref].begun["home"] && w.home.decided[ref] == "" && !w.home.home.Delegated(ref) {
		w.jobs[ref].completed["home"] = true
		w.decide(ref, "done")
	}
}

// starts notes that a job runs in a cell, and looks whether it may.
func (w *world) starts(ref, cell string) {
	j := w.jobs[ref]
	j.begun[cell] = true
	if !j.repeatable && len(j.begun) > 1 {
		w.t.Fatalf("%s may run only once and was started in %v", ref, j.begun)
	}
	if w.home.ends[ref] == "aborted" {
		w.t.Fatalf("%s starts in %s after it was told as cancelled", ref, cell)
	}
}

// spill begins a transfer where home's leader may.
func (w *world) spill(ref, cell string) {
	h := w.home
	if h.decided[ref] == "" && !h.started[ref] && !h.home.Delegated(ref) && h.home.MayBegin(ref) {
		h.home.Begin(ref, cell, w.body(ref), w.now, w.now.Milliseconds())
		w.carryOutHome()
	}
}

// cancel has a job's user ask for its cancellation.
func (w *world) cancel(ref string) {
	w.jobs[ref].wanted = true
	if w.home.decided[ref] == "" && w.home.home.Cancel(ref, w.now) {
		w.decide(ref, "aborted")
	}
	w.carryOutHome()
}

// --- neighbours ---

// lead begins a term of a neighbour.
func (w *world) lead(g *guestCell) {
	g.guests = NewForeignJobs(modelGuests{g})
	g.writes, g.cancel = nil, map[string]bool{}
	for key, record := range g.records {
		g.guests.Restore(key, record, g.versions[key])
	}
}

// modelGuests is what a neighbour's leader knows of its jobs.
type modelGuests struct{ *guestCell }

// ForeignJobState is the state of a guest.
func (g modelGuests) ForeignJobState(key ForeignKey) (JobState, bool) {
	return JobState{Over: g.ends[key.JobID] != "", Aborted: g.ends[key.JobID] == "aborted"}, g.jobs[key.JobID] != nil
}

// Admit takes an offer if the test lets it.
func (g modelGuests) Admit(string, string, *OfferBody) Refusal {
	if g.admits {
		return Refusal{}
	}
	return Refusal{Reason: "full", Temporary: true}
}

func (w *world) carryOutGuest(g *guestCell) {
	for _, effect := range g.guests.Take() {
		switch e := effect.(type) {
		case WriteForeign:
			g.writes = append(g.writes, guestWrite{e})
		case CancelForeign:
			g.cancel[e.JobID] = true
		}
	}
}

// writeGuest carries out a write of a neighbour's leader.
func (w *world) writeGuest(g *guestCell, at int) {
	write := g.writes[at].effect
	g.writes = slices.Delete(g.writes, at, at+1)
	exists, ok := w.applyGuest(g, write)
	if ok || exists {
		g.guests.Written(write.Key, write.Record, g.versions[write.Key], exists, w.now.Milliseconds())
		w.carryOutGuest(g)
	}
}

func (w *world) applyGuest(g *guestCell, write WriteForeign) (exists, ok bool) {
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

// crashGuest ends a neighbour's leader.
func (w *world) crashGuest(t *rapid.T, g *guestCell) {
	for len(g.writes) > 0 {
		if rapid.Bool().Draw(t, "write carried out") {
			w.applyGuest(g, g.writes[0].effect)
		}
		g.writes = g.writes[1:]
	}
	w.lead(g)
}

// startGuest and finishGuest run an accepted job; cancelGuest ends one.
func (w *world) startGuest(g *guestCell, ref string) {
	if g.jobs[ref] != nil && g.ends[ref] == "" {
		w.starts(ref, g.name)
	}
}

func (w *world) finishGuest(g *guestCell, ref string) {
	if w.jobs[ref].begun[g.name] && g.jobs[ref] != nil && g.ends[ref] == "" {
		w.jobs[ref].completed[g.name] = true
		g.ends[ref] = "done"
	}
}

func (w *world) cancelGuest(g *guestCell, ref string) {
	if g.cancel[ref] && g.jobs[ref] != nil && g.ends[ref] == "" {
		g.ends[ref] = "aborted"
	}
	delete(g.cancel, ref)
}

// --- the network ---

// deliver brings a packet to where it goes.
func (w *world) deliver(p packet) {
	if p.message == nil {
		w.home.home.Answered(p.cell, *p.answer, w.now)
		w.carryOutHome()
		return
	}
	g := w.guests[p.cell]
	answer := g.guests.Asked("a", *p.message, w.now.Milliseconds())
	w.carryOutGuest(g)
	w.packets = append(w.packets, packet{cell: p.cell, answer: &answer})
}

func (w *world) pass(d time.Duration) {
	w.now += d
	w.home.home.Tick(w.now)
	w.carryOutHome()
}

// --- the property ---

func (w *world) ref(t *rapid.T) string { return rapid.SampledFrom(w.refs).Draw(t, "job") }
func (w *world) cell(t *rapid.T) *guestCell {
	return w.guests[rapid.SampledFrom(w.cells).Draw(t, "cell")]
}

// actions are what may happen at any moment.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"spill":        func(t *rapid.T) { w.spill(w.ref(t), w.cell(t).name) },
		"write home":   func(*rapid.T) { w.writeHome() },
		"write home 2": func(*rapid.T) { w.writeHome() },
		"crash home":   w.crashHome,
		"start home":   func(t *rapid.T) { w.startHome(w.ref(t)) },
		"finish home":  func(t *rapid.T) { w.finishHome(w.ref(t)) },
		"cancel":       func(t *rapid.T) { w.cancel(w.ref(t)) },
		"admission":    func(t *rapid.T) { w.cell(t).admits = rapid.Bool().Draw(t, "admits") },
		"crash guest":  func(t *rapid.T) { w.crashGuest(t, w.cell(t)) },
		"start guest":  func(t *rapid.T) { w.startGuest(w.cell(t), w.ref(t)) },
		"finish guest": func(t *rapid.T) { w.finishGuest(w.cell(t), w.ref(t)) },
		"cancel guest": func(t *rapid.T) { w.cancelGuest(w.cell(t), w.ref(t)) },
		"write guest": func(t *rapid.T) {
			if g := w.cell(t); len(g.writes) > 0 {
				w.writeGuest(g, rapid.IntRange(0, len(g.writes)-1).Draw(t, "write"))
			}
		},
		"own job": func(t *rapid.T) {
			if g, ref := w.cell(t), w.ref(t); g.jobs[ref] == nil {
				g.own[ref] = true
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

// deliverSome delivers any packets, which may come again later.
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

// deliverNewest delivers the packet that was sent last, as a network mostly does.
func (w *world) deliverNewest(*rapid.T) {
	if n := len(w.packets); n > 0 {
		p := w.packets[n-1]
		w.packets = w.packets[:n-1]
		w.deliver(p)
	}
}

// carry delivers all packets and carries out all writes.
func (w *world) carry() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		w.deliver(p)
	}
	for len(w.home.writes) > 0 {
		w.writeHome()
	}
	for _, cell := range w.cells {
		for g := w.guests[cell]; len(g.writes) > 0; {
			w.writeGuest(g, 0)
		}
	}
}

// settle ends all troubles and has everything go on.
func (w *world) settle() {
	for range 400 {
		w.carry()
		for _, cell := range w.cells {
			g := w.guests[cell]
			for _, ref := range w.refs {
				w.cancelGuest(g, ref)
				w.startGuest(g, ref)
				if !w.jobs[ref].wanted {
					w.finishGuest(g, ref)
				}
			}
		}
		w.settleHome()
		w.pass(RetryEvery)
	}
}

// settleHome has home's jobs run on, and users repeat their cancellations. What they want
// cancelled would run for ever.
func (w *world) settleHome() {
	for _, ref := range w.refs {
		if w.jobs[ref].wanted {
			w.cancel(ref)
			continue
		}
		w.startHome(ref)
		w.finishHome(ref)
	}
}

// settled looks at what must hold in the end.
func (w *world) settled() {
	for _, ref := range w.refs {
		if w.home.ends[ref] == "" {
			w.t.Fatalf("%s has no final answer: %s", ref, w.describe(ref))
		}
		if record, ok := w.home.away[ref]; ok {
			w.t.Fatalf("%s: home still has the record %+v: %s", ref, record, w.describe(ref))
		}
		for _, cell := range w.cells {
			g := w.guests[cell]
			if g.jobs[ref] != nil && g.ends[ref] == "" {
				w.t.Fatalf("%s is open in %s: %s", ref, cell, w.describe(ref))
			}
			if g.records[ForeignKey{"a", ref}].State == ForeignAccepted {
				w.t.Fatalf("%s is not released in %s: %s", ref, cell, w.describe(ref))
			}
		}
	}
}

func (w *world) describe(ref string) string {
	text := fmt.Sprintf("decided %q, writes %v", w.home.decided[ref], w.home.writes)
	if tr := w.home.home.transfers[ref]; tr != nil {
		text += fmt.Sprintf(", %s of epoch %d to %s, cancelling %v", phaseNames[tr.phase], tr.record.Epoch, tr.record.Cell, tr.cancelling)
	}
	for _, cell := range w.cells {
		if r, ok := w.guests[cell].records[ForeignKey{"a", ref}]; ok {
			text += fmt.Sprintf(", %s has %+v", cell, r)
		}
	}
	return text
}

// TestHandoverModel plays random schedules of transfers, crashes, losses and
// cancellations. One final answer each, no strict job in two cells, none lost, and all
// settled once the troubles end.
func TestHandoverModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.t = t
		w.settle()
		w.settled()
	})
}

// flush has everything go on for a while, without an end of any job.
func (w *world) flush() {
	for range 8 {
		w.carry()
		for _, cell := range w.cells {
			for _, ref := range w.refs {
				w.cancelGuest(w.guests[cell], ref)
			}
		}
		w.pass(RetryEvery)
	}
}

// TestHandoverTakenBackTwice: a repeatable job is taken back from a silent neighbour and
// later offered to the same one again. What the first transfer came to there says nothing
// of the second.
func TestHandoverTakenBackTwice(t *testing.T) {
	w := newWorld(t)
	ref := w.refs[0]
	w.spill(ref, "b")
	w.flush()
	if w.home.away[ref].State != Accepted {
		t.Fatalf("not accepted: %s", w.describe(ref))
	}
	w.packets = nil
	w.now += takeBack + time.Second
	w.home.home.Tick(w.now)
	w.carryOutHome()
	w.flush() // home returns it, the neighbour cancels it
	if w.home.home.Delegated(ref) || w.guests["b"].ends[ref] != "aborted" {
		t.Fatalf("not taken back: %s", w.describe(ref))
	}
	w.flush() // and releases it
	w.spill(ref, "b")
	if !w.home.home.Delegated(ref) {
		t.Fatalf("not offered again: %s", w.describe(ref))
	}
	w.flush()
	w.settle()
	w.settled()
	if w.home.ends[ref] != "done" || !w.jobs[ref].completed["home"] {
		t.Errorf("%s: %s", w.home.ends[ref], w.describe(ref))
	}
}

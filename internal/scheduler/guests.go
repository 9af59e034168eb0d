package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/spill"
	"leadproxy/internal/wire"
)

// The times of lending room.
const (
	// creditFor is how long an offer of room stands.
	creditFor = 5 * time.Second
	// noRoomFor is after how long a cell that was refused room may ask again.
	noRoomFor = 5 * time.Second
)

// transfersAsked answers another cell's messages.
func (c *Core) transfersAsked(e TransfersAsked) {
	answers := make([]spill.Answer, 0, len(e.Messages))
	for _, m := range e.Messages {
		a := c.transfers.guests.Asked(e.Home, m, c.wall)
		if a.Temporary {
			a.RetryAfter = noRoomFor
		}
		answers = append(answers, a)
	}
	c.carryOutGuests()
	c.emit(AnswerTransfers{To: e.To, Answers: answers})
}

// carryOutGuests does what the neighbour's side of the transfers wants done.
func (c *Core) carryOutGuests() {
	for _, effect := range c.transfers.guests.Take() {
		switch e := effect.(type) {
		case spill.WriteGuest:
			c.putGuest(e)
		case spill.CancelGuest:
			if at, ok := c.jobIndex[e.Ref]; ok && !c.jobs[at].over() {
				c.abort(c.jobs[at])
			}
		case spill.NoteGuestEffect:
			c.noteTransfer(e.Note)
		}
	}
}

// putGuest has a guest's record written, with the job's if it is accepted.
func (c *Core) putGuest(e spill.WriteGuest) {
	put := PutGuest{Write: e}
	if e.Body != nil {
		spec, _, err := wire.ParseJob(e.Body.Job)
		if err != nil {
			c.log.Error("an admitted job can't be read", "job", e.Key.Ref, "error", err)
			return
		}
		put.Job = &ledger.JobRecord{Job: spec, AcceptedMS: e.Body.AcceptedMS, Home: e.Key.Home, Epoch: e.Record.Epoch}
	}
	c.emit(put)
}

// guestWritten takes what came of such a write.
func (c *Core) guestWritten(e GuestWritten) {
	if e.Job != nil && !e.JobExists {
		c.jobSeen(JobSeen{Ref: e.Write.Key.Ref, Record: *e.Job, Version: e.Version})
	}
	c.transfers.guests.Written(e.Write.Key, e.Write.Record, e.Version, e.JobExists, c.wall)
	c.carryOutGuests()
}

// guestJobs is what the neighbour's side of the transfers asks of the core.
type guestJobs struct{ *Core }

// GuestState is the state of a guest.
func (c guestJobs) GuestState(key spill.GuestKey) (spill.JobState, bool) {
	at, ok := c.jobIndex[key.Ref]
	if !ok || c.jobs[at].home != key.Home {
		return spill.JobState{}, false
	}
	j := c.jobs[at]
	status := c.status(j)
	return spill.JobState{Over: j.terminalDurable, Aborted: j.terminal == wire.Aborted, Done: status.Done, Running: status.Running}, true
}

// Admit tells whether an offer is taken now, and else why not.
func (c guestJobs) Admit(home, ref string, body *spill.OfferBody) spill.Refusal {
	n, ok := c.transfers.cells.Find(home)
	switch {
	case !ok || n.LendCores <= 0:
		return spill.Refusal{Reason: "nothing is lent to cell " + home}
	case n.Drain:
		return spill.Refusal{Reason: "the relation is being drained"}
	case !c.transfers.allowed:
		return spill.Refusal{Reason: "not all controllers here know transfers", Temporary: true}
	}
	spec, _, err := wire.ParseJob(body.Job)
	if err != nil {
		return spill.Refusal{Reason: "the job can't be read: " + err.Error()}
	}
	if reason := c.refuseGuest(ref, spec); reason != "" {
		return spill.Refusal{Reason: reason}
	}
	credit := c.transfers.credits[home]
	cores := spec.CPUs * float64(spec.Tasks)
	if credit == nil || c.now >= credit.until || cores > credit.cores {
		return spill.Refusal{Reason: fmt.Sprintf("no room was promised for %v cores", cores), Temporary: true}
	}
	credit.cores -= cores
	return spill.Refusal{}
}

// refuseGuest tells why a job of another cell can't run here at all.
func (c *Core) refuseGuest(ref string, spec *wire.Job) (reason string) {
	if spec.Ref != ref {
		return "the offer describes another job"
	}
	if _, known := c.jobIndex[ref]; known {
		return "a job of this name is known here"
	}
	if len(spec.WaitsOn) > 0 {
		return "it waits for jobs of its home"
	}
	// The record with the cell's name must fit, with room for its end.
	if text, err := json.Marshal(spec); err != nil || len(text)+guestRecordRoom > c.cfg.ValueBytes {
		return "its description is longer than can be recorded here"
	}
	if spec.Zone != nil {
		return "it is bound to a zone of its home"
	}
	if at, known := c.teamAt[spec.Team]; known {
		if limit := c.teams[at].limit; !unitsOf(sizeOf(spec)).within(limit) {
			return "one of its tasks needs more than its team's limit here"
		}
	}
	if !slices.ContainsFunc(c.types, func(t machineType) bool {
		return sizeOf(spec).Within(t.total) && (spec.Types == nil || slices.Contains(spec.Types, t.Name))
	}) {
		return "none of its tasks fits a machine type here"
	}
	return ""
}

// guestRecordRoom is what a record holds besides the description, its end included.
const guestRecordRoom = 320

// roomAsked offers room to another cell, or says when to ask again.
func (c *Core) roomAsked(e RoomAsked) {
	answer := AnswerRoom{To: e.To, RetryAfter: noRoomFor}
	n, ok := c.transfers.cells.Find(e.Home)
	switch {
	case !ok:
		answer.Reason = "cell " + e.Home + " is not a neighbour"
	case n.Drain:
		answer.Reason = "the relation is being drained"
	case !c.transfers.allowed:
		answer.Reason = "not all controllers here know transfers"
	default:
		delete(c.transfers.credits, e.Home) // the new offer takes its place
		answer.Cores = max(0, min(e.Cores, c.lendable(n)))
		if answer.Cores <= 0 {
			answer.Reason = "no room beyond this cell's own work"
			break
		}
		answer.For, answer.RetryAfter = creditFor, 0
		c.transfers.credits[e.Home] = &credit{cores: answer.Cores, until: c.now + creditFor}
	}
	c.emit(answer)
}

// lendable is how many cores may be offered to a cell: what is free or could be hired,
// less what this cell's own work waits for, its headroom, what is guaranteed to its teams
// and what is promised or accepted already.
func (c *Core) lendable(n settings.Neighbour) float64 {
	room := c.hireableCores()
	for _, m := range c.live {
		if m.isOpen && !m.held {
			room += m.free.CPUs
		}
	}
	fromHome, own := 0.0, 0.0
	for _, j := range c.active {
		if j.over() || j.blocked() {
			continue
		}
		room -= j.size.CPUs * float64(len(j.waiting))
		if j.home == n.Name {
			fromHome += j.cores()
		}
		own += j.size.CPUs * float64(j.booked)
	}
	room -= max(0, c.headroomCores()-own)
	for _, t := range c.teams {
		room -= max(0, float64(t.guarantee.cpus-t.booked.cpus)/perUnit)
	}
	for _, credit := range c.transfers.credits {
		if c.now < credit.until {
			room -= credit.cores
		}
	}
	return min(room, n.LendCores-fromHome)
}

// hireableCores is what the cloud may still give.
func (c *Core) hireableCores() float64 {
	most := c.cfg.Operator.MaxMachines
	if len(c.types) == 0 || !c.offersOpen() {
		return 0
	}
	largest := 0.0
	for i := range c.types {
		largest = max(largest, c.types[i].total.CPUs)
	}
	if most == 0 {
		return largest * fleet.MaxHire
	}
	return largest * float64(max(0, most-c.machineCount()))
}

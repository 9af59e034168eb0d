package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The lifetimes of capacity offers and refusals.
const (
	// creditFor is how long an offer of capacity stands.
	creditFor = 5 * time.Second
	// noRoomFor is after how long a cell that was refused room may ask again.
	noRoomFor = 5 * time.Second
)

// transfersRequested replies to another cell's messages.
func (c *Core) transfersRequested(e TransferRequest) {
	answers := make([]federation.Answer, 0, len(e.Messages))
	for _, m := range e.Messages {
		a := c.federation.foreign.HandleMessage(e.Origin, m, c.clock.wallMS)
		if a.Temporary {
			a.RetryAfter = noRoomFor
		}
		answers = append(answers, a)
	}
	c.applyForeignEffects()
	c.effects.emit(TransferReply{ReplyTo: e.ReplyTo, Answers: answers})
}

// applyForeignEffects carries out the effects of the executing side of the transfers.
func (c *Core) applyForeignEffects() {
	for _, effect := range c.federation.foreign.TakeEffects() {
		switch e := effect.(type) {
		case federation.WriteForeign:
			c.federation.writeForeign(e)
		case federation.CancelForeign:
			if at, ok := c.jobs.indexByID[e.JobID]; ok && !c.jobs.list[at].ended() {
				c.cancel(c.jobs.list[at])
			}
		case federation.TraceForeign:
			c.federation.traceTransfer(e.Step)
		}
	}
}

// writeForeign writes a foreign job's transfer record, with the job's own if it is accepted.
func (f *federationState) writeForeign(e federation.WriteForeign) {
	put := WriteForeign{Write: e}
	if e.Body != nil {
		spec, err := wire.ParseJob(e.Body.Job)
		if err != nil {
			f.log.Error("accepted foreign job malformed", "job", e.Key.JobID, "error", err)
			return
		}
		put.Job = &ledger.JobRecord{Job: spec, AcceptedMS: e.Body.AcceptedMS, Origin: e.Key.Origin, TransferEpoch: e.Record.Epoch}
	}
	f.effects.emit(put)
}

// foreignWritten takes the result of such a write.
func (c *Core) foreignWritten(e ForeignWriteResult) {
	if e.Job != nil && !e.JobExists {
		c.recordJob(JobRecordEvent{JobID: e.Write.Key.JobID, Record: *e.Job, Version: e.Version})
	}
	c.federation.foreign.RecordWritten(e.Write.Key, e.Write.Record, e.Version, e.JobExists, c.clock.wallMS)
	c.applyForeignEffects()
}

// localJobs is what the executing side of the transfers needs from the core.
type localJobs struct{ *Core }

// ForeignJobState is the state of a foreign job.
func (c localJobs) ForeignJobState(key federation.ForeignKey) (federation.JobState, bool) {
	at, ok := c.jobs.indexByID[key.JobID]
	if !ok || c.jobs.list[at].transfer.origin != key.Origin {
		return federation.JobState{}, false
	}
	j := c.jobs.list[at]
	status := c.status(j)
	return federation.JobState{Over: j.end.durable, Cancelled: j.end.state == wire.JobCancelled, Done: status.Done, Running: status.Running}, true
}

// Admit tells whether an offered job is accepted now, and else why not.
func (c localJobs) Admit(origin, id string, body *federation.OfferBody) federation.Refusal {
	n, ok := c.federation.cells.Find(origin)
	switch {
	case !ok || n.MaxOfferedCores <= 0:
		return federation.Refusal{Reason: "nothing is lent to cell " + origin}
	case n.Draining:
		return federation.Refusal{Reason: "the relation is being drained"}
	case !c.federation.transfersEnabled:
		return federation.Refusal{Reason: "not all controllers here know transfers", Temporary: true}
	}
	spec, err := wire.ParseJob(body.Job)
	if err != nil {
		return federation.Refusal{Reason: "the job can't be read: " + err.Error()}
	}
	if reason := c.federation.refuseForeign(id, spec); reason != "" {
		return federation.Refusal{Reason: reason}
	}
	credit := c.federation.credits[origin]
	cores := spec.CPUs * float64(spec.Tasks)
	if credit == nil || c.clock.now >= credit.until || cores > credit.cores {
		return federation.Refusal{Reason: fmt.Sprintf("no room was promised for %v cores", cores), Temporary: true}
	}
	credit.cores -= cores
	return federation.Refusal{}
}

// refuseForeign tells why a job of another cell can't run here at all; "": it can.
func (f *federationState) refuseForeign(id string, spec *wire.Job) (reason string) {
	if spec.ID != id {
		return "the offer describes another job"
	}
	if _, known := f.jobs.indexByID[id]; known {
		return "a job of this name is known here"
	}
	if len(spec.DependsOn) > 0 {
		return "it waits for jobs of its home"
	}
	// The record with the cell's name must fit, with room for its end.
	if text, err := json.Marshal(spec); err != nil || len(text)+foreignRecordOverhead > f.cfg.ValueBytes {
		return "its description is longer than can be recorded here"
	}
	if spec.Zone != nil {
		return "it is bound to a zone of its home"
	}
	if !f.teams.At(f.teams.Index(spec.Team)).Allows(quota.Of(sizeOf(spec))) {
		return "one of its tasks needs more than its team's limit here"
	}
	if !slices.ContainsFunc(f.types.list, func(t machineType) bool {
		return sizeOf(spec).Within(t.total) && (spec.Types == nil || slices.Contains(spec.Types, t.Name))
	}) {
		return "none of its tasks fits a machine type here"
	}
	return ""
}

// foreignRecordOverhead is the size of a record besides the description, its end included.
const foreignRecordOverhead = 320

// capacityRequested offers capacity to another cell, or says when to request it again.
func (f *federationState) capacityRequested(e CapacityRequest) {
	answer := CapacityReply{ReplyTo: e.ReplyTo, RetryAfter: noRoomFor}
	n, ok := f.cells.Find(e.Origin)
	switch {
	case !ok:
		answer.Reason = "cell " + e.Origin + " is not a neighbour"
	case n.Draining:
		answer.Reason = "the relation is being drained"
	case !f.transfersEnabled:
		answer.Reason = "not all controllers here know transfers"
	default:
		delete(f.credits, e.Origin) // the new offer replaces it
		answer.Cores = max(0, min(e.Cores, f.offerableCapacity(n)))
		if answer.Cores <= 0 {
			answer.Reason = "no room beyond this cell's own work"
			break
		}
		answer.For, answer.RetryAfter = creditFor, 0
		f.credits[e.Origin] = &credit{cores: answer.Cores, until: f.clock.now + creditFor}
	}
	f.effects.emit(answer)
}

// offerableCapacity is how many cores may be offered to a cell: those that are free or could be
// rented, less what this cell's own waiting work takes, its headroom, what is guaranteed to its
// teams and what is offered or accepted already.
func (f *federationState) offerableCapacity(n settings.Neighbour) float64 {
	room := f.pools.scalableCores()
	for _, m := range f.machines.live {
		if m.indexed.schedulable && !m.capacity.reserved {
			room += m.capacity.free.CPUs
		}
	}
	fromOrigin, inUse := 0.0, 0.0
	for _, j := range f.jobs.active {
		if j.ended() || j.blocked() {
			continue
		}
		room -= j.request.size.CPUs * float64(len(j.progress.waiting))
		if j.transfer.origin == n.Name {
			fromOrigin += j.cores()
		}
		inUse += j.request.size.CPUs * float64(j.progress.allocated)
	}
	room -= max(0, f.demand.headroomCores()-inUse)
	for i := range f.teams.Len() {
		room -= f.teams.At(int32(i)).UnusedGuarantee()
	}
	for _, credit := range f.credits {
		if f.clock.now < credit.until {
			room -= credit.cores
		}
	}
	return min(room, n.MaxOfferedCores-fromOrigin)
}

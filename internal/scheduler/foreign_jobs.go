package scheduler

import (
	"fmt"
	"log/slog"
	"slices"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/wire"
)

// foreignJobs accepts jobs of other cells. It owns the executing side of the transfers.
type foreignJobs struct {
	cfg        *Config
	clock      *clock
	log        *slog.Logger
	effects    *effects
	types      *machineTypes
	teams      *quota.Teams
	jobs       *jobTable
	neighbours *neighbourTable
	offers     *capacityOffers

	transfers *federation.ForeignJobs
}

func newForeignJobs(c *Core) foreignJobs {
	return foreignJobs{cfg: &c.cfg, clock: &c.clock, log: c.log, effects: &c.effects, types: &c.types, teams: &c.teams,
		jobs: &c.jobs, neighbours: &c.neighbours, offers: &c.offers, transfers: federation.NewForeignJobs(localJobs{c})}
}

// restore takes the transfers over from the ledger.
func (f *foreignJobs) restore(saved []ledger.SavedForeign) {
	for _, g := range saved {
		f.transfers.Restore(g.Key, g.Record, g.Version)
	}
}

// handleMessages takes the messages of another cell, and returns the answers.
func (f *foreignJobs) handleMessages(origin string, messages []federation.Message) []federation.Answer {
	answers := make([]federation.Answer, 0, len(messages))
	for _, m := range messages {
		a := f.transfers.HandleMessage(origin, m, f.clock.wallMS)
		if a.Temporary {
			a.RetryAfter = refusalRetryAfter
		}
		answers = append(answers, a)
	}
	return answers
}

// recordWritten takes the result of a write of a transfer's record.
func (f *foreignJobs) recordWritten(e ForeignWriteResult) {
	f.transfers.RecordWritten(e.Write.Key, e.Write.Record, e.Version, e.JobExists, f.clock.wallMS)
}

// writeRecord writes a foreign job's transfer record, with the job's own if it is accepted.
func (f *foreignJobs) writeRecord(e federation.WriteForeign) {
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

// admit tells whether an offered job is accepted now, and else why not.
func (f *foreignJobs) admit(origin, id string, body *federation.OfferBody) federation.Refusal {
	n, ok := f.neighbours.cells.Find(origin)
	switch {
	case !ok || n.MaxOfferedCores <= 0:
		return federation.Refusal{Reason: "nothing is lent to cell " + origin}
	case n.Draining:
		return federation.Refusal{Reason: "the relation is being drained"}
	case !f.neighbours.transfersEnabled:
		return federation.Refusal{Reason: "not all controllers here know transfers", Temporary: true}
	}
	spec, err := wire.ParseJob(body.Job)
	if err != nil {
		return federation.Refusal{Reason: "the job can't be read: " + err.Error()}
	}
	if reason := f.refusalReason(id, spec); reason != "" {
		return federation.Refusal{Reason: reason}
	}
	if cores := spec.CPUs * float64(spec.Tasks); !f.offers.useCredit(origin, cores) {
		return federation.Refusal{Reason: fmt.Sprintf("no room was promised for %v cores", cores), Temporary: true}
	}
	return federation.Refusal{}
}

// refusalReason tells why a job of another cell can't run here at all; "": it can.
func (f *foreignJobs) refusalReason(id string, spec *wire.Job) (reason string) {
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
	if text, err := json.Marshal(spec); err != nil || len(text)+foreignRecordOverhead > f.cfg.MaxValueBytes {
		return "its description is longer than can be recorded here"
	}
	if spec.Zone != nil {
		return "it is bound to a zone of its home"
	}
	if !f.teams.Team(f.teams.Index(spec.Team)).Allows(quota.UnitsOf(taskSize(spec))) {
		return "one of its tasks needs more than its team's limit here"
	}
	if !slices.ContainsFunc(f.types.list, func(t machineType) bool {
		return taskSize(spec).Within(t.total) && (spec.Types == nil || slices.Contains(spec.Types, t.Name))
	}) {
		return "none of its tasks fits a machine type here"
	}
	return ""
}

// foreignRecordOverhead is the size of a record besides the description, its end included.
const foreignRecordOverhead = 320

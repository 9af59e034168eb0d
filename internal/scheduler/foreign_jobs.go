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

// restore restores the transfers from the ledger.
func (f *foreignJobs) restore(saved []ledger.SavedForeign) {
	for _, record := range saved {
		f.transfers.Restore(record.Key, record.Record, record.Version)
	}
}

// handleMessages handles the messages of another cell and returns one answer for each.
func (f *foreignJobs) handleMessages(origin string, messages []federation.Message) []federation.Answer {
	answers := make([]federation.Answer, 0, len(messages))
	for _, m := range messages {
		answer := f.transfers.HandleMessage(origin, m, f.clock.wallMS)
		if answer.Temporary {
			answer.RetryAfter = refusalRetryAfter
		}
		answers = append(answers, answer)
	}
	return answers
}

// recordWritten handles the result of writing a transfer record.
func (f *foreignJobs) recordWritten(result ForeignWriteResult) {
	f.transfers.RecordWritten(result.Write.Key, result.Write.Record, result.Version, result.JobExists, f.clock.wallMS)
}

// writeRecord writes the transfer record of a foreign job. If the job is accepted, its own record
// is written with it.
func (f *foreignJobs) writeRecord(write federation.WriteForeign) {
	effect := WriteForeign{Write: write}
	if write.Body != nil {
		spec, err := wire.ParseJob(write.Body.Job)
		if err != nil {
			f.log.Error("accepted foreign job malformed", "job", write.Key.JobID, "error", err)
			return
		}
		effect.Job = &ledger.JobRecord{Job: spec, AcceptedMS: write.Body.AcceptedMS, Origin: write.Key.Origin, TransferEpoch: write.Record.Epoch}
	}
	f.effects.emit(effect)
}

// admit decides whether an offered job is accepted. The zero Refusal means that it is.
func (f *foreignJobs) admit(origin, jobID string, body *federation.OfferBody) federation.Refusal {
	cell, ok := f.neighbours.cells.Find(origin)
	switch {
	case !ok || cell.MaxOfferedCores <= 0:
		return federation.Refusal{Reason: "nothing is lent to cell " + origin}
	case cell.Draining:
		return federation.Refusal{Reason: "the relation is being drained"}
	case !f.neighbours.transfersEnabled:
		return federation.Refusal{Reason: "not all controllers here know transfers", Temporary: true}
	}
	if !f.types.known() {
		return federation.Refusal{Reason: "the machine types are not known yet", Temporary: true}
	}
	spec, err := wire.ParseJob(body.Job)
	if err != nil {
		return federation.Refusal{Reason: "the job can't be read: " + err.Error()}
	}
	if reason := f.refusalReason(jobID, spec); reason != "" {
		return federation.Refusal{Reason: reason}
	}
	if cores := spec.CPUs * float64(spec.Tasks); !f.offers.useCredit(origin, cores) {
		return federation.Refusal{Reason: fmt.Sprintf("no room was promised for %v cores", cores), Temporary: true}
	}
	return federation.Refusal{}
}

// refusalReason returns why a job of another cell can never run here, or "" if it can.
func (f *foreignJobs) refusalReason(jobID string, spec *wire.Job) (reason string) {
	if spec.ID != jobID {
		return "the offer describes another job"
	}
	if _, known := f.jobs.indexByID[jobID]; known {
		return "a job of this name is known here"
	}
	if len(spec.DependsOn) > 0 {
		return "it waits for jobs of its home"
	}
	// The record must fit with the name of the origin, also after its terminal state is added.
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

// foreignRecordOverhead is the maximum size in bytes of a job record apart from the description,
// including its terminal state.
const foreignRecordOverhead = 320

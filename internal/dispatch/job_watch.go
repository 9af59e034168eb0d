package dispatch

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/metrics"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

const (
	// watchRetryInterval is the delay before a failed request is retried.
	watchRetryInterval = 200 * time.Millisecond
	// listPageSize is the number of job records per page of a listing.
	listPageSize = 1000
)

// jobWatch watches the job records for one term. The goroutine that executes run owns its fields.
type jobWatch struct {
	*Dispatcher
	term     uint64
	revision uint64 // up to which all records have been posted to the core
	// failingSince is when the first of the requests that failed in a row was sent; zero: the last
	// one succeeded.
	failingSince time.Time
}

// watchJobs watches the key-value store after a revision and posts the job records that any
// controller creates to the core, until ctx ends.
func (d *Dispatcher) watchJobs(ctx context.Context, term, revision uint64) {
	watch := jobWatch{Dispatcher: d, term: term, revision: revision}
	watch.run(ctx)
}

func (w *jobWatch) run(ctx context.Context) {
	w.observations.watchAnswered(w.revision)
	defer w.observations.watchEnded()
	for ctx.Err() == nil {
		sent := time.Now()
		changes, err := w.store.Watch(ctx, ledger.JobPrefix, w.revision, kvstore.WatchDuration)
		if errors.Is(err, kvstore.ErrCompacted) {
			w.log.Info("changes of job records are compacted, reading all records", "leader_term", w.term, "after", w.revision)
			w.recordSuccess(w.rereadJobs(ctx))
			continue
		}
		if err != nil {
			w.recordFailure(ctx, sent, err)
			transport.Pause(ctx, watchRetryInterval)
			continue
		}
		for _, change := range changes.Events {
			if change.Set != "" {
				w.postJobRecord(ctx, change.Set, change.Value, change.Version)
			}
		}
		w.log.Debug("job records watched", "leader_term", w.term, "after", w.revision, "up_to", changes.Revision, "changes", len(changes.Events), "seconds", time.Since(sent).Seconds())
		w.recordSuccess(max(w.revision, changes.Revision))
	}
}

// recordSuccess records that all records up to a revision have been posted to the core.
func (w *jobWatch) recordSuccess(revision uint64) {
	if !w.failingSince.IsZero() {
		w.log.Info("watch of job records continues", "leader_term", w.term, "from", w.revision, "up_to", revision, "seconds", time.Since(w.failingSince).Seconds())
	}
	w.revision, w.failingSince = revision, time.Time{}
	w.observations.watchAnswered(revision)
}

// recordFailure records that a request got no usable response. It logs the first one in a row.
func (w *jobWatch) recordFailure(ctx context.Context, sent time.Time, err error) {
	if ctx.Err() != nil {
		return // the term has ended
	}
	w.config.Metrics.CountWatchFailure()
	if w.failingSince.IsZero() {
		w.failingSince = sent
		w.log.Info("watch of job records failed", "leader_term", w.term, "after", w.revision, "seconds", time.Since(sent).Seconds(), "error", err)
	}
}

// rereadJobs posts all job records to the core. It is called when the store no longer keeps the
// changes that the watch needs, and returns the revision from which the watch continues.
func (d *Dispatcher) rereadJobs(ctx context.Context) uint64 {
	revision, after := uint64(0), ""
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, kvstore.PriorityLeader, ledger.JobPrefix, after, listPageSize)
		if err != nil {
			transport.Pause(ctx, watchRetryInterval)
			continue
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, entry := range page.Entries {
			d.postJobRecord(ctx, entry.Key, entry.Value, entry.Version)
			after = entry.Key
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
	}
	return revision
}

// postJobRecord posts a job record to the core. A malformed one is logged and skipped.
func (d *Dispatcher) postJobRecord(ctx context.Context, key string, value json.RawMessage, version uint64) {
	job := strings.TrimPrefix(key, ledger.JobPrefix)
	record, err := ledger.DecodeJobRecord(job, value)
	if err != nil {
		d.log.Error("job record malformed", "key", key, "error", err)
		return
	}
	d.postEvent(ctx, scheduler.JobRecordEvent{JobID: job, Record: record, Version: version})
}

// readJobRecord reads the record of one job and posts the result to the core.
func (t *term) readJobRecord(ctx context.Context, jobID string) {
	result := scheduler.RecordReadResult{JobID: jobID}
	stored, err := ledger.ReadJob(ctx, t.store, kvstore.PriorityLeader, jobID)
	switch {
	case err == nil:
		result.Outcome = scheduler.RecordFound
		result.Record = scheduler.JobRecordEvent{JobID: jobID, Record: stored.Record, Version: stored.Version}
	case errors.Is(err, ledger.ErrNoRecord), errors.Is(err, ledger.ErrMalformedRecord):
		result.Outcome = scheduler.RecordUnreadable
	}
	t.config.Metrics.CountRecordRead(readOutcomes[result.Outcome])
	t.log.Debug("job record of a predecessor read", "leader_term", t.number, "job", jobID, "version", stored.Version, "error", err)
	t.postResult(ctx, result)
}

// readOutcomes maps the outcomes of reads to those of the metrics.
var readOutcomes = map[scheduler.RecordReadOutcome]metrics.ReadOutcome{
	scheduler.RecordFound:      metrics.ReadFound,
	scheduler.RecordUnreadable: metrics.ReadUnreadable,
	scheduler.RecordNotRead:    metrics.ReadFailed,
}

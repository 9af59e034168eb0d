package dispatch

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

const (
	// watchTimeout bounds how long one watch request waits for changes.
	watchTimeout = 20 * time.Second
	// watchRetryInterval is the delay before a failed request is retried.
	watchRetryInterval = 200 * time.Millisecond
	// listPageSize is the number of job records per page of a listing.
	listPageSize = 1000
)

// watchJobs watches the key-value store after a revision and posts the job records that any
// controller creates to the core, until ctx ends.
func (d *Dispatcher) watchJobs(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		changes, err := d.store.Watch(ctx, ledger.JobPrefix, revision, watchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			revision = d.rereadJobs(ctx)
			continue
		}
		if err != nil {
			transport.Pause(ctx, watchRetryInterval)
			continue
		}
		for _, change := range changes.Events {
			if change.Set != "" {
				d.postJobRecord(ctx, change.Set, change.Value, change.Version)
			}
		}
		revision = max(revision, changes.Revision)
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
	t.log.Debug("job record of a predecessor read", "leader_term", t.number, "job", jobID, "version", stored.Version, "error", err)
	t.postEvent(ctx, result)
}

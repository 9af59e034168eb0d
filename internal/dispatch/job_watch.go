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
	// watchTimeout is how long one request of the watch waits for changes.
	watchTimeout = 20 * time.Second
	// watchRetryInterval is how long to wait after a request has failed.
	watchRetryInterval = 200 * time.Millisecond
	// listPageSize is how many job records are read at once.
	listPageSize = 1000
)

// watchJobs passes job records to the core as controllers create them.
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

// rereadJobs passes all job records to the core when the watch has fallen too far behind.
// It returns the revision from which the watch continues.
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

func (d *Dispatcher) postJobRecord(ctx context.Context, key string, value json.RawMessage, version uint64) {
	job := strings.TrimPrefix(key, ledger.JobPrefix)
	record, err := ledger.DecodeJobRecord(job, value)
	if err != nil {
		d.log.Error("job record malformed", "key", key, "error", err)
		return
	}
	d.postEvent(ctx, scheduler.JobRecordEvent{JobID: job, Record: record, Version: version})
}

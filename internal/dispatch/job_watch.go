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

// watchJobs tells the core of job records as nodes create them.
func (d *Dispatcher) watchJobs(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		news, err := d.store.Watch(ctx, ledger.JobPrefix, after, 20*time.Second)
		if errors.Is(err, kvstore.ErrCompacted) {
			after = d.reread(ctx)
			continue
		}
		if err != nil {
			transport.Pause(ctx, 200*time.Millisecond)
			continue
		}
		for _, e := range news.Events {
			if e.Set != "" {
				d.tellRecord(ctx, e.Set, e.Value, e.Version)
			}
		}
		after = max(after, news.Revision)
	}
}

// reread goes through all job records when the watch has fallen too far behind.
func (d *Dispatcher) reread(ctx context.Context) uint64 {
	revision, after := uint64(0), ""
	for ctx.Err() == nil {
		page, err := d.store.List(ctx, kvstore.PriorityLeader, ledger.JobPrefix, after, 1000)
		if err != nil {
			transport.Pause(ctx, 200*time.Millisecond)
			continue
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, e := range page.Entries {
			d.tellRecord(ctx, e.Key, e.Value, e.Version)
			after = e.Key
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
	}
	return revision
}

func (d *Dispatcher) tellRecord(ctx context.Context, key string, value json.RawMessage, version uint64) {
	ref := strings.TrimPrefix(key, ledger.JobPrefix)
	rec, err := ledger.DecodeJob(ref, value)
	if err != nil {
		d.log.Error("job record can't be read", "key", key, "error", err)
		return
	}
	d.decide(ctx, scheduler.JobRecordEvent{JobID: ref, Record: rec, Version: version})
}

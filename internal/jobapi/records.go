package jobapi

import (
	"context"
	"errors"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
)

// readRecord reads a job record from the key-value store, and passes it to the dispatcher, which may
// not know the job yet. Its errors are those of ledger.ReadJob.
func (s *Service) readRecord(ctx context.Context, jobID string) (ledger.StoredJob, error) {
	stored, err := ledger.ReadJob(ctx, s.Store, kvstore.PriorityRead, jobID)
	switch {
	case errors.Is(err, ledger.ErrMalformedRecord):
		s.Log.Error("job record malformed", "job", jobID, "error", err)
	case err == nil && stored.Record.Origin == "":
		s.Dispatcher.NotifyJobRecord(scheduler.JobRecordEvent{JobID: jobID, Record: stored.Record, Version: stored.Version})
	}
	return stored, err
}

package ledger

import (
	"context"
	"errors"
	"fmt"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// Errors of reading a job record.
var (
	// ErrNoRecord means that the job was never accepted.
	ErrNoRecord = errors.New("job has no record")
	// ErrMalformedRecord means that this version can't decode the record.
	ErrMalformedRecord = errors.New("job record is malformed")
)

// Reader reads single keys of the key-value store.
type Reader interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
}

// StoredJob is a job record in the key-value store, and the version of its key.
type StoredJob struct {
	Record  JobRecord
	Version uint64
}

// ReadJob reads the record of one job. The error is ErrNoRecord if there is none, and wraps
// ErrMalformedRecord if it can't be decoded.
func ReadJob(ctx context.Context, store Reader, p kvstore.Priority, jobID string) (StoredJob, error) {
	entry, found, err := store.Get(ctx, p, JobKey(jobID))
	switch {
	case err != nil:
		return StoredJob{}, fmt.Errorf("read the record of job %s: %w", jobID, err)
	case !found:
		return StoredJob{}, ErrNoRecord
	}
	record, err := DecodeJobRecord(jobID, entry.Value)
	if err != nil {
		return StoredJob{}, fmt.Errorf("%w: %w", ErrMalformedRecord, err)
	}
	return StoredJob{Record: record, Version: entry.Version}, nil
}

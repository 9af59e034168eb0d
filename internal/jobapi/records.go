package jobapi

import (
	"context"
	"errors"
	"fmt"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
)

// Errors of reading a job record.
var (
	// errNoRecord means that the job was never accepted.
	errNoRecord = errors.New("job has no record")
	// errMalformedRecord means that this version can't decode the record.
	errMalformedRecord = errors.New("job record is malformed")
)

// storedRecord is a job record in the key-value store, and the version of its key.
type storedRecord struct {
	record  ledger.JobRecord
	version uint64
}

// readRecord reads a job record from the key-value store. The error is errNoRecord if there is
// none, and wraps errMalformedRecord if it can't be decoded.
func (s *Service) readRecord(ctx context.Context, jobID string) (storedRecord, error) {
	entry, found, err := s.Store.Get(ctx, kvstore.PriorityRead, ledger.JobKey(jobID))
	switch {
	case err != nil:
		return storedRecord{}, fmt.Errorf("read the record of job %s: %w", jobID, err)
	case !found:
		return storedRecord{}, errNoRecord
	}
	record, err := ledger.DecodeJobRecord(jobID, entry.Value)
	if err != nil {
		s.Log.Error("job record malformed", "job", jobID, "error", err)
		return storedRecord{}, fmt.Errorf("%w: %w", errMalformedRecord, err)
	}
	return storedRecord{record: record, version: entry.Version}, nil
}

package jobapi

import (
	"context"
	"errors"
	"fmt"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
)

// Errors of reading a job's record.
var (
	// errNoRecord: the job was never accepted.
	errNoRecord = errors.New("there is no record of the job")
	// errMalformedRecord: the record is of no form that this version knows.
	errMalformedRecord = errors.New("the record of the job is malformed")
)

// storedRecord is a job's record in the key-value store.
type storedRecord struct {
	record  ledger.JobRecord
	version uint64
}

// readRecord reads a job's record from the key-value store.
func (s *Service) readRecord(ctx context.Context, jobID string) (storedRecord, error) {
	entry, found, err := s.Store.Get(ctx, kvstore.PriorityRead, ledger.JobKey(jobID))
	switch {
	case err != nil:
		return storedRecord{}, fmt.Errorf("reading the record of job %s: %w", jobID, err)
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

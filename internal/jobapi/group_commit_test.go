package jobapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestAcceptedRecordFitsItsTerminalState checks that a record that is just short enough to be
// accepted still fits the smallest value limit of the key-value store when its terminal state is
// added. Otherwise the job could never be ended.
func TestAcceptedRecordFitsItsTerminalState(t *testing.T) {
	const limit = 1024
	store := &fakeStore{records: map[string]ledger.JobRecord{}}
	commits := newGroupCommit(store, 1, limit)
	go commits.run(t.Context())
	accepted, refused := 0, 0
	for length := range limit {
		// The record of a cancelled job keeps the name of the class.
		job := &wire.Job{ID: fmt.Sprintf("job-%d", length), Class: strings.Repeat("c", length), Kind: "batch", Priority: "high", Tasks: 100000}
		_, err := commits.create(t.Context(), job.ID, ledger.JobRecord{Job: job, AcceptedMS: 1796190522949})
		if err != nil {
			refused++
			continue
		}
		accepted++
		ended := ledger.JobRecord{Job: job.CancelledSummary(), AcceptedMS: 1796190522949, TerminalState: wire.JobCancelled, Tasks: job.Tasks, Done: job.Tasks - 1, EndedMS: 1796190522949}
		encoded, err := json.Marshal(ended)
		if err != nil || len(encoded) > limit {
			t.Errorf("class name of %d bytes: record with terminal state takes %d bytes, limit %d: %v", length, len(encoded), limit, err)
		}
	}
	if accepted == 0 || refused == 0 {
		t.Errorf("%d records accepted, %d rejected, want some of each", accepted, refused)
	}
}

// TestRecordIsCreatedOnce checks that of two creations of one job's record in one batch, one
// succeeds and the other fails with errRecordExists.
func TestRecordIsCreatedOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		ids  [2]string
		want int // records
	}{
		{"duplicate job", [2]string{"job-1", "job-1"}, 1},
		{"two jobs", [2]string{"job-1", "job-2"}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{records: map[string]ledger.JobRecord{}}
			commits := newGroupCommit(store, 1, 1024)
			var batch []*pendingCreation
			for _, id := range c.ids {
				batch = append(batch, &pendingCreation{key: ledger.JobKey(id), value: json.RawMessage(`{}`), result: make(chan creationResult, 1)})
			}
			commits.commit(t.Context(), batch)
			created := 0
			for _, creation := range batch {
				switch result := <-creation.result; {
				case result.err == nil:
					created++
				case !errors.Is(result.err, errRecordExists):
					t.Error(result.err)
				}
			}
			if created != c.want || len(store.records) != c.want {
				t.Errorf("%d creations succeeded, store has %d records, want %d", created, len(store.records), c.want)
			}
		})
	}
}

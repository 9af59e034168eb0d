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

// TestAcceptedRecordFitsItsTerminalState: a record that is just short enough when it is
// accepted has to be short enough with its terminal state as well, in the least value
// that the state service will take. Else the job could never be ended.
func TestAcceptedRecordFitsItsTerminalState(t *testing.T) {
	const limit = 1024
	store := &fakeStore{records: map[string]ledger.JobRecord{}}
	c := newGroupCommit(store, 1, limit)
	go c.run(t.Context())
	accepted, refused := 0, 0
	for length := range limit {
		// The name of the class stays in the record of a cancelled job.
		j := &wire.Job{ID: fmt.Sprintf("job-%d", length), Class: strings.Repeat("c", length), Kind: "batch", Priority: "high", Tasks: 100000}
		_, err := c.create(t.Context(), j.ID, ledger.JobRecord{Job: j, AcceptedMS: 1796190522949})
		if err != nil {
			refused++
			continue
		}
		accepted++
		end := ledger.JobRecord{Job: j.CancelledSummary(), AcceptedMS: 1796190522949, TerminalState: wire.JobCancelled, Tasks: j.Tasks, Done: j.Tasks - 1, EndedMS: 1796190522949}
		b, err := json.Marshal(end)
		if err != nil || len(b) > limit {
			t.Errorf("%d bytes of class: the end takes %d bytes of %d: %v", length, len(b), limit, err)
		}
	}
	if accepted == 0 || refused == 0 {
		t.Errorf("%d accepted, %d refused", accepted, refused)
	}
}

// TestRecordIsCreatedOnce: of two creations of one job, also in one batch, one succeeds and
// the other learns that there is a record.
func TestRecordIsCreatedOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		ids  [2]string
		want int // records
	}{
		{"one job twice", [2]string{"job-1", "job-1"}, 1},
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
			for _, waiting := range batch {
				switch result := <-waiting.result; {
				case result.err == nil:
					created++
				case !errors.Is(result.err, errRecordExists):
					t.Error(result.err)
				}
			}
			if created != c.want || len(store.records) != c.want {
				t.Errorf("%d created, %d records, want %d", created, len(store.records), c.want)
			}
		})
	}
}

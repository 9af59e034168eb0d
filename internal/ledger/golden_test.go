package ledger

import (
	"testing"

	"leadproxy/internal/election"
	"leadproxy/internal/federation"
	"leadproxy/internal/property"
)

// TestGoldenRecords compares the stored form of every record with its golden file.
func TestGoldenRecords(t *testing.T) {
	records := map[string]any{
		"job":    &JobRecord{},
		"hire":   &ScaleOutRecord{},
		"silent": &UnreachableRecord{},
		"fin":    &Ranges{},
	}
	for name, sample := range records {
		t.Run(name, func(t *testing.T) { property.CheckGolden(t, name, sample) })
	}
	done := map[int]bool{0: true, 1: true, 2: true, 5: true, 9: true}
	property.CheckGoldenValues(t, "fin_of_tasks_0_1_2_5_9", map[string]any{
		"ranges": EncodeRanges(func(i int) bool { return done[i] }, TasksPerChunk),
	})
}

// TestGoldenKeys compares the keys of the ledger, and the sizes of chunks and parts, with their
// golden file.
func TestGoldenKeys(t *testing.T) {
	property.CheckGoldenValues(t, "keys", map[string]any{
		"prefixes":                        Prefixes(),
		"job prefix":                      JobPrefix,
		"job-17":                          JobKey("job-17"),
		"finished tasks, job-17, chunk 0": FinishedTasksKey("job-17", 0),
		"finished tasks, job-17, chunk 3": FinishedTasksKey("job-17", 3),
		"finished tasks, job-17, chunk 3, part from 512": FinishedTasksPartKey("job-17", 3, 512),
		"hosts, job-17, chunk 0":                         HostsKey("job-17", 0),
		"hosts, job-17, chunk 2":                         HostsKey("job-17", 2),
		"hire h-1":                                       ScaleOutKey("h-1"),
		"gone machine m-1":                               GoneKey("m-1"),
		"silent 4-2":                                     UnreachableKey("4-2"),
		"plan p-1":                                       PlanKey("p-1"),
		"transfer away, job-17":                          DelegatedKey("job-17"),
		"transfer in, home east, job-17":                 ForeignKey(federation.ForeignKey{Origin: "east", JobID: "job-17"}),
		"fence":                                          fenceKey,
		"leader":                                         election.LeaderKey,
		"tasks of a chunk":                               TasksPerChunk,
		"hosts of a chunk":                               HostsPerChunk,
		"tasks of a part of 16384 bytes":                 TasksPerPart(16384),
		"tasks of a part of 1024 bytes":                  TasksPerPart(1024),
	})
}

// TestGoldenTransaction compares a transaction that changes the fence, writes one key and deletes
// another with its golden file.
func TestGoldenTransaction(t *testing.T) {
	limits := Limits{MaxChanges: 10, TransactionBytes: 1 << 20, ValueBytes: 16384}
	l := New(7, nil, constantLimits(limits), discardLogger())
	l.transactions.outcomeUnknown = true
	l.transactions.versions[fenceKey] = 5
	l.transactions.versions[GoneKey("m-1")] = 6
	err := l.enqueue([]Write{
		{Key: ScaleOutKey("h-1"), Value: ScaleOutRecord{Machines: []string{"m-1"}}, Urgent: true},
		{Key: GoneKey("m-1"), Urgent: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	next := l.nextTransaction()
	property.CheckGoldenValues(t, "transaction_with_fence", map[string]any{"transaction": next.request})
}

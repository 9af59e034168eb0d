package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"leadproxy/internal/wire"
)

// BenchmarkDecodeSnapshot decodes the ledger that a new leader reads late in a day: 2,000 jobs, a
// fifth of them unfinished.
func BenchmarkDecodeSnapshot(b *testing.B) {
	var entries []wire.Entry
	add := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, wire.Entry{Key: key, Value: text, Version: uint64(len(entries))})
	}
	for i := range 2000 {
		jobID := fmt.Sprintf("job-%06d", i)
		if i%5 > 0 {
			add(JobKey(jobID), JobRecord{AcceptedMS: 1, TerminalState: wire.JobDone, Tasks: 120, Done: 120, Class: "c", Team: "t", Cores: 120, RunS: 15})
			continue
		}
		add(JobKey(jobID), JobRecord{AcceptedMS: 1, Job: &wire.Job{ID: jobID, Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 120, CPUs: 1, MemGB: 3, Image: "i", ImageGB: 1, Spot: true, EstimatedRunS: 15}})
		add(FinishedTasksKey(jobID, 0), EncodeRanges(func(i int) bool { return i%3 > 0 }, 120))
		var hosts []string
		for k := range 40 {
			hosts = append(hosts, fmt.Sprintf("vm-%06d", 40*i+k))
		}
		add(HostsKey(jobID, 0), hosts)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if s := decodeSnapshot(entries); len(s.Malformed) > 0 || len(s.Jobs) != 2000 {
			b.Fatal(len(s.Jobs), s.Malformed)
		}
	}
}

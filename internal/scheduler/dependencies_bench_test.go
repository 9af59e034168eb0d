package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// BenchmarkDependents is the cost per edge of jobs that depend on others: to add them, to raise
// their priority by a last job with a deadline, and to release or cancel them with the first
// one. The figure must not grow with the shape's size.
func BenchmarkDependents(b *testing.B) {
	shapes := map[string]func(i int) (needs []string){
		"chain": func(i int) []string { return []string{fmt.Sprintf("job-%d", i-1)} },
		"fan":   func(int) []string { return []string{"job-0"} },
	}
	for _, shape := range []string{"chain", "fan"} {
		for _, jobs := range []int{1000, 4000, 16000} {
			b.Run(fmt.Sprintf("%s/%d", shape, jobs), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					s := newSimulation(1)
					b.StartTimer()
					due := 1e6
					for i := range jobs {
						j := newTestJob(fmt.Sprintf("job-%d", i), 1, 1)
						if i > 0 {
							j.DependsOn = shapes[shape](i)
						}
						if i == jobs-1 {
							j.DeadlineS, j.Priority = &due, "critical"
						}
						s.core.Step(JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: s.now.Milliseconds()}, Version: 1}, s.now, s.now.Milliseconds())
					}
					s.core.Step(JobRecordEvent{JobID: "job-0", Record: ledger.JobRecord{Job: newTestJob("job-0", 1, 1).CancelledSummary(), TerminalState: wire.JobCancelled}, Version: 2}, s.now, s.now.Milliseconds())
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(jobs-1), "ns/edge")
			})
		}
	}
}

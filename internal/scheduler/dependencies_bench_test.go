package scheduler

import (
	"fmt"
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// BenchmarkDependents measures the cost per dependency of adding dependent jobs, of raising their
// priority through a last job with a deadline, and of cancelling them with the first job. The cost
// per dependency must not grow with the size of the graph.
func BenchmarkDependents(b *testing.B) {
	shapes := map[string]func(i int) (dependsOn []string){
		"chain": func(i int) []string { return []string{fmt.Sprintf("job-%d", i-1)} },
		"fan":   func(int) []string { return []string{"job-0"} },
	}
	for _, shape := range []string{"chain", "fan"} {
		for _, jobs := range []int{1000, 4000, 16000} {
			b.Run(fmt.Sprintf("%s/%d", shape, jobs), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					simulation := newSimulation(1)
					b.StartTimer()
					deadline := 1e6
					for i := range jobs {
						job := newTestJob(fmt.Sprintf("job-%d", i), 1, 1)
						if i > 0 {
							job.DependsOn = shapes[shape](i)
						}
						if i == jobs-1 {
							job.DeadlineS, job.Priority = &deadline, "critical"
						}
						simulation.core.Step(JobRecordEvent{JobID: job.ID, Record: ledger.JobRecord{Job: job, AcceptedMS: simulation.now.Milliseconds()}, Version: 1}, simulation.now, simulation.now.Milliseconds())
					}
					simulation.core.Step(JobRecordEvent{JobID: "job-0", Record: ledger.JobRecord{Job: newTestJob("job-0", 1, 1).CancelledSummary(), TerminalState: wire.JobCancelled}, Version: 2}, simulation.now, simulation.now.Milliseconds())
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(jobs-1), "ns/edge")
			})
		}
	}
}

// BenchmarkPipelineStatus measures a status query for the last job of a chain: in the usual case, while
// an unrelated job is being cancelled, and while an unrelated predecessor is unknown.
func BenchmarkPipelineStatus(b *testing.B) {
	const length = 100
	last := fmt.Sprintf("job-%d", length-1)
	for _, condition := range []string{"usual", "cancelling", "unknown predecessor"} {
		b.Run(condition, func(b *testing.B) {
			h := newHarness(b, ledger.Snapshot{})
			h.submit(newDependentJob("job-0"))
			for i := 1; i < length; i++ {
				h.submit(newDependentJob(fmt.Sprintf("job-%d", i), fmt.Sprintf("job-%d", i-1)))
			}
			h.submit(newDependentJob("job-other"))
			h.holdWrites = true
			switch condition {
			case "cancelling":
				h.step(CancelRequest{JobID: "job-other", ReplyTo: testRecipient("u")})
			case "unknown predecessor":
				h.submit(newDependentJob("job-dependent", "job-unknown"))
			}
			b.ReportAllocs()
			for b.Loop() {
				h.core.Step(StatusRequest{JobID: last, ReplyTo: testRecipient("u")}, h.now, h.now.Milliseconds())
				h.core.Flush()
			}
		})
	}
}

package fake

import (
	"fmt"
	"time"

	"leadproxy/internal/wire"
)

// What is random about pipelines.
const (
	maxPipelineInterval = 8 * time.Second
	oldDependencyShare  = 0.3 // of pipelines whose last stage also depends on an earlier pipeline
	lateLastStageShare  = 0.2 // of pipelines whose last stage is submitted late
	cancelledShare      = 0.4 // of pipelines of which one stage is cancelled
	maxPipelineDelay    = 30 * time.Second
	lastStage           = 3
	lastStageDeadlineS  = 60.0
)

// Pipelines has users submit pipelines one after the other until stop is called: a first stage,
// two that depend on it, and a last one, with a deadline and a higher priority, that depends on
// both and sometimes on a job that was over long before. In some of them one stage is cancelled,
// and in some the last one is submitted late.
func (u *Users) Pipelines() (stop func()) {
	stopped := make(chan struct{})
	var earlier []string // last stages of earlier pipelines
	u.pending.Go(func() {
		for n := 0; ; n++ {
			if last := u.submitPipeline(n, earlier); last != "" {
				earlier = append(earlier, last)
			}
			select {
			case <-stopped:
				return
			case <-time.After(u.randomDelay(maxPipelineInterval)):
			}
		}
	})
	return func() { close(stopped) }
}

// submitPipeline submits one pipeline and returns the ID of its last stage, or "" if a stage was
// not accepted.
func (u *Users) submitPipeline(n int, earlier []string) (last string) {
	jobs := pipelineJobs(n)
	if len(earlier) > 0 && u.Random() < oldDependencyShare {
		j := jobs[lastStage]
		j.DependsOn = append(j.DependsOn, earlier[int(u.Random()*float64(len(earlier)))])
	}
	for stage, j := range jobs {
		if stage == lastStage && u.Random() < lateLastStageShare {
			time.Sleep(u.randomDelay(maxPipelineDelay))
		}
		if !u.SubmitAndAwait(j) {
			return ""
		}
		u.Poll(j)
	}
	if u.Random() < cancelledShare {
		cancelled := jobs[int(u.Random()*float64(len(jobs)))]
		u.pending.Go(func() {
			time.Sleep(u.randomDelay(maxPipelineDelay))
			u.Cancel(cancelled)
		})
	}
	return jobs[lastStage].ID
}

// pipelineJobs are the stages of a pipeline. One stage lists a dependency twice, which is allowed.
func pipelineJobs(n int) []*wire.Job {
	jobID := func(stage int) string { return fmt.Sprintf("job-5%04d%d", n, stage) }
	deadline := lastStageDeadlineS
	return []*wire.Job{
		NewJob(jobID(0), 2, func(j *wire.Job) { j.Priority = "idle" }),
		NewJob(jobID(1), 3, func(j *wire.Job) { j.Priority, j.DependsOn = "idle", []string{jobID(0)} }),
		NewJob(jobID(2), 1, func(j *wire.Job) { j.Team, j.DependsOn = "tight", []string{jobID(0), jobID(0)} }),
		NewJob(jobID(lastStage), 2, func(j *wire.Job) {
			j.Priority, j.DependsOn, j.DeadlineS = "high", []string{jobID(1), jobID(2)}, &deadline
		}),
	}
}

// randomDelay is a time from 0 to a limit.
func (u *Users) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(u.Random() * float64(limit))
}

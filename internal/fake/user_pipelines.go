package fake

import (
	"fmt"
	"time"

	"leadproxy/internal/wire"
)

// The parameters of the random pipelines. Shares are fractions of all pipelines.
const (
	maxPipelineInterval = 8 * time.Second  // between the submissions of two pipelines
	oldDependencyShare  = 0.3              // last stage also depends on an earlier pipeline
	lateLastStageShare  = 0.2              // last stage is submitted late
	cancelledShare      = 0.4              // one stage is cancelled
	cancelledAtOnce     = 0.4              // the first stage is cancelled before the others are submitted
	maxPipelineDelay    = 30 * time.Second // before a late last stage or a cancellation
	lastStage           = 3                // index of the last stage
	lastStageDeadlineS  = 60.0
)

// Pipelines makes users submit pipelines one after the other until stop is called. A pipeline has a
// first stage, two stages that depend on it, and a last stage that depends on both. The last stage
// has a deadline and a higher priority, and sometimes also depends on a job of an earlier pipeline,
// which may have ended long before. In some pipelines one stage is cancelled, in some the first one
// already while the others are submitted, and in some the last stage is submitted late.
func (u *Users) Pipelines() (stop func()) {
	stopped := make(chan struct{})
	var earlier []string // job IDs of the last stages of earlier pipelines
	u.pending.Go(func() {
		for number := 0; ; number++ {
			if last := u.submitPipeline(number, earlier); last != "" {
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

// submitPipeline submits one pipeline and returns the job ID of its last stage, or "" if a stage
// was not accepted.
func (u *Users) submitPipeline(number int, earlier []string) (last string) {
	jobs := pipelineJobs(number)
	if len(earlier) > 0 && u.Random() < oldDependencyShare {
		j := jobs[lastStage]
		j.DependsOn = append(j.DependsOn, earlier[int(u.Random()*float64(len(earlier)))])
	}
	cancelAtOnce := u.Random() < cancelledAtOnce
	for stage, j := range jobs {
		if stage == lastStage && u.Random() < lateLastStageShare {
			time.Sleep(u.randomDelay(maxPipelineDelay))
		}
		if !u.SubmitAndAwait(j) {
			return ""
		}
		u.Poll(j)
		if cancelAtOnce && stage == 0 {
			u.RetryUntilFinal(RequestCancel, j.ID, nil)
		}
		if cancelAtOnce {
			u.QueryEverywhere(j.ID, j)
		}
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

// pipelineJobs returns the stages of a pipeline. One stage lists a dependency twice, which is
// valid.
func pipelineJobs(number int) []*wire.Job {
	jobID := func(stage int) string { return fmt.Sprintf("job-5%04d%d", number, stage) }
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

// randomDelay returns a random duration from 0 to a limit.
func (u *Users) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(u.Random() * float64(limit))
}

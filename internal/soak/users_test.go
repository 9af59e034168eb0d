package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// startUsers has users submit, query and cancel jobs and submit pipelines, until usersStopped is
// closed.
func (r *run) startUsers() {
	stopPipelines := r.deployment.Users.Pipelines()
	random := rand.New(rand.NewPCG(r.plan.seed, 4))
	r.deployment.Users.Go(func() {
		defer stopPipelines()
		for k := 0; ; k++ {
			select {
			case <-r.usersStopped:
				return
			case <-time.After(time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second))):
				r.submit(k, random)
			}
		}
	})
}

// submit has a user submit the k-th job, and request its cancellation up to 15 s later if it
// runs until it is cancelled.
func (r *run) submit(k int, random *rand.Rand) {
	j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+random.IntN(maxTasks), func(j *wire.Job) {
		j.CPUs = float64(1 + random.IntN(3))
		if random.IntN(tightTeamOneIn) == 0 {
			j.Team = "tight"
		} else {
			j.Tasks *= r.plan.taskFactor()
		}
		if random.IntN(3) == 0 {
			j.CheckpointIntervalS, j.CheckpointDurationS = 2, float64(1+random.IntN(5))
		}
	})
	r.deployment.Users.Submit(j)
	if !runsUntilCancelled(j.ID) {
		return
	}
	r.cancellable <- append(<-r.cancellable, j)
	delay := time.Duration(random.Int64N(int64(15 * time.Second)))
	r.deployment.Users.Go(func() {
		transport.Pause(r.t.Context(), delay)
		r.cancel(j)
	})
}

// cancel has a user request the cancellation of a job until it is confirmed, and then query the job
// and repeat its submission at all controllers.
func (r *run) cancel(job *wire.Job) {
	for r.t.Context().Err() == nil {
		if code, _ := r.deployment.Users.RetryUntilFinal(fake.RequestCancel, job.ID, nil); code == http.StatusOK {
			r.deployment.Users.QueryEverywhere(job.ID, job)
			return
		}
	}
}

// cancelSome has users cancel a random share of the jobs that run until they are cancelled, all at
// once. The other jobs are not considered again.
func (r *run) cancelSome(share float64) {
	jobs := <-r.cancellable
	r.cancellable <- nil
	for _, j := range jobs {
		if r.random.Float64() < share {
			r.deployment.Users.Go(func() { r.cancel(j) })
		}
	}
}

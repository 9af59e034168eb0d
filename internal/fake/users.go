package fake

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The timeouts, intervals and limits of users, as the protocol defines them.
const (
	connectTimeout = 500 * time.Millisecond
	queryTimeout   = 2 * time.Second
	changeTimeout  = 5 * time.Second
	pollInterval   = 5 * time.Second
	retryDelay     = time.Second
	// maxAttempts is the limit on attempts of one request.
	maxAttempts = 60
)

// Users simulates users who submit, poll and cancel jobs. The checker records each request and each
// response.
type Users struct {
	t           testing.TB
	network     transport.Network
	controllers []string // public addresses
	checker     *Checker
	random      chan *rand.Rand // holds the generator while no goroutine uses it
	pending     sync.WaitGroup  // the users' goroutines
}

// NewUsers returns users of the controllers with the given public addresses. The seed determines
// their random choices.
func NewUsers(t testing.TB, network transport.Network, controllers []string, checker *Checker, seed uint64) *Users {
	u := &Users{t: t, network: network, controllers: controllers, checker: checker, random: make(chan *rand.Rand, 1)}
	u.random <- rand.New(rand.NewPCG(seed, 7))
	return u
}

// NewJob returns a job with tasks of one CPU each; modify, unless nil, changes it.
func NewJob(jobID string, tasks int, modify func(j *wire.Job)) *wire.Job {
	j := &wire.Job{
		ID: jobID, Class: "c", Team: "open", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: 1, MemGB: 1,
		Image: "i", ImageGB: 0.5, Spot: true, EstimatedRunS: 8,
	}
	if modify != nil {
		modify(j)
	}
	return j
}

// Random returns a random number in [0, 1).
func (u *Users) Random() float64 {
	random := <-u.random
	defer func() { u.random <- random }()
	return random.Float64()
}

// AnyController returns the index of a random controller, as a load balancer would choose it.
func (u *Users) AnyController() int { return int(u.Random() * float64(len(u.controllers))) }

// Go runs f in a goroutine that Wait waits for.
func (u *Users) Go(f func()) { u.pending.Go(f) }

// Wait waits until no user has a request in flight or polls a job.
func (u *Users) Wait() { u.pending.Wait() }

// Submit makes a user submit a job, query it at all controllers, and poll it until its status is
// terminal. It does not wait for the user.
func (u *Users) Submit(j *wire.Job) {
	u.checker.RecordSubmission(j, true)
	u.pending.Go(func() {
		if code, _ := u.RetryUntilFinal(RequestSubmit, j.ID, j); !isAccepted(code) {
			return // the user stops; if the job was accepted all the same, the checker tracks it
		}
		u.QueryEverywhere(j.ID, j)
		u.pollUntilTerminal(j)
	})
}

// SubmitAndAwait submits a job, waits for a final response and reports whether it was accepted.
func (u *Users) SubmitAndAwait(j *wire.Job) bool {
	u.checker.RecordSubmission(j, true)
	code, _ := u.RetryUntilFinal(RequestSubmit, j.ID, j)
	return isAccepted(code)
}

// Poll makes a user query a job until its status is terminal. It does not wait for the user.
func (u *Users) Poll(j *wire.Job) {
	u.pending.Go(func() { u.pollUntilTerminal(j) })
}

func (u *Users) pollUntilTerminal(j *wire.Job) {
	for u.t.Context().Err() == nil {
		time.Sleep(pollInterval)
		code, status := u.Call(u.AnyController(), RequestStatus, j.ID, nil)
		if code == http.StatusOK && (status == wire.JobDone || status == wire.JobCancelled) {
			u.QueryEverywhere(j.ID, j)
			return
		}
	}
}

// Cancel makes a user cancel a job, with retries until there is a final response, and then, if the
// response is 200, query the job at all controllers. It does not wait for the user.
func (u *Users) Cancel(j *wire.Job) {
	u.pending.Go(func() {
		if code, _ := u.RetryUntilFinal(RequestCancel, j.ID, nil); code == http.StatusOK {
			u.QueryEverywhere(j.ID, j)
		}
	})
}

// CancelAt sends one cancellation request to one controller and reports whether the cancellation
// was confirmed. If so, a user queries the job at all controllers.
func (u *Users) CancelAt(controller int, j *wire.Job) bool {
	code, status := u.Call(controller, RequestCancel, j.ID, nil)
	if code == http.StatusOK && status == wire.JobCancelled {
		u.QueryEverywhere(j.ID, j)
		return true
	}
	return false
}

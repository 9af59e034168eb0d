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

// The time limits of users, by the protocol.
const (
	connectTimeout = 500 * time.Millisecond
	queryTimeout   = 2 * time.Second
	changeTimeout  = 5 * time.Second
	pollInterval   = 5 * time.Second
	retryDelay     = time.Second
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 60
)

// Users submit jobs to controllers, poll and cancel them. The checker records every request and
// every response.
type Users struct {
	t           testing.TB
	network     transport.Network
	controllers []string // their public addresses
	checker     *Checker
	random      chan *rand.Rand // holds one
	pending     sync.WaitGroup
}

// NewUsers makes users of the controllers at some addresses, whose random choices follow from a
// seed.
func NewUsers(t testing.TB, n transport.Network, controllers []string, checker *Checker, seed uint64) *Users {
	u := &Users{t: t, network: n, controllers: controllers, checker: checker, random: make(chan *rand.Rand, 1)}
	u.random <- rand.New(rand.NewPCG(seed, 7))
	return u
}

// NewJob describes a job with tasks of one CPU each; change, unless nil, alters it.
func NewJob(jobID string, tasks int, change func(j *wire.Job)) *wire.Job {
	j := &wire.Job{
		ID: jobID, Class: "c", Team: "open", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: 1, MemGB: 1,
		Image: "i", ImageGB: 0.5, Spot: true, EstimatedRunS: 8,
	}
	if change != nil {
		change(j)
	}
	return j
}

// Random is a random number from 0 to 1.
func (u *Users) Random() float64 {
	r := <-u.random
	defer func() { u.random <- r }()
	return r.Float64()
}

// AnyController is the index of a random controller, as a load balancer would choose it.
func (u *Users) AnyController() int { return int(u.Random() * float64(len(u.controllers))) }

// Go runs f as a user, for whose end Wait waits.
func (u *Users) Go(f func()) { u.pending.Go(f) }

// Wait waits until no user has a request or a job in progress.
func (u *Users) Wait() { u.pending.Wait() }

// Submit has a user submit a job, query it at all controllers, and poll until it is over.
func (u *Users) Submit(j *wire.Job) {
	u.checker.RecordSubmission(j, true)
	u.pending.Go(func() {
		if code, _ := u.RetryUntilFinal(RequestSubmit, j.ID, j); !isAccepted(code) {
			return // the user gave up; the checker knows if it was accepted all the same
		}
		u.QueryEverywhere(j.ID, j)
		u.pollUntilTerminal(j)
	})
}

// SubmitAndAwait submits a job and reports whether it was accepted.
func (u *Users) SubmitAndAwait(j *wire.Job) bool {
	u.checker.RecordSubmission(j, true)
	code, _ := u.RetryUntilFinal(RequestSubmit, j.ID, j)
	return isAccepted(code)
}

// Poll has a user query a job until it is over.
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

// Cancel has a user cancel a job, repeating the request until it gets a final response, and then
// query it at all controllers.
func (u *Users) Cancel(j *wire.Job) {
	u.pending.Go(func() {
		if code, _ := u.RetryUntilFinal(RequestCancel, j.ID, nil); code == http.StatusOK {
			u.QueryEverywhere(j.ID, j)
		}
	})
}

// CancelAt requests the cancellation of a job once, at one controller, and reports whether it was
// confirmed.
func (u *Users) CancelAt(controller int, j *wire.Job) bool {
	code, status := u.Call(controller, RequestCancel, j.ID, nil)
	if code == http.StatusOK && status == wire.JobCancelled {
		u.QueryEverywhere(j.ID, j)
		return true
	}
	return false
}

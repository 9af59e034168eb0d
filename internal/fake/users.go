package fake

import (
	"encoding/json"
	"fmt"
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
	connectLimit = 500 * time.Millisecond
	queryLimit   = 2 * time.Second
	changeLimit  = 5 * time.Second
	pollEvery    = 5 * time.Second
	// maxAttempts bounds the repetitions of one request, one second apart.
	maxAttempts = 60
)

// Users submit jobs to controllers, poll and cancel them. The checker sees every
// request and every answer.
type Users struct {
	t       testing.TB
	network transport.Network
	nodes   []string // the controllers' public addresses
	check   *Checker
	random  chan *rand.Rand
	pending sync.WaitGroup
}

// NewUsers makes users of the controllers at the given addresses, whose random
// choices follow from a seed.
func NewUsers(t testing.TB, n transport.Network, nodes []string, check *Checker, seed uint64) *Users {
	u := &Users{t: t, network: n, nodes: nodes, check: check, random: make(chan *rand.Rand, 1)}
	u.random <- rand.New(rand.NewPCG(seed, 7))
	return u
}

// NewJob describes a job of n tasks of one CPU each; change, unless nil, alters it.
func NewJob(ref string, n int, change func(j *wire.Job)) *wire.Job {
	j := &wire.Job{ID: ref, Class: "c", Team: "open", Kind: "batch", Priority: "standard", Tasks: n, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 0.5, Spot: true, EstimatedRunS: 8}
	if change != nil {
		change(j)
	}
	return j
}

// Random is a number from 0 to 1.
func (u *Users) Random() float64 {
	r := <-u.random
	defer func() { u.random <- r }()
	return r.Float64()
}

// AnyNode is the index of some node, as a load balancer would choose one.
func (u *Users) AnyNode() int { return int(u.Random() * float64(len(u.nodes))) }

// Go has a user do something that Wait waits for.
func (u *Users) Go(f func()) { u.pending.Go(f) }

// Wait waits until no user has a request or a job under way.
func (u *Users) Wait() { u.pending.Wait() }

// Call sends one request to one node and has the checker look at the answer. The
// code is 0 when there was none.
func (u *Users) Call(node int, what Asked, ref string, body any) (code int, status string) {
	var payload []byte
	method, path, limit := http.MethodGet, "/v2/runs/"+ref, queryLimit
	switch what {
	case AskedSubmit:
		method, path, limit = http.MethodPost, "/v2/runs", changeLimit
		var err error
		if payload, err = json.Marshal(body); err != nil {
			u.t.Error(err)
		}
	case AskedCancel:
		method, path, limit = http.MethodPost, path+"/cancel", changeLimit
		payload = []byte("{}")
		u.check.Cancels(ref)
	}
	asked := time.Now()
	u.check.Asks(ref)
	code, text, err := u.send(node, asked.Add(limit), method, path, payload)
	if err != nil {
		return 0, ""
	}
	var a struct {
		Status string `json:"status"`
		Error  string `json:"error"`
	}
	if json.Unmarshal(text, &a) != nil || code/100 != 2 && a.Error == "" {
		u.t.Errorf("%s %s: %d %s: no reason in the body", method, path, code, text)
	}
	u.check.Answered(what, ref, asked, code, a.Status)
	return code, a.Status
}

// send carries out one request on a connection of its own.
func (u *Users) send(node int, end time.Time, method, path string, payload []byte) (code int, text []byte, err error) {
	line := transport.NewConn(u.network, u.nodes[node])
	defer line.Close()
	if err := line.Open(u.t.Context(), connectLimit); err != nil {
		return 0, nil, err
	}
	response, err := line.Do(end, transport.Request{Method: method, Path: path, Body: payload})
	return response.Status, response.Body, err
}

// Until repeats a request at any nodes, as users do, until it gets a final answer.
func (u *Users) Until(what Asked, ref string, body any) (code int, status string) {
	for range maxAttempts {
		code, status = u.Call(u.AnyNode(), what, ref, body)
		if code != 0 && code < 429 {
			return code, status
		}
		time.Sleep(time.Second)
	}
	return code, status
}

// Look asks about a job at all nodes at once and repeats its submission, three times
// within milliseconds.
func (u *Users) Look(ref string, body any) {
	for range 3 {
		for i := range u.nodes {
			u.pending.Go(func() { u.Call(i, AskedStatus, ref, nil) })
			u.pending.Go(func() { u.Call(i, AskedSubmit, ref, body) })
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Submit has a user submit a job, look at it from everywhere, and poll until it is
// over.
func (u *Users) Submit(j *wire.Job) {
	u.check.Submits(j, true)
	u.pending.Go(func() {
		code, _ := u.Until(AskedSubmit, j.ID, j)
		if code != 200 && code != 201 {
			return // the user gave up; that it counts, if accepted, the checker knows
		}
		u.Look(j.ID, j)
		u.pollUntilOver(j)
	})
}

// Accept has a user submit a job until it is accepted.
func (u *Users) Accept(j *wire.Job) bool {
	u.check.Submits(j, true)
	code, _ := u.Until(AskedSubmit, j.ID, j)
	return code == 200 || code == 201
}

// Poll has a user ask about a job until it is over.
func (u *Users) Poll(j *wire.Job) {
	u.pending.Go(func() { u.pollUntilOver(j) })
}

func (u *Users) pollUntilOver(j *wire.Job) {
	for u.t.Context().Err() == nil {
		time.Sleep(pollEvery)
		if code, status := u.Call(u.AnyNode(), AskedStatus, j.ID, nil); code == 200 && (status == wire.JobDone || status == wire.JobCancelled) {
			u.Look(j.ID, j)
			return
		}
	}
}

// Cancel has a user cancel a job until that is answered, and look at it from
// everywhere.
func (u *Users) Cancel(j *wire.Job) {
	u.pending.Go(func() {
		if code, _ := u.Until(AskedCancel, j.ID, nil); code == 200 {
			u.Look(j.ID, j)
		}
	})
}

// CancelAt is Cancel at one node, once; it tells whether that was confirmed.
func (u *Users) CancelAt(node int, j *wire.Job) bool {
	code, status := u.Call(node, AskedCancel, j.ID, nil)
	if code == 200 && status == wire.JobCancelled {
		u.Look(j.ID, j)
		return true
	}
	return false
}

// Pipelines has users submit pipelines one after the other until the result is
// called: a first stage, two that need it, and a last one, with the deadline and the
// priority, that needs both, and sometimes a job that is over long since. Of some, one
// stage is cancelled; of some, the last is submitted late.
func (u *Users) Pipelines() (stop func()) {
	ended := make(chan struct{})
	var earlier []string // last stages of earlier pipelines
	u.pending.Go(func() {
		for n := 0; ; n++ {
			if last := u.pipeline(n, earlier); last != "" {
				earlier = append(earlier, last)
			}
			select {
			case <-ended:
				return
			case <-time.After(time.Duration(u.Random() * float64(8*time.Second))):
			}
		}
	})
	return func() { close(ended) }
}

// pipeline submits one pipeline and returns its last stage, or "" if the user gave
// it up.
func (u *Users) pipeline(n int, earlier []string) (last string) {
	ref := func(stage int) string { return fmt.Sprintf("job-5%04d%d", n, stage) }
	due := 60.0
	needed := []string{ref(1), ref(2)}
	if len(earlier) > 0 && u.Random() < 0.3 {
		needed = append(needed, earlier[int(u.Random()*float64(len(earlier)))])
	}
	jobs := []*wire.Job{
		NewJob(ref(0), 2, func(j *wire.Job) { j.Priority = "idle" }),
		NewJob(ref(1), 3, func(j *wire.Job) { j.Priority, j.DependsOn = "idle", []string{ref(0)} }),
		NewJob(ref(2), 1, func(j *wire.Job) { j.Team, j.DependsOn = "tight", []string{ref(0), ref(0)} }),
		NewJob(ref(3), 2, func(j *wire.Job) { j.Priority, j.DependsOn, j.DeadlineS = "high", needed, &due }),
	}
	for i, j := range jobs {
		if i == 3 && u.Random() < 0.2 {
			time.Sleep(time.Duration(u.Random() * float64(30*time.Second)))
		}
		if !u.Accept(j) {
			return ""
		}
		u.Poll(j)
	}
	if u.Random() < 0.4 {
		at := jobs[int(u.Random()*float64(len(jobs)))]
		u.pending.Go(func() {
			time.Sleep(time.Duration(u.Random() * float64(30*time.Second)))
			u.Cancel(at)
		})
	}
	return ref(3)
}

// SendInvalid has users send what can't be taken and ask about what nobody submitted.
func (u *Users) SendInvalid() {
	u.pending.Go(func() {
		u.sendMalformed()
		u.sendUnfit()
		for i := range u.nodes {
			u.Call(i, AskedStatus, "job-920000", nil)
			u.Call(i, AskedCancel, "job-920000", nil)
		}
	})
}

func (u *Users) sendMalformed() {
	for n, body := range []string{`{"ref":"job-900001"}`, `[]`, `{`, `{"ref":"job-900002","lane":7}`} {
		code, text, err := u.send(n%len(u.nodes), time.Now().Add(changeLimit), http.MethodPost, "/v2/runs", []byte(body))
		if err == nil && code != 400 && code < 429 {
			u.t.Errorf("%s: %d %s", body, code, text)
		}
	}
}

func (u *Users) sendUnfit() {
	for n, change := range []func(j *wire.Job){
		func(j *wire.Job) { j.DependsOn = []string{"job-930000"} },
		func(j *wire.Job) { j.DependsOn = []string{j.ID} },
		func(j *wire.Job) { j.CPUs = 9 },
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.Types = []string{"other"} },
	} {
		j := NewJob(fmt.Sprintf("job-91000%d", n), 1, change)
		u.check.Submits(j, false)
		if code, _ := u.Call(u.AnyNode(), AskedSubmit, j.ID, j); code != 422 && code != 0 && code < 429 {
			u.t.Errorf("a job that can never run: %d", code)
		}
		u.Call(u.AnyNode(), AskedStatus, j.ID, nil)
	}
}

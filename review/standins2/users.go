package main

import (
	"encoding/json"
	"math/rand/v2"
	"time"
)

// submit submits a job until it gets an answer, for 60 s at most, and reports whether it was accepted.
func (w *world) submit(j *job) bool {
	w.checker.add(j)
	body, err := json.Marshal(j)
	if err != nil {
		fail("encode a job: %v", err)
	}
	for began := time.Now(); time.Since(began) < 60*time.Second && !w.over(); {
		status, state := w.ask(j.Ref, "submission", "POST", "/v2/runs", body, 5*time.Second, false)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
		_ = state
	}
	return false
}

// ask sends a user's request to a random node, as the load balancer does, and has the answer judged.
func (w *world) ask(ref, request, method, path string, body []byte, timeout time.Duration, known bool) (int, string) {
	node := w.nodes[rand.IntN(len(w.nodes))]
	status, text := call(method, node.public, path, body, timeout)
	var answer struct {
		Status string `json:"status"`
	}
	json.Unmarshal(text, &answer)
	w.record("%s of %s at %s: %d %s", request, ref, node.name, status, answer.Status)
	w.checker.answered(ref, request, status, answer.Status, known)
	return status, answer.Status
}

// poll asks once for a job's state.
func (w *world) poll(ref string, known bool) string {
	_, state := w.ask(ref, "poll", "GET", "/v2/runs/"+ref, nil, 2*time.Second, known)
	return state
}

// follow polls a job until it has ended, and a few times after that.
func (w *world) follow(ref string, every time.Duration) {
	for after := 0; after < 3 && !w.over(); {
		time.Sleep(every)
		w.poll(ref, true)
		if w.checker.finalOf(ref) != "" {
			after++
		}
	}
}

// cancel asks to cancel a job until it gets an answer.
func (w *world) cancel(ref string) {
	w.checker.mu.Lock()
	w.checker.jobs[ref].asked = true
	w.checker.mu.Unlock()
	for !w.over() {
		status, _ := w.ask(ref, "cancellation", "POST", "/v2/runs/"+ref+"/cancel", nil, 5*time.Second, true)
		if status == 200 {
			return
		}
		time.Sleep(time.Second)
	}
}

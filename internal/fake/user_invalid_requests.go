package fake

import (
	"fmt"
	"net/http"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// SendInvalidRequests makes users submit invalid jobs, and query and cancel a job that was never
// submitted. The test and the checker require that all of them are refused.
func (u *Users) SendInvalidRequests() {
	const unknownJob = "job-920000"
	u.pending.Go(func() {
		u.submitMalformedJobs()
		u.submitUnrunnableJobs()
		for i := range u.controllers {
			u.Call(i, RequestStatus, unknownJob, nil)
			u.Call(i, RequestCancel, unknownJob, nil)
		}
	})
}

// submitMalformedJobs submits bodies that do not encode a job and requires that they are refused.
func (u *Users) submitMalformedJobs() {
	for i, body := range []string{`{"ref":"job-900001"}`, `[]`, `{`, `{"ref":"job-900002","lane":7}`} {
		request := transport.Request{Method: http.MethodPost, Path: "/v2/runs", Body: []byte(body)}
		response, err := u.send(i%len(u.controllers), time.Now().Add(changeTimeout), request)
		if err == nil && response.Status != http.StatusBadRequest && response.Status < http.StatusTooManyRequests {
			u.t.Errorf("malformed job %s: response %d %s, want 400", body, response.Status, response.Body)
		}
	}
}

// submitUnrunnableJobs submits jobs that can never run and requires that they are refused.
func (u *Users) submitUnrunnableJobs() {
	for i, modify := range []func(j *wire.Job){
		func(j *wire.Job) { j.DependsOn = []string{"job-930000"} },
		func(j *wire.Job) { j.DependsOn = []string{j.ID} },
		func(j *wire.Job) { j.CPUs = 9 },
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.Types = []string{"other"} },
	} {
		j := NewJob(fmt.Sprintf("job-91000%d", i), 1, modify)
		u.checker.RecordSubmission(j, false)
		if code, _ := u.Call(u.AnyController(), RequestSubmit, j.ID, j); code != http.StatusUnprocessableEntity && isFinal(code) {
			u.t.Errorf("job that can never run: response %d, want 422", code)
		}
		u.Call(u.AnyController(), RequestStatus, j.ID, nil)
	}
}

package fake

import (
	"fmt"
	"net/http"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// SendInvalidRequests has users send jobs that can't be accepted and ask about one that was never
// submitted.
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

// submitMalformedJobs submits what is no job and expects it to be refused.
func (u *Users) submitMalformedJobs() {
	for n, body := range []string{`{"ref":"job-900001"}`, `[]`, `{`, `{"ref":"job-900002","lane":7}`} {
		request := transport.Request{Method: http.MethodPost, Path: "/v2/runs", Body: []byte(body)}
		response, err := u.send(n%len(u.controllers), time.Now().Add(changeTimeout), request)
		if err == nil && response.Status != http.StatusBadRequest && response.Status < http.StatusTooManyRequests {
			u.t.Errorf("%s: %d %s", body, response.Status, response.Body)
		}
	}
}

// submitUnrunnableJobs submits jobs that can never run and expects them to be refused.
func (u *Users) submitUnrunnableJobs() {
	for n, change := range []func(j *wire.Job){
		func(j *wire.Job) { j.DependsOn = []string{"job-930000"} },
		func(j *wire.Job) { j.DependsOn = []string{j.ID} },
		func(j *wire.Job) { j.CPUs = 9 },
		func(j *wire.Job) { j.Team = "nobody" },
		func(j *wire.Job) { j.Types = []string{"other"} },
	} {
		j := NewJob(fmt.Sprintf("job-91000%d", n), 1, change)
		u.checker.RecordSubmission(j, false)
		if code, _ := u.Call(u.AnyController(), RequestSubmit, j.ID, j); code != http.StatusUnprocessableEntity && isFinal(code) {
			u.t.Errorf("a job that can never run: %d", code)
		}
		u.Call(u.AnyController(), RequestStatus, j.ID, nil)
	}
}

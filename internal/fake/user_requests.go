package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"leadproxy/internal/transport"
)

// Call sends one request to one controller and records the request and the response with the
// checker. It returns the HTTP status code, or 0 if there was no response, and the job's status.
func (u *Users) Call(controller int, kind RequestKind, jobID string, body any) (code int, status string) {
	request := u.newUserRequest(kind, jobID, body)
	if kind == RequestCancel {
		u.checker.RecordCancellation(jobID)
	}
	sentAt := time.Now()
	u.checker.RecordRequest(jobID)
	response, err := u.send(controller, sentAt.Add(request.timeout), request.Request)
	if err != nil {
		return 0, ""
	}
	var jobResponse struct {
		Status string `json:"status"`
		Error  string `json:"error"`
	}
	if json.Unmarshal(response.Body, &jobResponse) != nil || response.Status/100 != 2 && jobResponse.Error == "" {
		u.t.Errorf("%s %s: response %d %s is not JSON or has no error text", request.Method, request.Path, response.Status, response.Body)
	}
	u.checker.RecordResponse(kind, jobID, sentAt, response.Status, jobResponse.Status)
	return response.Status, jobResponse.Status
}

// userRequest is a request of a user and the timeout for its response.
type userRequest struct {
	transport.Request
	timeout time.Duration
}

func (u *Users) newUserRequest(kind RequestKind, jobID string, body any) userRequest {
	const jobsPath = "/v2/runs"
	switch kind {
	case RequestSubmit:
		payload, err := json.Marshal(body)
		if err != nil {
			u.t.Error(err)
		}
		return userRequest{transport.Request{Method: http.MethodPost, Path: jobsPath, Body: payload}, changeTimeout}
	case RequestCancel:
		return userRequest{transport.Request{Method: http.MethodPost, Path: jobsPath + "/" + jobID + "/cancel", Body: []byte("{}")}, changeTimeout}
	}
	return userRequest{transport.Request{Method: http.MethodGet, Path: jobsPath + "/" + jobID}, queryTimeout}
}

// send sends one request to a controller on a new connection.
func (u *Users) send(controller int, deadline time.Time, request transport.Request) (transport.Response, error) {
	conn := transport.NewConn(u.network, u.controllers[controller])
	defer conn.Close()
	if err := conn.Open(u.t.Context(), connectTimeout); err != nil {
		return transport.Response{}, err
	}
	return conn.Do(deadline, request)
}

// RetryUntilFinal sends a request to random controllers, as users do, until it gets a final
// response or maxAttempts is reached. It returns the result of the last attempt.
func (u *Users) RetryUntilFinal(kind RequestKind, jobID string, body any) (code int, status string) {
	for range maxAttempts {
		code, status = u.Call(u.AnyController(), kind, jobID, body)
		if isFinal(code) {
			return code, status
		}
		time.Sleep(retryDelay)
	}
	return code, status
}

// QueryEverywhere sends a status request and a repeated submission of a job to all controllers
// concurrently, three times at intervals of 2 ms. It does not wait for the responses.
func (u *Users) QueryEverywhere(jobID string, body any) {
	for range 3 {
		for i := range u.controllers {
			u.pending.Go(func() { u.Call(i, RequestStatus, jobID, nil) })
			u.pending.Go(func() { u.Call(i, RequestSubmit, jobID, body) })
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// isFinal reports whether a status code ends the retries of a request: no response (0), 429 and
// higher codes are retried.
func isFinal(code int) bool { return code != 0 && code < http.StatusTooManyRequests }

package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"leadproxy/internal/transport"
)

// Call sends one request to one controller and records request and response with the checker. The
// code is 0 when there was no response.
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
	var answer struct {
		Status string `json:"status"`
		Error  string `json:"error"`
	}
	if json.Unmarshal(response.Body, &answer) != nil || response.Status/100 != 2 && answer.Error == "" {
		u.t.Errorf("%s %s: %d %s: no reason in the body", request.Method, request.Path, response.Status, response.Body)
	}
	u.checker.RecordResponse(kind, jobID, sentAt, response.Status, answer.Status)
	return response.Status, answer.Status
}

// userRequest is a request and how long a user waits for the response.
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

// send sends one request on a connection of its own.
func (u *Users) send(controller int, deadline time.Time, request transport.Request) (transport.Response, error) {
	conn := transport.NewConn(u.network, u.controllers[controller])
	defer conn.Close()
	if err := conn.Open(u.t.Context(), connectTimeout); err != nil {
		return transport.Response{}, err
	}
	return conn.Do(deadline, request)
}

// RetryUntilFinal repeats a request at random controllers, as users do, until it gets a final response.
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

// QueryEverywhere queries a job at all controllers at once and repeats its submission, three times within
// milliseconds.
func (u *Users) QueryEverywhere(jobID string, body any) {
	for range 3 {
		for i := range u.controllers {
			u.pending.Go(func() { u.Call(i, RequestStatus, jobID, nil) })
			u.pending.Go(func() { u.Call(i, RequestSubmit, jobID, body) })
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// isFinal reports whether a status code ends the repetition of a request.
func isFinal(code int) bool { return code != 0 && code < http.StatusTooManyRequests }

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

// The times of users, as the protocol defines them.
const (
	queryTimeout  = 2 * time.Second
	changeTimeout = 5 * time.Second
	retryDelay    = time.Second
	retryFor      = 60 * time.Second
	pollInterval  = 5 * time.Second
)

// ask sends one request of a user to one controller and returns the status code, 0 without an answer,
// and the state of the job in the answer.
func (w *world) ask(c *controller, method, path string, body any) (code int, state string) {
	timeout := changeTimeout
	if method == http.MethodGet {
		timeout = queryTimeout
	}
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err) // unreachable: jobs can be encoded
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+c.public+path, payload)
	if err != nil {
		panic(err) // unreachable: the address is valid
	}
	w.rec.add("sent    %s %s to %s", method, path, c.name)
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		w.rec.add("answer  %s %s from %s: none (%v)", method, path, c.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var status wire.JobStatus
	if json.Unmarshal(text, &status) != nil {
		status.Status = ""
	}
	w.rec.add("answer  %s %s from %s: %d %s", method, path, c.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, status.Status
}

// submit submits a job, with repetitions, until it is accepted or refused.
func (w *world) submit(job *wire.Job) (accepted bool) {
	w.jobs.upload(job)
	for i, began := 0, time.Now(); time.Since(began) < retryFor; i++ {
		code, _ := w.ask(w.controllers[i%len(w.controllers)], http.MethodPost, "/v2/runs", job)
		switch code {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(retryDelay)
	}
	return false
}

// query asks a controller for the state of a job.
func (w *world) query(i int, id string) (code int, state string) {
	return w.ask(w.controllers[i%len(w.controllers)], http.MethodGet, "/v2/runs/"+id, nil)
}

package jobapi

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnservedControllerForwardsAtOnce: behind a partition that drops what is sent to the
// key-value store, each submission took two seconds to find that out before another
// controller had it.
func TestUnservedControllerForwardsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := Response{Status: http.StatusCreated, Body: []byte(`{"ref":"job-1","status":"queued"}`)}
		body := []byte(`{"ref":"job-1","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":2,"vcpus":2,"gpus":0,"mem_gb":4,
			"bundle":"i","size_gb":1,"together":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_s":0,"flush_s":0}`)
		for _, k := range []Kind{Submit, Status} {
			for _, answers := range []bool{true, false} {
				peers := &fakePeers{}
				if answers {
					peers.response = &other
				}
				s := newTestService(t, &fakeStore{partitioned: true}, peers, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				began := time.Now()
				a := s.Handle(ctx, Request{Kind: k, JobID: "job-1", Body: body})
				cancel()
				if took := time.Since(began); answers && (a.Status != http.StatusCreated || took > 10*time.Millisecond) || !answers && a.Status != http.StatusServiceUnavailable {
					t.Errorf("kind %d, another controller answers: %v: %d after %v", k, answers, a.Status, took)
				}
			}
		}
	})
}

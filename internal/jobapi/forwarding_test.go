package jobapi

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestUnservedControllerForwardsAtOnce guards against delays behind a partition that drops packets
// to the key-value store: each submission took two seconds to detect it before it was forwarded to
// another controller.
func TestUnservedControllerForwardsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		otherResponse := Response{Status: http.StatusCreated, Body: []byte(`{"ref":"job-1","status":"queued"}`)}
		body := []byte(`{"ref":"job-1","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":2,"vcpus":2,"gpus":0,"mem_gb":4,
			"bundle":"i","size_gb":1,"together":false,"spread":false,"loaners":true,"guess_s":5,"snapshot_s":0,"flush_s":0}`)
		for _, kind := range []Kind{Submit, Status} {
			for _, otherResponds := range []bool{true, false} {
				peers := &fakePeers{}
				if otherResponds {
					peers.response = &otherResponse
				}
				service := newTestService(t, &fakeStore{partitioned: true}, peers, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				began := time.Now()
				response := service.Handle(ctx, Request{Kind: kind, JobID: "job-1", Body: body})
				cancel()
				if took := time.Since(began); otherResponds && (response.Status != http.StatusCreated || took > 10*time.Millisecond) || !otherResponds && response.Status != http.StatusServiceUnavailable {
					t.Errorf("kind %d, another controller responds: %v: status %d after %v, want its 201 within 10 ms, or 503 if it does not respond", kind, otherResponds, response.Status, took)
				}
			}
		}
	})
}

package jobapi

import (
	"context"
	"log/slog"

	"leadproxy/internal/metrics"
	"leadproxy/internal/wire"
)

// sourcedStatus is the status of a job and what it rests on.
type sourcedStatus struct {
	wire.JobStatus
	source metrics.Source
	term   uint64 // of the leader, with metrics.LeaderMemory
}

// requestKinds maps the kinds of requests to those of the metrics.
var requestKinds = map[Kind]metrics.Request{Submit: metrics.Submission, Status: metrics.StatusQuery, Cancel: metrics.Cancellation}

// recordAnswer counts an answer to a user, and logs what it rests on. notFromMemory is why the leader
// could not answer from memory; nil if it did, or was not asked.
func (s *Service) recordAnswer(request Request, answer sourcedStatus, notFromMemory error) {
	s.Metrics.CountAnswer(requestKinds[request.Kind], answer.source)
	if !s.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	s.Log.Debug(string(requestKinds[request.Kind])+" answered", "job", request.JobID, "status", answer.Status, "source", answer.source,
		"leader_term", answer.term, "not_from_memory", notFromMemory)
}

// recordNoAnswer counts a request about which nothing certain can be said.
func (s *Service) recordNoAnswer(request Request) {
	s.recordAnswer(request, sourcedStatus{source: metrics.NoSource}, nil)
}

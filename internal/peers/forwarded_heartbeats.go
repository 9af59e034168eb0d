package peers

import (
	"context"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// HeartbeatReceiver responds to workers' heartbeats that other controllers have forwarded here.
type HeartbeatReceiver interface {
	// ReceiveForwarded responds to a heartbeat through respond, at once or later, or never.
	// The response is made as it is written to the stream.
	ReceiveForwarded(ctx context.Context, body []byte, respond func(response func() jobapi.Response))
	// ForwarderConnected notes that a controller forwards heartbeats here until ctx, which is
	// its stream's, ends.
	ForwarderConnected(ctx context.Context, node string)
}

// pendingResponse is a response that is yet to be made.
type pendingResponse struct {
	id       uint64 // of the heartbeat on its stream
	response func() jobapi.Response
}

// Share serves another controller's stream.
func (s *server) Share(stream peerpb.Peer_ShareServer) error {
	responses := make(chan pendingResponse, maxInFlight)
	ended := make(chan error, 1)
	go func() { ended <- s.receiveHeartbeats(stream, responses) }()
	return sendResponses(stream, responses, ended)
}

// receiveHeartbeats has the heartbeats of a stream answered, until the stream ends.
func (s *server) receiveHeartbeats(stream peerpb.Peer_ShareServer, responses chan<- pendingResponse) error {
	ctx := stream.Context()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if batch.Node != "" {
			s.config.Heartbeats.ForwarderConnected(ctx, batch.Node)
		}
		for _, heartbeat := range batch.Reports {
			s.config.Heartbeats.ReceiveForwarded(ctx, heartbeat.Body, func(response func() jobapi.Response) {
				select {
				case responses <- pendingResponse{id: heartbeat.Id, response: response}:
				default: // more than a forwarder has in flight: it has abandoned these
				}
			})
		}
	}
}

// responseStream is the sending side of a stream of responses.
type responseStream interface {
	Send(*peerpb.AnswerBatch) error
}

// sendResponses sends responses in batches, until the stream ends.
func sendResponses(stream responseStream, responses <-chan pendingResponse, ended <-chan error) error {
	var sendAt time.Time // of the next batch
	for {
		var first pendingResponse
		select {
		case first = <-responses:
		case err := <-ended:
			return err
		}
		if wait := time.Until(sendAt); wait > 0 {
			select {
			case <-time.After(wait):
			case err := <-ended:
				return err
			}
		}
		batch, full := gatherResponses(first, responses)
		if err := stream.Send(batch); err != nil {
			return err
		}
		sendAt = time.Now()
		if !full {
			sendAt = sendAt.Add(minBatchInterval)
		}
	}
}

// gatherResponses makes a batch of a response and of those that wait already, and reports
// whether it is full.
func gatherResponses(next pendingResponse, responses <-chan pendingResponse) (batch *peerpb.AnswerBatch, full bool) {
	batch = &peerpb.AnswerBatch{}
	for size := 0; ; {
		response := next.response()
		batch.Answers = append(batch.Answers, &peerpb.SharedAnswer{Id: next.id, Status: int32(response.Status), Body: response.Body})
		if size += len(response.Body); size >= maxBatchBytes {
			return batch, true
		}
		select {
		case next = <-responses:
		default:
			return batch, false
		}
	}
}

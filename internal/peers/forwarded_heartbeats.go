package peers

import (
	"context"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// HeartbeatReceiver responds to agents' heartbeats that other controllers have forwarded to this one.
type HeartbeatReceiver interface {
	// ReceiveForwarded handles a heartbeat. It calls respond at once, later or never. The function
	// that it passes generates the response, and is called when the response is about to be sent.
	ReceiveForwarded(ctx context.Context, body []byte, respond func(response func() jobapi.Response))
	// ForwarderConnected is called when a controller has opened a stream to forward heartbeats to
	// this one. ctx ends with the stream.
	ForwarderConnected(ctx context.Context, controller string)
}

// pendingResponse is a response that has not been generated yet.
type pendingResponse struct {
	id       uint64 // number of the heartbeat on its stream
	response func() jobapi.Response
}

// Share serves the stream of a controller that forwards heartbeats to this one.
func (s *server) Share(stream peerpb.Peer_ShareServer) error {
	responses := make(chan pendingResponse, maxInFlight)
	ended := make(chan error, 1)
	go func() { ended <- s.receiveHeartbeats(stream, responses) }()
	return sendResponses(stream, responses, ended)
}

// receiveHeartbeats passes the heartbeats of a stream to the receiver until the stream ends.
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
				default: // the forwarder never has more in flight: it has abandoned some of these heartbeats
				}
			})
		}
	}
}

// responseStream is the sending side of a stream of responses.
type responseStream interface {
	Send(*peerpb.AnswerBatch) error
}

// sendResponses sends responses in batches until the stream ends.
func sendResponses(stream responseStream, responses <-chan pendingResponse, ended <-chan error) error {
	var sendAt time.Time // earliest time to send the next batch
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

// gatherResponses generates a batch of the next response and of those that are already pending, up to
// maxBatchBytes, and reports whether it is full.
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

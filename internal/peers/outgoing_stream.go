package peers

import (
	"context"

	"leadproxy/internal/peers/peerpb"
)

// heartbeatStream is a gRPC stream that carries heartbeats to another controller and responses back.
type heartbeatStream interface {
	Send(*peerpb.ReportBatch) error
	Recv() (*peerpb.AnswerBatch, error)
}

// openStream is a function that opens a stream, which lasts until ctx ends.
type openStream func(ctx context.Context) (heartbeatStream, error)

// outgoingStream is the stream of a forwarder. It may not be open yet.
type outgoingStream struct {
	number  int // distinguishes its events from those of earlier streams
	cancel  context.CancelFunc
	batches chan *peerpb.ReportBatch
}

// streamEvent is a batch of responses that a stream has received, or the error that ended it.
type streamEvent struct {
	stream    int
	responses *peerpb.AnswerBatch
	err       error
}

// run opens the stream, sends the batches, and sends the stream's events, until the stream or ctx
// ends.
func (s *outgoingStream) run(ctx context.Context, open openStream, events chan<- streamEvent) {
	stream, err := open(ctx)
	if err != nil {
		s.sendEvent(ctx, events, streamEvent{err: err})
		return
	}
	go s.receive(ctx, stream, events)
	for {
		select {
		case batch := <-s.batches:
			if stream.Send(batch) != nil {
				return // receive sends the error
			}
		case <-ctx.Done():
			return
		}
	}
}

// receive sends the responses of a stream, and the error that ends it, as events.
func (s *outgoingStream) receive(ctx context.Context, stream heartbeatStream, events chan<- streamEvent) {
	for {
		responses, err := stream.Recv()
		s.sendEvent(ctx, events, streamEvent{responses: responses, err: err})
		if err != nil {
			return
		}
	}
}

func (s *outgoingStream) sendEvent(ctx context.Context, events chan<- streamEvent, event streamEvent) {
	event.stream = s.number
	select {
	case events <- event:
	case <-ctx.Done():
	}
}

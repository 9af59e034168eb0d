package peers

import (
	"context"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// HeartbeatReceiver is who answers workers' reports that other nodes have forwarded here.
type HeartbeatReceiver interface {
	// Shared answers a report through give, at once or later, or never. The
	// answer is asked for as it is written.
	Shared(ctx context.Context, body []byte, give func(answer func() jobapi.Response))
	// Connected tells that a node forwards reports here, until its stream ends.
	Connected(ctx context.Context, node string)
}

type sharedAnswer struct {
	id     uint64
	answer func() jobapi.Response
}

// Share serves another node's stream.
func (s *server) Share(stream peerpb.Peer_ShareServer) error {
	answers := make(chan sharedAnswer, maxInFlight)
	ended := make(chan error, 1)
	go func() { ended <- s.receiveReports(stream, answers) }()
	return sendAnswers(stream, answers, ended)
}

// receiveReports has the reports of a stream answered, until the stream ends.
func (s *server) receiveReports(stream peerpb.Peer_ShareServer, answers chan<- sharedAnswer) error {
	ctx := stream.Context()
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if batch.Node != "" {
			s.reports.Connected(ctx, batch.Node)
		}
		for _, r := range batch.Reports {
			s.reports.Shared(ctx, r.Body, func(answer func() jobapi.Response) {
				select {
				case answers <- sharedAnswer{r.Id, answer}:
				default: // more than any node has in flight; it has given these up
				}
			})
		}
	}
}

// answerStream is the sending side of a stream of answers.
type answerStream interface {
	Send(*peerpb.AnswerBatch) error
}

// sendAnswers sends answers in batches, until the stream ends.
func sendAnswers(stream answerStream, answers <-chan sharedAnswer, ended <-chan error) error {
	var mayLeave time.Time // the next batch
	for {
		var first sharedAnswer
		select {
		case first = <-answers:
		case err := <-ended:
			return err
		}
		if wait := time.Until(mayLeave); wait > 0 {
			select {
			case <-time.After(wait):
			case err := <-ended:
				return err
			}
		}
		batch, full := gatherAnswers(first, answers)
		if err := stream.Send(batch); err != nil {
			return err
		}
		mayLeave = time.Now()
		if !full {
			mayLeave = mayLeave.Add(gather)
		}
	}
}

// gatherAnswers makes a batch of an answer and of those that wait already, and tells
// whether it is full.
func gatherAnswers(next sharedAnswer, answers <-chan sharedAnswer) (batch *peerpb.AnswerBatch, full bool) {
	batch = &peerpb.AnswerBatch{}
	for size := 0; ; {
		told := next.answer()
		batch.Answers = append(batch.Answers, &peerpb.SharedAnswer{Id: next.id, Status: int32(told.Status), Body: told.Body})
		if size += len(told.Body); size >= maxBatchBytes {
			return batch, true
		}
		select {
		case next = <-answers:
		default:
			return batch, false
		}
	}
}

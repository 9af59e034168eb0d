package peers

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// testStream is a heartbeat stream whose other end the test controls.
type testStream struct {
	ctx     context.Context
	sent    chan *peerpb.ReportBatch
	answers chan *peerpb.AnswerBatch
	broken  chan struct{}
}

func (s *testStream) Send(batch *peerpb.ReportBatch) error {
	select {
	case s.sent <- batch:
		return nil
	case <-s.broken:
		return errors.New("broken")
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *testStream) Recv() (*peerpb.AnswerBatch, error) {
	select {
	case batch := <-s.answers:
		return batch, nil
	case <-s.broken:
		return nil, errors.New("broken")
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// TestForwarder checks that each heartbeat in flight to a leader gets its own response, in any order,
// and that heartbeats on a stream that breaks, or to a leader that sends no response at all, are
// refused, so that their agents try another controller.
func TestForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stream *testStream
		opened := 0
		available := true
		forwarder := newForwarder("n0", func(ctx context.Context) (heartbeatStream, error) {
			if opened++; !available {
				return nil, errors.New("refused")
			}
			stream = &testStream{ctx, make(chan *peerpb.ReportBatch, 100), make(chan *peerpb.AnswerBatch), make(chan struct{})}
			return stream, nil
		})
		peers := &Peers{byName: map[string]peer{"n1": {forwarder: forwarder}}}
		go forwarder.run(t.Context())
		results := make(chan string, 100)
		forward := func(body string) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				response, err := peers.ForwardHeartbeat(ctx, "n1", []byte(body))
				switch {
				case errors.Is(err, ErrNoStream):
					results <- body + " refused"
				case err != nil:
					results <- body + " timed out"
				default:
					results <- fmt.Sprintf("%s %d", body, response.Status)
				}
			}()
			synctest.Wait()
		}
		expect := func(situation, want string) {
			t.Helper()
			synctest.Wait()
			var got []string
			for len(results) > 0 {
				got = append(got, <-results)
			}
			sort.Strings(got)
			if joined := strings.Join(got, ", "); joined != want {
				t.Errorf("%s: %q, want %q", situation, joined, want)
			}
		}
		sentIDs := func() (ids []uint64) {
			synctest.Wait()
			for len(stream.sent) > 0 {
				for _, heartbeat := range (<-stream.sent).Reports {
					ids = append(ids, heartbeat.Id)
				}
			}
			return ids
		}

		peers.Connect(t.Context(), "n1")
		synctest.Wait()
		if batch := <-stream.sent; batch.Node != "n0" || len(batch.Reports) != 0 {
			t.Errorf("the first batch is %v, want one with the controller's name only", batch)
		}
		time.Sleep(minBatchInterval)
		forward("a")
		sentAtOnce := len(stream.sent)
		forward("b")
		forward("c")
		time.Sleep(minBatchInterval)
		synctest.Wait()
		if batches := len(stream.sent); sentAtOnce != 1 || batches != 2 {
			t.Errorf("%d batches at once and %d in all, want 1 and 2", sentAtOnce, batches)
		}
		ids := sentIDs()
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[2], Status: 200}, {Id: ids[0], Status: 421}, {Id: 99, Status: 200}}}
		expect("responses out of order", "a 421, c 200")
		time.Sleep(3 * time.Second)
		expect("no response in time", "b timed out")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[1], Status: 200}}}
		expect("late response", "")

		forward("d")
		close(stream.broken)
		expect("the stream breaks", "d refused")
		available = false
		time.Sleep(reopenInterval)
		forward("e")
		expect("the stream can't be opened", "e refused")
		openedBefore := opened
		forward("f")
		expect("no attempt to open it within reopenInterval", "f refused")
		if opened != openedBefore {
			t.Error("an attempt to open the stream within reopenInterval")
		}
		available = true
		time.Sleep(reopenInterval)
		forward("g")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[0], Status: 200}}}
		expect("the stream is open again", "g 200")

		forward("h")
		time.Sleep(silenceLimit + time.Millisecond)
		forward("i")
		expect("the leader is silent", "i refused")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[0], Status: 200}}}
		expect("the leader responds", "h 200")
		forward("j")
		time.Sleep(10 * time.Second)
		expect("the leader is silent again", "j timed out")
		forward("k")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[1], Status: 200}}}
		expect("heartbeats are forwarded again after the silent ones were abandoned", "k 200")
	})
}

// blockedStream accepts no batch until open is closed, like a stream over a slow link.
type blockedStream struct {
	ctx     context.Context
	open    chan struct{}
	batches chan *peerpb.ReportBatch
	answers chan *peerpb.AnswerBatch
}

func (s *blockedStream) Send(batch *peerpb.ReportBatch) error {
	select {
	case <-s.open:
		s.batches <- batch
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *blockedStream) Recv() (*peerpb.AnswerBatch, error) {
	select {
	case batch := <-s.answers:
		return batch, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// TestForwarderTakesAWholeCluster checks that maxInFlight heartbeats, two from each of 4,000 agents,
// that wait for a slow stream are all answered and are forwarded in batches that gRPC accepts, and
// that one more heartbeat is refused at once.
func TestForwarderTakesAWholeCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &blockedStream{t.Context(), make(chan struct{}), make(chan *peerpb.ReportBatch, 1000), make(chan *peerpb.AnswerBatch)}
		forwarder := newForwarder("n0", func(context.Context) (heartbeatStream, error) { return stream, nil })
		go forwarder.run(t.Context())
		replies := make(chan forwardReply, maxInFlight+1)
		body := make([]byte, 2<<10)
		for range maxInFlight + 1 {
			forwarder.requests <- forwardRequest{body: body, reply: replies}
		}
		synctest.Wait()
		if len(replies) != 1 || !errors.Is((<-replies).err, ErrNoStream) {
			t.Errorf("%d refused, want the one beyond maxInFlight", len(replies)+1)
		}
		close(stream.open)
		time.Sleep(minBatchInterval)
		synctest.Wait()
		seen := map[uint64]bool{}
		for len(stream.batches) > 0 {
			size := 0
			answers := &peerpb.AnswerBatch{}
			for _, heartbeat := range (<-stream.batches).Reports {
				size += len(heartbeat.Body)
				seen[heartbeat.Id] = true
				answers.Answers = append(answers.Answers, &peerpb.SharedAnswer{Id: heartbeat.Id, Status: 200})
			}
			if size > maxBatchBytes+len(body) {
				t.Errorf("a batch of %d bytes, want at most maxBatchBytes and one heartbeat", size)
			}
			stream.answers <- answers
		}
		synctest.Wait()
		if len(seen) != maxInFlight || len(replies) != maxInFlight {
			t.Errorf("%d forwarded, %d answered, want %d", len(seen), len(replies), maxInFlight)
		}
	})
}

// TestResponseBatchesAreBounded checks that long responses to all agents of a cluster are sent in
// batches that gRPC accepts, each response once and in order.
func TestResponseBatchesAreBounded(t *testing.T) {
	const responses, bodyBytes = 8000, 20 << 10
	pending := make(chan pendingResponse, responses)
	for id := range uint64(responses) {
		pending <- pendingResponse{id, func() jobapi.Response { return jobapi.Response{Status: 200, Body: make([]byte, bodyBytes)} }}
	}
	nextID := uint64(0)
	for len(pending) > 0 {
		batch, full := gatherResponses(<-pending, pending)
		if size := len(batch.Answers) * bodyBytes; size > maxBatchBytes+bodyBytes || full != (size >= maxBatchBytes) {
			t.Fatalf("a batch of %d bytes, full: %v", size, full)
		}
		for _, answer := range batch.Answers {
			if answer.Id != nextID {
				t.Fatalf("answer %d, want %d", answer.Id, nextID)
			}
			nextID++
		}
	}
	if nextID != responses {
		t.Errorf("%d answers, want %d", nextID, responses)
	}
}

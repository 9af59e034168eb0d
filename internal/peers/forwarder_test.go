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

// testStream is a stream whose other end the test holds.
type testStream struct {
	ctx     context.Context
	sent    chan *peerpb.ReportBatch
	answers chan *peerpb.AnswerBatch
	broken  chan struct{}
}

func (s *testStream) Send(b *peerpb.ReportBatch) error {
	select {
	case s.sent <- b:
		return nil
	case <-s.broken:
		return errors.New("broken")
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *testStream) Recv() (*peerpb.AnswerBatch, error) {
	select {
	case a := <-s.answers:
		return a, nil
	case <-s.broken:
		return nil, errors.New("broken")
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// TestForwarder: heartbeats in flight to a leader get each its own response, in any order;
// those on a stream that breaks, or to a leader that sends no response at all, are refused
// so that their workers try another controller.
func TestForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stream *testStream
		opened := 0
		up := true
		forwarder := newForwarder("n0", func(ctx context.Context) (heartbeatStream, error) {
			if opened++; !up {
				return nil, errors.New("refused")
			}
			stream = &testStream{ctx, make(chan *peerpb.ReportBatch, 100), make(chan *peerpb.AnswerBatch), make(chan struct{})}
			return stream, nil
		})
		p := &Peers{byName: map[string]peer{"n1": {forwarder: forwarder}}}
		go forwarder.run(t.Context())
		results := make(chan string, 100)
		forward := func(body string) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				response, err := p.ForwardHeartbeat(ctx, "n1", []byte(body))
				switch {
				case errors.Is(err, ErrNoStream):
					results <- body + " refused"
				case err != nil:
					results <- body + " late"
				default:
					results <- fmt.Sprintf("%s %d", body, response.Status)
				}
			}()
			synctest.Wait()
		}
		expect := func(name, want string) {
			t.Helper()
			synctest.Wait()
			var got []string
			for len(results) > 0 {
				got = append(got, <-results)
			}
			sort.Strings(got)
			if s := strings.Join(got, ", "); s != want {
				t.Errorf("%s: %q, want %q", name, s, want)
			}
		}
		sentIDs := func() (ids []uint64) {
			synctest.Wait()
			for len(stream.sent) > 0 {
				for _, r := range (<-stream.sent).Reports {
					ids = append(ids, r.Id)
				}
			}
			return ids
		}

		p.Connect(t.Context(), "n1")
		synctest.Wait()
		if b := <-stream.sent; b.Node != "n0" || len(b.Reports) != 0 {
			t.Errorf("the first batch is %v", b)
		}
		time.Sleep(minBatchInterval)
		forward("a")
		first := len(stream.sent)
		forward("b")
		forward("c")
		time.Sleep(minBatchInterval)
		synctest.Wait()
		if batches := len(stream.sent); first != 1 || batches != 2 {
			t.Errorf("%d batch at once and %d in all: want 1 and 2", first, batches)
		}
		ids := sentIDs()
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[2], Status: 200}, {Id: ids[0], Status: 421}, {Id: 99, Status: 200}}}
		expect("responses out of order", "a 421, c 200")
		time.Sleep(3 * time.Second)
		expect("no response", "b late")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[1], Status: 200}}}
		expect("its response, too late", "")

		forward("d")
		close(stream.broken)
		expect("the stream breaks", "d refused")
		up = false
		time.Sleep(reopenInterval)
		forward("e")
		expect("it can't be opened", "e refused")
		tries := opened
		forward("f")
		expect("it is not tried again at once", "f refused")
		if opened != tries {
			t.Error("opened again at once")
		}
		up = true
		time.Sleep(reopenInterval)
		forward("g")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[0], Status: 200}}}
		expect("open again", "g 200")

		forward("h")
		time.Sleep(silenceLimit + time.Millisecond)
		forward("i")
		expect("the leader is silent", "i refused")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[0], Status: 200}}}
		expect("the leader responds", "h 200")
		forward("j")
		time.Sleep(10 * time.Second)
		expect("the leader is silent again", "j late")
		forward("k")
		stream.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: sentIDs()[1], Status: 200}}}
		expect("after a while it is tried again", "k 200")
	})
}

// blockedStream takes no batch until it is open, as behind a slow link.
type blockedStream struct {
	ctx     context.Context
	open    chan struct{}
	batches chan *peerpb.ReportBatch
	answers chan *peerpb.AnswerBatch
}

func (s *blockedStream) Send(b *peerpb.ReportBatch) error {
	select {
	case <-s.open:
		s.batches <- b
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *blockedStream) Recv() (*peerpb.AnswerBatch, error) {
	select {
	case a := <-s.answers:
		return a, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// TestForwarderTakesAWholeCluster: two heartbeats of each of 4,000 workers wait for a slow
// stream. All are forwarded in batches that gRPC accepts and answered; what comes
// beyond the bound is refused at once.
func TestForwarderTakesAWholeCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &blockedStream{t.Context(), make(chan struct{}), make(chan *peerpb.ReportBatch, 1000), make(chan *peerpb.AnswerBatch)}
		f := newForwarder("n0", func(context.Context) (heartbeatStream, error) { return stream, nil })
		go f.run(t.Context())
		replies := make(chan forwardReply, maxInFlight+1)
		body := make([]byte, 2<<10)
		for range maxInFlight + 1 {
			f.requests <- forwardRequest{body: body, reply: replies}
		}
		synctest.Wait()
		if len(replies) != 1 || !errors.Is((<-replies).err, ErrNoStream) {
			t.Errorf("%d refused, want the one beyond the bound", len(replies)+1)
		}
		close(stream.open)
		time.Sleep(minBatchInterval)
		synctest.Wait()
		seen := map[uint64]bool{}
		for len(stream.batches) > 0 {
			size := 0
			answers := &peerpb.AnswerBatch{}
			for _, r := range (<-stream.batches).Reports {
				size += len(r.Body)
				seen[r.Id] = true
				answers.Answers = append(answers.Answers, &peerpb.SharedAnswer{Id: r.Id, Status: 200})
			}
			if size > maxBatchBytes+len(body) {
				t.Errorf("a batch of %d bytes", size)
			}
			stream.answers <- answers
		}
		synctest.Wait()
		if len(seen) != maxInFlight || len(replies) != maxInFlight {
			t.Errorf("%d forwarded, %d answered, want %d", len(seen), len(replies), maxInFlight)
		}
	})
}

// TestResponseBatchesAreBounded: long responses to a whole cluster go in batches that gRPC
// accepts, each answer once and in order.
func TestResponseBatchesAreBounded(t *testing.T) {
	const workers, bytes = 8000, 20 << 10
	answers := make(chan pendingResponse, workers)
	for id := range uint64(workers) {
		answers <- pendingResponse{id, func() jobapi.Response { return jobapi.Response{Status: 200, Body: make([]byte, bytes)} }}
	}
	next := uint64(0)
	for len(answers) > 0 {
		batch, full := gatherResponses(<-answers, answers)
		if size := len(batch.Answers) * bytes; size > maxBatchBytes+bytes || full != (size >= maxBatchBytes) {
			t.Fatalf("a batch of %d bytes, full: %v", size, full)
		}
		for _, a := range batch.Answers {
			if a.Id != next {
				t.Fatalf("answer %d in place of %d", a.Id, next)
			}
			next++
		}
	}
	if next != workers {
		t.Errorf("%d answers, want %d", next, workers)
	}
}

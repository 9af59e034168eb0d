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

// testStream is a line whose other end the test holds.
type testStream struct {
	ctx     context.Context
	sent    chan *peerpb.ReportBatch
	answers chan *peerpb.AnswerBatch
	broken  chan struct{}
}

func (l *testStream) Send(b *peerpb.ReportBatch) error {
	select {
	case l.sent <- b:
		return nil
	case <-l.broken:
		return errors.New("broken")
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

func (l *testStream) Recv() (*peerpb.AnswerBatch, error) {
	select {
	case a := <-l.answers:
		return a, nil
	case <-l.broken:
		return nil, errors.New("broken")
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

// TestForwarder: reports on their way to a leader are answered each with its own
// answer, in any order; those of a line that breaks, or of a leader that says
// nothing at all, are given back so that their workers go on.
func TestForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l *testStream
		opened := 0
		up := true
		c := newForwarder("n0", func(ctx context.Context) (reportStream, error) {
			if opened++; !up {
				return nil, errors.New("refused")
			}
			l = &testStream{ctx, make(chan *peerpb.ReportBatch, 100), make(chan *peerpb.AnswerBatch), make(chan struct{})}
			return l, nil
		})
		p := &Peers{byName: map[string]peer{"n1": {forwarder: c}}}
		go c.run(t.Context())
		results := make(chan string, 100)
		carry := func(body string) {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				a, err := p.Report(ctx, "n1", []byte(body))
				switch {
				case errors.Is(err, ErrNoStream):
					results <- body + " given back"
				case err != nil:
					results <- body + " late"
				default:
					results <- fmt.Sprintf("%s %d", body, a.Status)
				}
			}()
			synctest.Wait()
		}
		check := func(what, want string) {
			t.Helper()
			synctest.Wait()
			var got []string
			for len(results) > 0 {
				got = append(got, <-results)
			}
			sort.Strings(got)
			if s := strings.Join(got, ", "); s != want {
				t.Errorf("%s: %q, want %q", what, s, want)
			}
		}
		got := func() (ids []uint64) {
			synctest.Wait()
			for len(l.sent) > 0 {
				for _, r := range (<-l.sent).Reports {
					ids = append(ids, r.Id)
				}
			}
			return ids
		}

		p.Connect(t.Context(), "n1")
		synctest.Wait()
		if b := <-l.sent; b.Node != "n0" || len(b.Reports) != 0 {
			t.Errorf("the greeting is %v", b)
		}
		time.Sleep(gather)
		carry("a")
		first := len(l.sent)
		carry("b")
		carry("c")
		time.Sleep(gather)
		synctest.Wait()
		if batches := len(l.sent); first != 1 || batches != 2 {
			t.Errorf("%d batch at once and %d in all: want 1 and 2", first, batches)
		}
		ids := got()
		l.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[2], Status: 200}, {Id: ids[0], Status: 421}, {Id: 99, Status: 200}}}
		check("answered out of order", "a 421, c 200")
		time.Sleep(3 * time.Second)
		check("one left without", "b late")
		l.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: ids[1], Status: 200}}}
		check("its answer, too late", "")

		carry("d")
		close(l.broken)
		check("the line breaks", "d given back")
		up = false
		time.Sleep(reopen)
		carry("e")
		check("it can't be opened", "e given back")
		tries := opened
		carry("f")
		check("nor is it tried at once again", "f given back")
		if opened != tries {
			t.Error("opened again at once")
		}
		up = true
		time.Sleep(reopen)
		carry("g")
		l.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: got()[0], Status: 200}}}
		check("open again", "g 200")

		carry("h")
		time.Sleep(answerLimit + time.Millisecond)
		carry("i")
		check("the leader says nothing", "i given back")
		l.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: got()[0], Status: 200}}}
		check("it speaks", "h 200")
		carry("j")
		time.Sleep(10 * time.Second)
		check("and falls silent", "j late")
		carry("k")
		l.answers <- &peerpb.AnswerBatch{Answers: []*peerpb.SharedAnswer{{Id: got()[1], Status: 200}}}
		check("after a while it is tried again", "k 200")
	})
}

// blockedStream takes no batch before it is let go, as behind a slow link.
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

// TestForwarderTakesAWholeFleet: two reports of each of 4,000 workers wait for a slow
// stream. All are forwarded in batches that gRPC accepts and answered; what comes
// beyond the bound is refused at once.
func TestForwarderTakesAWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := &blockedStream{t.Context(), make(chan struct{}), make(chan *peerpb.ReportBatch, 1000), make(chan *peerpb.AnswerBatch)}
		f := newForwarder("n0", func(context.Context) (reportStream, error) { return stream, nil })
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
		time.Sleep(gather)
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

// TestAnswerBatchesAreBounded: long answers to a whole fleet go in batches that gRPC
// accepts, each answer once and in order.
func TestAnswerBatchesAreBounded(t *testing.T) {
	const workers, bytes = 8000, 20 << 10
	answers := make(chan sharedAnswer, workers)
	for id := range uint64(workers) {
		answers <- sharedAnswer{id, func() jobapi.Response { return jobapi.Response{Status: 200, Body: make([]byte, bytes)} }}
	}
	next := uint64(0)
	for len(answers) > 0 {
		batch, full := gatherAnswers(<-answers, answers)
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

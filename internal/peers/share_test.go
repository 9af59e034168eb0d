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

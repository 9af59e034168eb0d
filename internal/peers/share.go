package peers

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/intake"
	"leadproxy/internal/peers/peerpb"
)

// Workers may report to any node. One that does not lead carries the reports to
// the leader and the answers back, many together on one stream: what a report
// costs the leader is then little more than its decision.

// The times and bounds of sharing.
const (
	// gather is the least time between two batches on a stream. Alone, a report
	// leaves at once; the more there are, the more travel together.
	gather = 50 * time.Millisecond
	// mute is how long a leader may answer nothing at all while reports wait.
	// Then those that come are refused at once, so that their workers go on.
	mute = 2 * time.Second
	// forgotten is when nobody waits for an answer any more.
	forgotten = 5 * time.Second
	reopen    = 300 * time.Millisecond
	// mostShared bounds the reports on their way on one stream.
	mostShared = 2048
)

// ErrNoLine: reports can't be carried to that node at the moment, or the line
// broke before the answer came.
var ErrNoLine = errors.New("no line to the other node")

// Report has the leader answer a worker's report.
func (p *Peers) Report(ctx context.Context, node string, body []byte) (intake.Answer, error) {
	o, err := p.find(node)
	if err != nil {
		return intake.Answer{}, err
	}
	e := errand{body: body, reply: make(chan reply, 1)}
	select {
	case o.courier.errands <- e:
	case <-ctx.Done():
		return intake.Answer{}, ctx.Err()
	}
	select {
	case r := <-e.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return intake.Answer{}, ctx.Err()
	}
}

// Greet opens the line to the leader before there is a report to carry, so that
// it can send workers here.
func (p *Peers) Greet(ctx context.Context, node string) {
	o, err := p.find(node)
	if err != nil {
		return // the state service names a leader that our settings don't
	}
	select {
	case o.courier.errands <- errand{}:
	case <-ctx.Done():
	}
}

// line is a stream to another node.
type line interface {
	Send(*peerpb.ReportBatch) error
	Recv() (*peerpb.AnswerBatch, error)
}

// errand is a report to be carried; without a reply, a greeting.
type errand struct {
	body  []byte
	reply chan reply // has room for one
	since time.Time
}

type reply struct {
	answer intake.Answer
	err    error
}

func (e errand) give(a intake.Answer, err error) {
	if e.reply != nil {
		e.reply <- reply{a, err}
	}
}

// courier owns the line to one node and what is on its way there.
type courier struct {
	node    string // this one
	open    func(ctx context.Context) (line, error)
	errands chan errand
	words   chan word
}

// word is what a line brings: answers, or its end.
type word struct {
	of      int // the line's number
	answers *peerpb.AnswerBatch
	err     error
}

func newCourier(node string, open func(ctx context.Context) (line, error)) *courier {
	return &courier{node: node, open: open, errands: make(chan errand), words: make(chan word)}
}

// run carries reports until ctx ends.
func (c *courier) run(ctx context.Context) {
	var (
		number   int // of the line that is open, 0: none
		lines    int // opened so far
		hangUp   context.CancelFunc
		sends    chan *peerpb.ReportBatch
		batch    *peerpb.ReportBatch
		waiting  = map[uint64]errand{}
		id       uint64
		leaveAt  time.Time // the next batch may leave
		retryAt  time.Time // the next line may be opened
		unheard  time.Time // since when reports wait and no answer at all has come
		leave    = time.NewTimer(time.Hour)
		tidy     = time.NewTicker(time.Second)
		shutLine = func() {
			hangUp()
			number, sends, batch, unheard = 0, nil, nil, time.Time{}
			for _, e := range waiting {
				e.give(intake.Answer{}, ErrNoLine)
			}
			clear(waiting)
		}
	)
	defer leave.Stop()
	defer tidy.Stop()
	begin := func(b *peerpb.ReportBatch) {
		batch = b
		leave.Reset(max(0, time.Until(leaveAt)))
	}
	for {
		var out chan *peerpb.ReportBatch
		if batch != nil && !time.Now().Before(leaveAt) {
			out = sends
		}
		select {
		case e := <-c.errands:
			now := time.Now()
			if number == 0 && now.Before(retryAt) || len(waiting) >= mostShared || !unheard.IsZero() && now.Sub(unheard) > mute {
				e.give(intake.Answer{}, ErrNoLine)
				break
			}
			if number == 0 {
				lines++
				number, sends, retryAt = lines, make(chan *peerpb.ReportBatch), now.Add(reopen)
				lctx, cancel := context.WithCancel(ctx)
				hangUp = cancel
				go c.serve(lctx, number, sends)
				begin(&peerpb.ReportBatch{Node: c.node})
			}
			if e.reply == nil {
				break
			}
			if batch == nil {
				begin(&peerpb.ReportBatch{})
			}
			id++
			e.since = now
			waiting[id] = e
			if unheard.IsZero() {
				unheard = now
			}
			batch.Reports = append(batch.Reports, &peerpb.SharedReport{Id: id, Body: e.body})
		case out <- batch:
			batch, leaveAt = nil, time.Now().Add(gather)
		case <-leave.C:
		case w := <-c.words:
			switch {
			case w.of != number:
			case w.err != nil:
				shutLine()
			default:
				for _, a := range w.answers.Answers {
					if e, ok := waiting[a.Id]; ok {
						delete(waiting, a.Id)
						e.give(intake.Answer{Status: int(a.Status), Body: a.Body}, nil)
					}
				}
				unheard = time.Time{}
				if len(waiting) > 0 {
					unheard = time.Now()
				}
			}
		case <-tidy.C:
			for id, e := range waiting {
				if time.Since(e.since) > forgotten {
					delete(waiting, id)
				}
			}
			if len(waiting) == 0 {
				unheard = time.Time{}
			}
		case <-ctx.Done():
			if number != 0 {
				shutLine()
			}
			return
		}
	}
}

// serve opens a line, sends the batches and brings what comes back, until the
// line ends or ctx does.
func (c *courier) serve(ctx context.Context, number int, batches <-chan *peerpb.ReportBatch) {
	tell := func(w word) {
		w.of = number
		select {
		case c.words <- w:
		case <-ctx.Done():
		}
	}
	l, err := c.open(ctx)
	if err != nil {
		tell(word{err: err})
		return
	}
	go func() {
		for {
			answers, err := l.Recv()
			tell(word{answers: answers, err: err})
			if err != nil {
				return
			}
		}
	}()
	for {
		select {
		case b := <-batches:
			if l.Send(b) != nil {
				return // Recv tells why
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reports is who answers workers' reports that other nodes have carried here.
type Reports interface {
	// Shared answers a report through give, at once or later, or never. The
	// answer is asked for as it is written.
	Shared(ctx context.Context, body []byte, give func(answer func() intake.Answer))
	// Partner tells that a node shares, until its line ends.
	Partner(ctx context.Context, node string)
}

type sharedAnswer struct {
	id     uint64
	answer func() intake.Answer
}

// Share serves another node's line.
func (s *server) Share(stream peerpb.Peer_ShareServer) error {
	ctx := stream.Context()
	answers := make(chan sharedAnswer, mostShared)
	ended := make(chan error, 1)
	go func() {
		for {
			batch, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			if batch.Node != "" {
				s.reports.Partner(ctx, batch.Node)
			}
			for _, r := range batch.Reports {
				s.reports.Shared(ctx, r.Body, func(answer func() intake.Answer) {
					select {
					case answers <- sharedAnswer{r.Id, answer}:
					default: // more than any node has on its way; it has given these up
					}
				})
			}
		}
	}()
	var sent time.Time
	for {
		var first sharedAnswer
		select {
		case first = <-answers:
		case err := <-ended:
			return err
		}
		if wait := gather - time.Since(sent); wait > 0 {
			select {
			case <-time.After(wait):
			case err := <-ended:
				return err
			}
		}
		batch := &peerpb.AnswerBatch{}
		for a, more := first, true; more; {
			told := a.answer()
			batch.Answers = append(batch.Answers, &peerpb.SharedAnswer{Id: a.id, Status: int32(told.Status), Body: told.Body})
			select {
			case a = <-answers:
			default:
				more = false
			}
		}
		if err := stream.Send(batch); err != nil {
			return err
		}
		sent = time.Now()
	}
}

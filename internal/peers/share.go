package peers

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/intake"
	"leadproxy/internal/peers/peerpb"
)

// Workers may report to any node. One that does not lead forwards the reports to
// the leader and brings the answers back, many together on one stream: what a report
// costs the leader is then little more than its decision.

// The times and bounds of forwarding.
const (
	// gather is the least time between two batches on a stream. Alone, a report
	// leaves at once; the more there are, the more travel together.
	gather = 50 * time.Millisecond
	// answerLimit is how long a leader may answer nothing at all while reports wait.
	// Then those that come are refused at once, so that their workers go on.
	answerLimit = 2 * time.Second
	// forgotten is when nobody waits for an answer any more.
	forgotten = 5 * time.Second
	reopen    = 300 * time.Millisecond
	// mostShared bounds the reports on their way on one stream.
	mostShared = 2048
)

// ErrNoStream means that reports can't be forwarded to that node at the moment, or that
// the stream broke before the answer came.
var ErrNoStream = errors.New("no stream to the other node")

// Report has the leader answer a worker's report.
func (p *Peers) Report(ctx context.Context, node string, body []byte) (intake.Answer, error) {
	o, err := p.find(node)
	if err != nil {
		return intake.Answer{}, err
	}
	request := forwardRequest{body: body, reply: make(chan forwardReply, 1)}
	select {
	case o.forwarder.requests <- request:
	case <-ctx.Done():
		return intake.Answer{}, ctx.Err()
	}
	select {
	case r := <-request.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return intake.Answer{}, ctx.Err()
	}
}

// Connect opens the stream to the leader before there is a report to forward, so that
// it can send workers here.
func (p *Peers) Connect(ctx context.Context, node string) {
	o, err := p.find(node)
	if err != nil {
		return // the state service names a leader that our settings don't
	}
	select {
	case o.forwarder.requests <- forwardRequest{}:
	case <-ctx.Done():
	}
}

// reportStream is a stream to another node.
type reportStream interface {
	Send(*peerpb.ReportBatch) error
	Recv() (*peerpb.AnswerBatch, error)
}

// forwardRequest is a report to be forwarded; without a reply, it only asks for the
// stream to be opened.
type forwardRequest struct {
	body  []byte
	reply chan forwardReply // has room for one
	since time.Time
}

type forwardReply struct {
	answer intake.Answer
	err    error
}

func (r forwardRequest) give(a intake.Answer, err error) {
	if r.reply != nil {
		r.reply <- forwardReply{a, err}
	}
}

// forwarder owns the stream to one node and the reports on their way there. All its
// fields but the channels belong to the goroutine that runs it.
type forwarder struct {
	node     string // this one
	open     func(ctx context.Context) (reportStream, error)
	requests chan forwardRequest
	events   chan streamEvent

	stream  int // the number of the stream that is open, 0: none
	opened  int // streams opened so far
	hangUp  context.CancelFunc
	sends   chan *peerpb.ReportBatch
	batch   *peerpb.ReportBatch // to be sent next; nil: nothing
	waiting map[uint64]forwardRequest
	lastID  uint64
	leave   *time.Timer
	leaveAt time.Time // the next batch may leave
	retryAt time.Time // the next stream may be opened
	unheard time.Time // since when reports wait and no answer at all has come
}

// streamEvent is what a stream brings: answers, or its end.
type streamEvent struct {
	of      int // the stream's number
	answers *peerpb.AnswerBatch
	err     error
}

func newForwarder(node string, open func(ctx context.Context) (reportStream, error)) *forwarder {
	return &forwarder{node: node, open: open, requests: make(chan forwardRequest), events: make(chan streamEvent), waiting: map[uint64]forwardRequest{}}
}

// run forwards reports until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	f.leave = time.NewTimer(time.Hour)
	defer f.leave.Stop()
	tidy := time.NewTicker(time.Second)
	defer tidy.Stop()
	for {
		var out chan *peerpb.ReportBatch
		if f.batch != nil && !time.Now().Before(f.leaveAt) {
			out = f.sends
		}
		select {
		case r := <-f.requests:
			f.take(ctx, r)
		case out <- f.batch:
			f.batch, f.leaveAt = nil, time.Now().Add(gather)
		case <-f.leave.C:
		case e := <-f.events:
			f.handle(e)
		case <-tidy.C:
			f.forgetOld()
		case <-ctx.Done():
			if f.stream != 0 {
				f.closeStream()
			}
			return
		}
	}
}

// take adds a report to the next batch, on a stream that is opened if there is none.
// A report that can't be forwarded at the moment is refused at once.
func (f *forwarder) take(ctx context.Context, r forwardRequest) {
	now := time.Now()
	if f.stream == 0 && now.Before(f.retryAt) || len(f.waiting) >= mostShared || !f.unheard.IsZero() && now.Sub(f.unheard) > answerLimit {
		r.give(intake.Answer{}, ErrNoStream)
		return
	}
	if f.stream == 0 {
		f.openStream(ctx, now)
	}
	if r.reply == nil {
		return
	}
	if f.batch == nil {
		f.begin(&peerpb.ReportBatch{})
	}
	f.lastID++
	r.since = now
	f.waiting[f.lastID] = r
	if f.unheard.IsZero() {
		f.unheard = now
	}
	f.batch.Reports = append(f.batch.Reports, &peerpb.SharedReport{Id: f.lastID, Body: r.body})
}

// begin has a batch leave as soon as it may.
func (f *forwarder) begin(b *peerpb.ReportBatch) {
	f.batch = b
	f.leave.Reset(max(0, time.Until(f.leaveAt)))
}

func (f *forwarder) openStream(ctx context.Context, now time.Time) {
	f.opened++
	f.stream, f.sends, f.retryAt = f.opened, make(chan *peerpb.ReportBatch), now.Add(reopen)
	ctx, f.hangUp = context.WithCancel(ctx)
	go f.serve(ctx, f.stream, f.sends)
	f.begin(&peerpb.ReportBatch{Node: f.node})
}

// closeStream ends the stream. Nobody knows what became of the reports on their way.
func (f *forwarder) closeStream() {
	f.hangUp()
	f.stream, f.sends, f.batch, f.unheard = 0, nil, nil, time.Time{}
	for _, r := range f.waiting {
		r.give(intake.Answer{}, ErrNoStream)
	}
	clear(f.waiting)
}

// handle takes what a stream has brought.
func (f *forwarder) handle(e streamEvent) {
	switch {
	case e.of != f.stream:
	case e.err != nil:
		f.closeStream()
	default:
		for _, a := range e.answers.Answers {
			if r, ok := f.waiting[a.Id]; ok {
				delete(f.waiting, a.Id)
				r.give(intake.Answer{Status: int(a.Status), Body: a.Body}, nil)
			}
		}
		f.unheard = time.Time{}
		if len(f.waiting) > 0 {
			f.unheard = time.Now()
		}
	}
}

// forgetOld drops reports for whose answers nobody waits any more.
func (f *forwarder) forgetOld() {
	for id, r := range f.waiting {
		if time.Since(r.since) > forgotten {
			delete(f.waiting, id)
		}
	}
	if len(f.waiting) == 0 {
		f.unheard = time.Time{}
	}
}

// serve opens a stream, sends the batches and brings what comes back, until the
// stream ends or ctx does.
func (f *forwarder) serve(ctx context.Context, number int, batches <-chan *peerpb.ReportBatch) {
	tell := func(e streamEvent) {
		e.of = number
		select {
		case f.events <- e:
		case <-ctx.Done():
		}
	}
	s, err := f.open(ctx)
	if err != nil {
		tell(streamEvent{err: err})
		return
	}
	go func() {
		for {
			answers, err := s.Recv()
			tell(streamEvent{answers: answers, err: err})
			if err != nil {
				return
			}
		}
	}()
	for {
		select {
		case b := <-batches:
			if s.Send(b) != nil {
				return // Recv tells why
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reports is who answers workers' reports that other nodes have forwarded here.
type Reports interface {
	// Shared answers a report through give, at once or later, or never. The
	// answer is asked for as it is written.
	Shared(ctx context.Context, body []byte, give func(answer func() intake.Answer))
	// Connected tells that a node forwards reports here, until its stream ends.
	Connected(ctx context.Context, node string)
}

type sharedAnswer struct {
	id     uint64
	answer func() intake.Answer
}

// Share serves another node's stream.
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
				s.reports.Connected(ctx, batch.Node)
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

package peers

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/jobapi"
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
	// maxInFlight bounds the reports in flight on one stream: two from each of 4,000
	// workers, since one that the worker has given up counts until it is forgotten.
	// The receiver has room for as many answers, 16 bytes each: 128 KiB a stream.
	maxInFlight = 8192
	// maxBatchBytes is from where on a batch takes no more. With one more message of
	// 64 KiB it stays below what gRPC accepts, 4 MiB: reports that waited for a slow
	// stream would otherwise break it, all of them together.
	maxBatchBytes = 1 << 20
)

// ErrNoStream means that reports can't be forwarded to that node at the moment, or that
// the stream broke before the answer came.
var ErrNoStream = errors.New("no stream to the other node")

// Report has the leader answer a worker's report.
func (p *Peers) Report(ctx context.Context, node string, body []byte) (jobapi.Response, error) {
	o, err := p.find(node)
	if err != nil {
		return jobapi.Response{}, err
	}
	request := forwardRequest{body: body, reply: make(chan forwardReply, 1)}
	select {
	case o.forwarder.requests <- request:
	case <-ctx.Done():
		return jobapi.Response{}, ctx.Err()
	}
	select {
	case r := <-request.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return jobapi.Response{}, ctx.Err()
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
	answer jobapi.Response
	err    error
}

func (r forwardRequest) give(a jobapi.Response, err error) {
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
	batches []*peerpb.ReportBatch // to be sent, in this order
	size    int                   // bytes of reports in the last of them
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
		var next *peerpb.ReportBatch
		if len(f.batches) > 0 && !time.Now().Before(f.leaveAt) {
			out, next = f.sends, f.batches[0]
		}
		select {
		case r := <-f.requests:
			f.take(ctx, r)
		case out <- next:
			f.batchLeft()
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
	if f.stream == 0 && now.Before(f.retryAt) || len(f.waiting) >= maxInFlight || !f.unheard.IsZero() && now.Sub(f.unheard) > answerLimit {
		r.give(jobapi.Response{}, ErrNoStream)
		return
	}
	if f.stream == 0 {
		f.openStream(ctx, now)
	}
	if r.reply == nil {
		return
	}
	f.lastID++
	f.addToBatch(&peerpb.SharedReport{Id: f.lastID, Body: r.body})
	r.since, r.body = now, nil
	f.waiting[f.lastID] = r
	if f.unheard.IsZero() {
		f.unheard = now
	}
}

// addToBatch adds a report to the last batch, or begins another one if that is full.
func (f *forwarder) addToBatch(report *peerpb.SharedReport) {
	if len(f.batches) == 0 || f.size >= maxBatchBytes {
		f.begin(&peerpb.ReportBatch{})
	}
	last := f.batches[len(f.batches)-1]
	last.Reports = append(last.Reports, report)
	f.size += len(report.Body)
}

// begin adds a batch, which leaves as soon as it may.
func (f *forwarder) begin(b *peerpb.ReportBatch) {
	f.batches, f.size = append(f.batches, b), 0
	f.leave.Reset(max(0, time.Until(f.leaveAt)))
}

// batchLeft drops the batch that was sent. Only the last one has reports to wait for.
func (f *forwarder) batchLeft() {
	f.batches[0] = nil
	f.batches = f.batches[1:]
	if len(f.batches) == 0 {
		f.batches, f.leaveAt = nil, time.Now().Add(gather)
	}
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
	f.stream, f.sends, f.batches, f.unheard = 0, nil, nil, time.Time{}
	for _, r := range f.waiting {
		r.give(jobapi.Response{}, ErrNoStream)
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
				r.give(jobapi.Response{Status: int(a.Status), Body: a.Body}, nil)
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

package softstate

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/softstate/hintpb"
)

// The times of a stream, on the follower's side.
const (
	// reopenEvery is how long a stream rests that has ended.
	reopenEvery = time.Second
	// lookEvery is how often a follower looks who leads.
	lookEvery = 500 * time.Millisecond
)

// Status is how a follower stands. It is never changed once published.
type Status struct {
	Term      uint64 // of the hints; 0: there are none
	Machines  int
	LastBatch time.Time // when the last batch came
}

// Follower keeps the hints of whoever leads. Its inbox belongs to the goroutine that runs
// it.
type Follower struct {
	node string
	// leader names the controller that leads; "": none, or unknown.
	leader func() string
	// connect returns a connection to a controller.
	connect func(node string) (grpc.ClientConnInterface, error)
	log     *slog.Logger
	inbox   *Replica
	views   chan viewRequest
	status  atomic.Pointer[Status]
}

type viewRequest struct {
	term  uint64
	reply chan View // has room for one
}

// NewFollower makes a follower for the node of a name; Run starts it.
func NewFollower(node string, leader func() string, connect func(node string) (grpc.ClientConnInterface, error), log *slog.Logger) *Follower {
	f := &Follower{node: node, leader: leader, connect: connect, log: log, inbox: NewReplica(), views: make(chan viewRequest)}
	f.status.Store(&Status{})
	return f
}

// Status tells how the follower stands.
func (f *Follower) Status() Status { return *f.status.Load() }

// View returns the hints for a term that begins here.
func (f *Follower) View(ctx context.Context, term uint64) View {
	request := viewRequest{term, make(chan View, 1)}
	select {
	case f.views <- request:
		return <-request.reply
	case <-ctx.Done():
		return View{}
	}
}

// received is what a stream brings: a batch, or its end.
type received struct {
	batch *hintpb.Batch
	err   error
}

// Run follows whoever leads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	var s stream
	defer func() { s.end() }()
	for {
		select {
		case r := <-f.views:
			r.reply <- f.inbox.View(r.term, time.Now())
		case r := <-s.batches:
			if err := f.take(&s, r); err != nil {
				f.log.Debug("hints are not followed", "leader", s.leader, "error", err)
				s.end()
				s.rest = time.Now().Add(reopenEvery)
			}
		case <-look.C:
			if leader := f.leader(); leader != s.leader || s.batches == nil && time.Now().After(s.rest) {
				s.end()
				s = f.open(ctx, leader)
			}
		case <-ctx.Done():
			return
		}
	}
}

// stream is one stream to a leader; without batches there is none.
type stream struct {
	leader  string
	batches chan received
	acks    chan uint64 // has room for one: the next batch comes only after it
	cancel  context.CancelFunc
	rest    time.Time // no other one is opened before
}

func (s *stream) end() {
	if s.cancel != nil {
		s.cancel()
	}
	s.cancel, s.batches = nil, nil
}

// open opens a stream to a leader other than this node.
func (f *Follower) open(ctx context.Context, leader string) stream {
	s := stream{leader: leader, rest: time.Now().Add(reopenEvery)}
	if leader == "" || leader == f.node {
		return s
	}
	conn, err := f.connect(leader)
	if err != nil {
		return s
	}
	f.inbox.Begin()
	ctx, s.cancel = context.WithCancel(ctx)
	s.batches, s.acks = make(chan received), make(chan uint64, 1)
	go receive(ctx, hintpb.NewHintsClient(conn), f.node, s.batches, s.acks)
	return s
}

// receive serves a stream: each batch is handed on, and acknowledged once it was taken.
func receive(ctx context.Context, client hintpb.HintsClient, node string, out chan<- received, acks <-chan uint64) {
	call, err := client.Follow(ctx)
	if err == nil {
		err = call.Send(&hintpb.Acknowledgement{Node: node})
	}
	for {
		var batch *hintpb.Batch
		if err == nil {
			batch, err = call.Recv()
		}
		select {
		case out <- received{batch, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
		select {
		case sequence := <-acks:
			err = call.Send(&hintpb.Acknowledgement{Node: node, Sequence: sequence})
		case <-ctx.Done():
			return
		}
	}
}

// take applies a batch and has it acknowledged.
func (f *Follower) take(s *stream, r received) error {
	if r.err != nil {
		return r.err
	}
	now := time.Now()
	if err := f.inbox.Apply(decode(r.batch), now); err != nil {
		return err
	}
	f.status.Store(&Status{Term: f.inbox.Term(), Machines: f.inbox.Size(), LastBatch: now})
	s.acks <- r.batch.GetSequence()
	return nil
}

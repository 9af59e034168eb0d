package softstate

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/softstate/hintpb"
)

// The intervals of the follower.
const (
	// reconnectDelay is the minimum time before another stream from the same leader is opened, after
	// the beginning of an attempt or the end of a stream.
	reconnectDelay = time.Second
	// leaderCheckInterval is how often the follower checks who the leader is.
	leaderCheckInterval = 500 * time.Millisecond
)

// Status is a follower's state at one moment. It is immutable once published.
type Status struct {
	Term      uint64 // of the soft state; 0: there is none
	Machines  int
	LastBatch time.Time // when the last batch arrived
}

// Follower replicates the soft state of the present leader. The replica belongs to the goroutine of
// Run.
type Follower struct {
	controller string
	// leader returns the name of the leader; "": none, or unknown.
	leader func() string
	// connect returns a connection to a controller.
	connect func(controller string) (grpc.ClientConnInterface, error)
	log     *slog.Logger
	replica *Replica
	views   chan viewRequest
	status  atomic.Pointer[Status]
}

type viewRequest struct {
	term  uint64
	reply chan View // buffers one view
}

// NewFollower returns a follower for the controller of a name. Run starts it.
func NewFollower(controller string, leader func() string, connect func(controller string) (grpc.ClientConnInterface, error), log *slog.Logger) *Follower {
	f := &Follower{controller: controller, leader: leader, connect: connect, log: log, replica: NewReplica(), views: make(chan viewRequest)}
	f.status.Store(&Status{})
	return f
}

// Status returns the follower's present state.
func (f *Follower) Status() Status { return *f.status.Load() }

// View returns the soft state for a term that begins on this controller, or an empty View if ctx ends
// first.
func (f *Follower) View(ctx context.Context, term uint64) View {
	request := viewRequest{term, make(chan View, 1)}
	select {
	case f.views <- request:
		return <-request.reply
	case <-ctx.Done():
		return View{}
	}
}

// streamEvent is a batch that a stream has received, or the error that ended it.
type streamEvent struct {
	batch *hintpb.Batch
	err   error
}

// Run follows the present leader until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	leaderCheck := time.NewTicker(leaderCheckInterval)
	defer leaderCheck.Stop()
	var s stream
	defer func() { s.close() }()
	for {
		select {
		case request := <-f.views:
			request.reply <- f.replica.View(request.term, time.Now())
		case event := <-s.batches:
			if err := f.applyBatch(&s, event); err != nil {
				f.log.Debug("soft-state stream ended", "leader", s.leader, "error", err)
				s.close()
				s.retryAt = time.Now().Add(reconnectDelay)
			}
		case <-leaderCheck.C:
			if leader := f.leader(); leader != s.leader || s.batches == nil && time.Now().After(s.retryAt) {
				s.close()
				s = f.open(ctx, leader)
			}
		case <-ctx.Done():
			return
		}
	}
}

// stream is the stream from one leader; with nil batches there is none.
type stream struct {
	leader           string
	batches          chan streamEvent
	acknowledgements chan uint64 // buffers one: the leader sends the next batch only after it
	cancel           context.CancelFunc
	retryAt          time.Time // earliest time to open the next stream
}

// close ends the stream, if there is one.
func (s *stream) close() {
	if s.cancel != nil {
		s.cancel()
	}
	s.cancel, s.batches = nil, nil
}

// open opens a stream from a leader. There is none if this controller leads, or no leader is known.
func (f *Follower) open(ctx context.Context, leader string) stream {
	s := stream{leader: leader, retryAt: time.Now().Add(reconnectDelay)}
	if leader == "" || leader == f.controller {
		return s
	}
	conn, err := f.connect(leader)
	if err != nil {
		return s
	}
	f.replica.BeginStream()
	ctx, s.cancel = context.WithCancel(ctx)
	s.batches, s.acknowledgements = make(chan streamEvent), make(chan uint64, 1)
	go receiveBatches(ctx, hintpb.NewHintsClient(conn), f.controller, s.batches, s.acknowledgements)
	return s
}

// receiveBatches sends each batch of a stream to events, and acknowledges it once it receives its
// sequence number from acks. The last event is the error that ended the stream.
func receiveBatches(ctx context.Context, client hintpb.HintsClient, controller string, events chan<- streamEvent, acks <-chan uint64) {
	call, err := client.Follow(ctx)
	if err == nil {
		err = call.Send(&hintpb.Acknowledgement{Node: controller})
	}
	for {
		var batch *hintpb.Batch
		if err == nil {
			batch, err = call.Recv()
		}
		select {
		case events <- streamEvent{batch, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
		select {
		case sequence := <-acks:
			err = call.Send(&hintpb.Acknowledgement{Node: controller, Sequence: sequence})
		case <-ctx.Done():
			return
		}
	}
}

// applyBatch applies a received batch and requests its acknowledgement. An error means that the
// stream must be closed.
func (f *Follower) applyBatch(s *stream, event streamEvent) error {
	if event.err != nil {
		return event.err
	}
	now := time.Now()
	if err := f.replica.Apply(decode(event.batch), now); err != nil {
		return err
	}
	f.status.Store(&Status{Term: f.replica.Term(), Machines: f.replica.MachineCount(), LastBatch: now})
	s.acknowledgements <- event.batch.GetSequence()
	return nil
}

package softstate

import (
	"context"
	"log/slog"
	"reflect"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/softstate/hintpb"
	"leadproxy/internal/transport"
)

// The times of a stream, on the leader's side.
const (
	// tellEvery is how often a leader looks for what has changed.
	tellEvery = 500 * time.Millisecond
	// askLimit bounds how long the core may take to tell.
	askLimit = 2 * time.Second
	// ackLimit is how long a follower may take to acknowledge a batch. Then its stream ends,
	// so that what a frozen follower costs is one batch, and not for ever.
	ackLimit = 10 * time.Second
)

// Source is the leader's memory.
type Source interface {
	// SoftState tells what has changed since an earlier answer; an error means that this
	// controller does not lead.
	SoftState(ctx context.Context, since uint64) (Changes, error)
}

// Server tells the other controllers the hints of this one while it leads.
type Server struct {
	hintpb.UnimplementedHintsServer
	source Source
	others []string // the other controllers
	log    *slog.Logger
}

// NewServer makes a server that tells the hints of a source to the controllers of some
// names.
func NewServer(source Source, others []string, log *slog.Logger) *Server {
	return &Server{source: source, others: others, log: log}
}

// Follow serves a stream until the term is over or the follower is gone.
func (s *Server) Follow(stream hintpb.Hints_FollowServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !slices.Contains(s.others, first.GetNode()) {
		s.log.Warn("hints refused: not one of the controllers", "node", first.GetNode())
		return status.Errorf(codes.PermissionDenied, "%q is not one of the controllers", first.GetNode())
	}
	if first.GetSequence() != 0 {
		return status.Error(codes.InvalidArgument, "a stream begins with sequence 0")
	}
	f := &following{server: s, stream: stream, acknowledged: make(chan uint64)}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go f.receive(ctx, cancel)
	return f.run(ctx)
}

// following is one stream.
type following struct {
	server       *Server
	stream       hintpb.Hints_FollowServer
	acknowledged chan uint64
	term         uint64
	sequence     uint64
	since        uint64
	learned      Estimates // as last told
}

// receive hands on what is acknowledged until the follower is gone.
func (f *following) receive(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		ack, err := f.stream.Recv()
		if err != nil {
			return
		}
		select {
		case f.acknowledged <- ack.GetSequence():
		case <-ctx.Done():
			return
		}
	}
}

// run sends what changes, one batch at a time.
func (f *following) run(ctx context.Context) error {
	for {
		more, err := f.tell(ctx)
		if err != nil {
			return err
		}
		if !more {
			transport.Pause(ctx, tellEvery)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// tell sends what has changed, if anything, and waits until the follower has it.
func (f *following) tell(ctx context.Context) (more bool, err error) {
	asking, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	changes, err := f.server.source.SoftState(asking, f.since)
	if err != nil {
		return false, status.Error(codes.Unavailable, err.Error())
	}
	if f.term == 0 {
		f.term = changes.Term
	}
	if changes.Term != f.term {
		return false, status.Error(codes.Unavailable, "another term has begun")
	}
	f.since = changes.UpTo
	batch := Batch{Term: f.term, Sequence: f.sequence + 1, Machines: changes.Machines}
	if f.sequence == 0 || !sameLearned(changes.Estimates, f.learned) {
		f.learned = changes.Estimates
		batch.Estimates = &f.learned
	}
	if len(batch.Machines) == 0 && batch.Estimates == nil {
		return changes.More, nil
	}
	f.sequence++
	if err := f.stream.Send(encode(batch)); err != nil {
		return false, err
	}
	return changes.More, f.awaitAcknowledgement(ctx)
}

// sameLearned tells whether nothing was learned. How long an offer is still blocked only
// passes.
func sameLearned(a, b Estimates) bool {
	return reflect.DeepEqual(a.RunRatios, b.RunRatios) && reflect.DeepEqual(a.BootSeconds, b.BootSeconds) &&
		slices.EqualFunc(a.Pools, b.Pools, func(x, y CapacityPool) bool {
			return x.Type == y.Type && x.Zone == y.Zone && x.Spot == y.Spot && x.Backoff == y.Backoff && x.Filled == y.Filled && x.BackoffLeft <= y.BackoffLeft
		})
}

func (f *following) awaitAcknowledgement(ctx context.Context) error {
	limit := time.NewTimer(ackLimit)
	defer limit.Stop()
	select {
	case got := <-f.acknowledged:
		if got != f.sequence {
			return status.Errorf(codes.InvalidArgument, "acknowledged %d, %d was sent", got, f.sequence)
		}
		return nil
	case <-limit.C:
		return status.Error(codes.DeadlineExceeded, "a batch was not acknowledged")
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

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

// The intervals and timeouts of the leader.
const (
	// sendInterval is the pause between two checks for changes.
	sendInterval = 500 * time.Millisecond
	// sourceTimeout bounds how long the source may take to list its changes.
	sourceTimeout = 2 * time.Second
	// acknowledgementTimeout bounds how long a follower may take to acknowledge a batch. After
	// that its stream is closed, so that a frozen follower costs no more than one batch.
	acknowledgementTimeout = 10 * time.Second
)

// Source provides the soft state of the leader.
type Source interface {
	// SoftState returns the changes since the position that an earlier call has returned; 0: all.
	// An error means that this controller is not the leader.
	SoftState(ctx context.Context, since uint64) (Changes, error)
}

// Server streams this controller's soft state to the other controllers while it is the leader.
type Server struct {
	hintpb.UnimplementedHintsServer
	source Source
	others []string // the other controllers
	log    *slog.Logger
}

// NewServer returns a server that streams the soft state of a source to the controllers with the
// given names.
func NewServer(source Source, others []string, log *slog.Logger) *Server {
	return &Server{source: source, others: others, log: log}
}

// Follow serves one follower until the term ends or the follower disconnects.
func (s *Server) Follow(stream hintpb.Hints_FollowServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !slices.Contains(s.others, first.GetNode()) {
		s.log.Warn("soft-state stream refused: unknown controller", "controller", first.GetNode())
		return status.Errorf(codes.PermissionDenied, "%q is not one of the controllers", first.GetNode())
	}
	if first.GetSequence() != 0 {
		return status.Error(codes.InvalidArgument, "a stream begins with sequence 0")
	}
	f := &followerStream{server: s, stream: stream, acknowledged: make(chan uint64)}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go f.receiveAcknowledgements(ctx, cancel)
	return f.run(ctx)
}

// followerStream is the stream to one follower.
type followerStream struct {
	server        *Server
	stream        hintpb.Hints_FollowServer
	acknowledged  chan uint64
	term          uint64
	sequence      uint64
	position      uint64    // the source's changes up to here were sent
	sentEstimates Estimates // the last ones that were sent
}

// receiveAcknowledgements sends the sequence numbers of acknowledgements to f.acknowledged. It calls
// cancel when the follower disconnects.
func (f *followerStream) receiveAcknowledgements(ctx context.Context, cancel context.CancelFunc) {
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

// run sends changes as they occur, one batch at a time.
func (f *followerStream) run(ctx context.Context) error {
	for {
		more, err := f.sendChanges(ctx)
		if err != nil {
			return err
		}
		if !more {
			transport.Pause(ctx, sendInterval)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// sendChanges sends the next changes, if there are any, and waits until the follower has
// acknowledged them. more reports whether further changes are available at once.
func (f *followerStream) sendChanges(ctx context.Context) (more bool, err error) {
	sourceCtx, cancel := context.WithTimeout(ctx, sourceTimeout)
	defer cancel()
	changes, err := f.server.source.SoftState(sourceCtx, f.position)
	if err != nil {
		return false, status.Error(codes.Unavailable, err.Error())
	}
	if f.term == 0 {
		f.term = changes.Term
	}
	if changes.Term != f.term {
		return false, status.Error(codes.Unavailable, "another term has begun")
	}
	f.position = changes.UpTo
	batch := Batch{Term: f.term, Sequence: f.sequence + 1, Machines: changes.Machines}
	if f.sequence == 0 || !sameEstimates(changes.Estimates, f.sentEstimates) {
		f.sentEstimates = changes.Estimates
		batch.Estimates = &f.sentEstimates
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

// sameEstimates reports whether two estimates, the present ones and those sent before, are equal
// except for the remaining back-off of capacity pools, which decreases by itself.
func sameEstimates(a, b Estimates) bool {
	return reflect.DeepEqual(a.RunRatios, b.RunRatios) && reflect.DeepEqual(a.BootSeconds, b.BootSeconds) &&
		slices.EqualFunc(a.Pools, b.Pools, func(x, y CapacityPool) bool {
			return x.Type == y.Type && x.Zone == y.Zone && x.Spot == y.Spot && x.Backoff == y.Backoff && x.Filled == y.Filled && x.BackoffLeft <= y.BackoffLeft
		})
}

// awaitAcknowledgement waits until the follower acknowledges the last batch, for
// acknowledgementTimeout at most.
func (f *followerStream) awaitAcknowledgement(ctx context.Context) error {
	timer := time.NewTimer(acknowledgementTimeout)
	defer timer.Stop()
	select {
	case sequence := <-f.acknowledged:
		if sequence != f.sequence {
			return status.Errorf(codes.InvalidArgument, "acknowledged %d, %d was sent", sequence, f.sequence)
		}
		return nil
	case <-timer.C:
		return status.Error(codes.DeadlineExceeded, "a batch was not acknowledged")
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

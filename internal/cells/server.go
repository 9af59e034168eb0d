package cells

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
)

// maxMessages bounds the messages of one exchange.
const maxMessages = 256

// Leader is the node's dispatcher, as other cells need it.
type Leader interface {
	AnswerTransfers(ctx context.Context, home string, messages []federation.Message) ([]federation.Answer, error)
	OfferCapacity(ctx context.Context, home string, cores float64) (dispatch.CapacityOffer, error)
	ListTransfers(ctx context.Context) (scheduler.TransferListReply, error)
}

// Server answers other cells, and operators.
type Server struct {
	cellpb.UnimplementedCellServer
	cells   settings.Cells
	cancelS float64
	leader  Leader
}

// NewServer makes a server for a cell whose cancelled tasks are gone within cancelS.
func NewServer(c settings.Cells, cancelS float64, leader Leader) *Server {
	return &Server{cells: c, cancelS: cancelS, leader: leader}
}

// check refuses requests that are not for this cell, or not from a neighbour.
func (s *Server) check(e *cellpb.Envelope) error {
	switch {
	case e.GetVersion() != version:
		return status.Errorf(codes.FailedPrecondition, "version %d of the messages between cells is not known here, %d is", e.GetVersion(), version)
	case s.cells.Name == "":
		return status.Error(codes.PermissionDenied, "this cell has no neighbours")
	case e.To != s.cells.Name:
		return status.Errorf(codes.FailedPrecondition, "this is cell %q, not %q", s.cells.Name, e.To)
	}
	if _, ok := s.cells.Find(e.From); !ok {
		return status.Errorf(codes.PermissionDenied, "cell %q is not a neighbour of %q", e.From, s.cells.Name)
	}
	return nil
}

// failure is the status of an error of the dispatcher.
func failure(err error) error {
	if errors.Is(err, dispatch.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.DeadlineExceeded, err.Error())
}

// Exchange answers messages about transfers.
func (s *Server) Exchange(ctx context.Context, r *cellpb.ExchangeRequest) (*cellpb.ExchangeReply, error) {
	if err := s.check(r.Envelope); err != nil {
		return nil, err
	}
	if len(r.Messages) > maxMessages {
		return nil, status.Errorf(codes.InvalidArgument, "%d messages at once, at most %d", len(r.Messages), maxMessages)
	}
	messages := make([]federation.Message, len(r.Messages))
	for i, m := range r.Messages {
		var err error
		if messages[i], err = messageIn(m); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "message %d: %s", i, err)
		}
	}
	answers, err := s.leader.AnswerTransfers(ctx, r.Envelope.From, messages)
	if err != nil {
		return nil, failure(err)
	}
	reply := &cellpb.ExchangeReply{}
	for _, a := range answers {
		reply.Answers = append(reply.Answers, answerOut(a))
	}
	return reply, nil
}

// Room offers room. Where a cancelled job's tasks may go on for longer than at its home,
// there is none: its user was told otherwise.
func (s *Server) Room(ctx context.Context, r *cellpb.RoomRequest) (*cellpb.RoomReply, error) {
	if err := s.check(r.Envelope); err != nil {
		return nil, err
	}
	if !(r.Cores >= 0) || math.IsInf(r.Cores, 0) {
		return nil, status.Errorf(codes.InvalidArgument, "room for %v cores", r.Cores)
	}
	if s.cancelS > r.CancelS {
		why := fmt.Sprintf("cancelled tasks are gone within %v s here, and are to be within %v s", s.cancelS, r.CancelS)
		return &cellpb.RoomReply{Reason: why, RetryAfterMs: time.Minute.Milliseconds()}, nil
	}
	offer, err := s.leader.OfferCapacity(ctx, r.Envelope.From, r.Cores)
	if err != nil {
		return nil, failure(err)
	}
	return &cellpb.RoomReply{Cores: offer.Cores, ForMs: offer.For.Milliseconds(), RetryAfterMs: offer.RetryAfter.Milliseconds(), Reason: offer.Reason}, nil
}

// List tells an operator about all transfers.
func (s *Server) List(ctx context.Context, _ *cellpb.ListRequest) (*cellpb.ListReply, error) {
	list, err := s.leader.ListTransfers(ctx)
	if err != nil {
		return nil, failure(err)
	}
	reply := &cellpb.ListReply{Cell: s.cells.Name}
	for _, v := range list.Delegated {
		reply.Away = append(reply.Away, &cellpb.Away{Ref: v.JobID, Cell: v.Record.Cell, Epoch: v.Record.Epoch, Phase: v.Phase, Cancelling: v.Cancelling,
			Repeatable: v.Record.Repeatable, SinceMs: v.Record.SinceMS, HeardMs: v.LastAnswer.Milliseconds(), Done: int32(v.Done), Running: int32(v.Running)})
	}
	for _, g := range list.Foreign {
		reply.Guests = append(reply.Guests, &cellpb.Guest{Home: g.Key.Origin, Ref: g.Key.JobID, Epoch: g.Record.Epoch, State: guestState(g),
			SinceMs: g.Record.SinceMS, Done: int32(g.State.Done), Running: int32(g.State.Running)})
	}
	for _, c := range list.Cells {
		reply.Neighbours = append(reply.Neighbours, &cellpb.Neighbour{Name: c.Name, Drain: c.Drain, Silent: c.Unreachable, Jobs: int32(c.Jobs), Cores: c.Cores, Credit: c.Credit, Lent: c.Offered})
	}
	for key, n := range list.Counts {
		reply.Counts = append(reply.Counts, &cellpb.Count{Cell: key.Cell, Out: key.Out, Step: key.Step, Count: int64(n)})
	}
	return reply, nil
}

// guestState is what a guest's job has come to.
func guestState(g scheduler.ForeignView) string {
	switch {
	case g.State.Over && g.State.Cancelled:
		return "aborted, not released"
	case g.State.Over:
		return "done, not released"
	}
	return string(g.Record.State)
}

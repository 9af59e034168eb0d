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

// maxExchangeMessages bounds the messages of one exchange.
const maxExchangeMessages = 256

// Leader is the part of the controller's dispatcher that other cells and operators use. Its
// methods return dispatch.ErrNotLeader if another controller leads.
type Leader interface {
	AnswerTransfers(ctx context.Context, origin string, messages []federation.Message) ([]federation.Answer, error)
	OfferCapacity(ctx context.Context, origin string, cores float64) (dispatch.CapacityOffer, error)
	ListTransfers(ctx context.Context) (scheduler.TransferListReply, error)
}

// Server serves other cells, and operators.
type Server struct {
	cellpb.UnimplementedCellServer
	cells settings.Cells
	// cancelS is the time in seconds within which the tasks of a cancelled job are gone here.
	cancelS float64
	leader  Leader
}

// NewServer returns a server for a cell in which the tasks of a cancelled job are gone within
// cancelS seconds.
func NewServer(cells settings.Cells, cancelS float64, leader Leader) *Server {
	return &Server{cells: cells, cancelS: cancelS, leader: leader}
}

// checkEnvelope refuses requests that are not for this cell, or not from a neighbour.
func (s *Server) checkEnvelope(e *cellpb.Envelope) error {
	switch {
	case e.GetVersion() != protocolVersion:
		return status.Errorf(codes.FailedPrecondition, "version %d of the messages between cells is not known here, %d is", e.GetVersion(), protocolVersion)
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

// statusOf returns the status for an error of the dispatcher.
func statusOf(err error) error {
	if errors.Is(err, dispatch.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.DeadlineExceeded, err.Error())
}

// Exchange answers messages about transfers.
func (s *Server) Exchange(ctx context.Context, r *cellpb.ExchangeRequest) (*cellpb.ExchangeReply, error) {
	if err := s.checkEnvelope(r.Envelope); err != nil {
		return nil, err
	}
	if len(r.Messages) > maxExchangeMessages {
		return nil, status.Errorf(codes.InvalidArgument, "%d messages at once, at most %d", len(r.Messages), maxExchangeMessages)
	}
	messages := make([]federation.Message, len(r.Messages))
	for i, m := range r.Messages {
		var err error
		if messages[i], err = decodeMessage(m); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "message %d: %s", i, err)
		}
	}
	answers, err := s.leader.AnswerTransfers(ctx, r.Envelope.From, messages)
	if err != nil {
		return nil, statusOf(err)
	}
	reply := &cellpb.ExchangeReply{}
	for _, a := range answers {
		reply.Answers = append(reply.Answers, encodeAnswer(a))
	}
	return reply, nil
}

// Room answers a request for a capacity offer. Where the tasks of a cancelled job may run longer
// than its origin has promised its user, nothing is offered.
func (s *Server) Room(ctx context.Context, r *cellpb.RoomRequest) (*cellpb.RoomReply, error) {
	if err := s.checkEnvelope(r.Envelope); err != nil {
		return nil, err
	}
	if !(r.Cores >= 0) || math.IsInf(r.Cores, 0) {
		return nil, status.Errorf(codes.InvalidArgument, "capacity for %v cores", r.Cores)
	}
	if s.cancelS > r.CancelS {
		reason := fmt.Sprintf("cancelled tasks are gone within %v s here, and are to be within %v s", s.cancelS, r.CancelS)
		return &cellpb.RoomReply{Reason: reason, RetryAfterMs: time.Minute.Milliseconds()}, nil
	}
	offer, err := s.leader.OfferCapacity(ctx, r.Envelope.From, r.Cores)
	if err != nil {
		return nil, statusOf(err)
	}
	return encodeOffer(offer), nil
}

// List lists all transfers for an operator.
func (s *Server) List(ctx context.Context, _ *cellpb.ListRequest) (*cellpb.ListReply, error) {
	transfers, err := s.leader.ListTransfers(ctx)
	if err != nil {
		return nil, statusOf(err)
	}
	return encodeTransferList(s.cells.Name, transfers), nil
}

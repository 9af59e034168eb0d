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

// maxExchangeMessages is the maximum number of messages in one Exchange request.
const maxExchangeMessages = 256

// Leader is the part of the controller's dispatcher that Server uses. Its methods return
// dispatch.ErrNotLeader if this controller is not the leader.
type Leader interface {
	AnswerTransfers(ctx context.Context, origin string, messages []federation.Message) ([]federation.Answer, error)
	OfferCapacity(ctx context.Context, origin string, cores float64) (dispatch.CapacityOffer, error)
	ListTransfers(ctx context.Context) (scheduler.TransferListReply, error)
}

// Server implements the gRPC service for other cells and for operators.
type Server struct {
	cellpb.UnimplementedCellServer
	cells settings.Cells
	// cancelS is the time in seconds within which this cell ends the tasks of a cancelled job.
	cancelS float64
	leader  Leader
}

// NewServer returns a server for a cell that ends the tasks of a cancelled job within cancelS
// seconds. A cell without a name in its settings rejects requests from other cells.
func NewServer(cells settings.Cells, cancelS float64, leader Leader) *Server {
	return &Server{cells: cells, cancelS: cancelS, leader: leader}
}

// checkEnvelope returns a status error for a request of another protocol version, for another cell,
// or from a cell that is not a neighbour.
func (s *Server) checkEnvelope(envelope *cellpb.Envelope) error {
	switch {
	case envelope.GetVersion() != protocolVersion:
		return status.Errorf(codes.FailedPrecondition, "version %d of the messages between cells is not known here, %d is", envelope.GetVersion(), protocolVersion)
	case s.cells.Name == "":
		return status.Error(codes.PermissionDenied, "this cell has no neighbours")
	case envelope.To != s.cells.Name:
		return status.Errorf(codes.FailedPrecondition, "this is cell %q, not %q", s.cells.Name, envelope.To)
	}
	if _, ok := s.cells.Find(envelope.From); !ok {
		return status.Errorf(codes.PermissionDenied, "cell %q is not a neighbour of %q", envelope.From, s.cells.Name)
	}
	return nil
}

// statusError converts an error of the dispatcher to a status error. Both codes make the caller retry
// at another controller.
func statusError(err error) error {
	if errors.Is(err, dispatch.ErrNotLeader) {
		return status.Error(codes.Unavailable, err.Error())
	}
	return status.Error(codes.DeadlineExceeded, err.Error())
}

// Exchange answers transfer messages of another cell.
func (s *Server) Exchange(ctx context.Context, request *cellpb.ExchangeRequest) (*cellpb.ExchangeReply, error) {
	if err := s.checkEnvelope(request.Envelope); err != nil {
		return nil, err
	}
	if len(request.Messages) > maxExchangeMessages {
		return nil, status.Errorf(codes.InvalidArgument, "%d messages at once, at most %d", len(request.Messages), maxExchangeMessages)
	}
	messages := make([]federation.Message, len(request.Messages))
	for i, m := range request.Messages {
		var err error
		if messages[i], err = decodeMessage(m); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "message %d: %s", i, err)
		}
	}
	answers, err := s.leader.AnswerTransfers(ctx, request.Envelope.From, messages)
	if err != nil {
		return nil, statusError(err)
	}
	reply := &cellpb.ExchangeReply{}
	for _, a := range answers {
		reply.Answers = append(reply.Answers, encodeAnswer(a))
	}
	return reply, nil
}

// Room answers a request for a capacity offer. It offers nothing if the tasks of a cancelled job
// may run longer in this cell than the origin's CancelS, which the origin has promised to its
// users.
func (s *Server) Room(ctx context.Context, request *cellpb.RoomRequest) (*cellpb.RoomReply, error) {
	if err := s.checkEnvelope(request.Envelope); err != nil {
		return nil, err
	}
	if !(request.Cores >= 0) || math.IsInf(request.Cores, 0) {
		return nil, status.Errorf(codes.InvalidArgument, "capacity for %v cores", request.Cores)
	}
	if s.cancelS > request.CancelS {
		reason := fmt.Sprintf("cancelled tasks are gone within %v s here, and are to be within %v s", s.cancelS, request.CancelS)
		return &cellpb.RoomReply{Reason: reason, RetryAfterMs: time.Minute.Milliseconds()}, nil
	}
	offer, err := s.leader.OfferCapacity(ctx, request.Envelope.From, request.Cores)
	if err != nil {
		return nil, statusError(err)
	}
	return encodeOffer(offer), nil
}

// List returns all transfers of this cell, for operators.
func (s *Server) List(ctx context.Context, _ *cellpb.ListRequest) (*cellpb.ListReply, error) {
	transfers, err := s.leader.ListTransfers(ctx)
	if err != nil {
		return nil, statusError(err)
	}
	return encodeTransferList(s.cells.Name, transfers), nil
}

package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler"
)

// CapacityOffer is a cell's reply to a capacity request of another cell. If Cores is 0, Reason says
// why, and the other cell may retry after RetryAfter.
type CapacityOffer struct {
	Cores      float64
	For        time.Duration
	RetryAfter time.Duration
	Reason     string
}

// Neighbours sends requests to the leaders of other cells.
type Neighbours interface {
	// Exchange sends messages about transfers to a cell and returns its answers.
	Exchange(ctx context.Context, cell string, messages []federation.Message) ([]federation.Answer, error)
	// AskCapacity requests an offer of capacity, in cores, from a cell.
	AskCapacity(ctx context.Context, cell string, cores float64) (CapacityOffer, error)
}

// AnswerTransfers answers transfer messages of the cell origin. The error is ErrNotLeader unless
// this controller leads.
func (d *Dispatcher) AnswerTransfers(ctx context.Context, origin string, messages []federation.Message) ([]federation.Answer, error) {
	reply, err := askLeader[scheduler.TransferReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.TransferRequest{Origin: origin, Messages: messages, ReplyTo: replyTo}
	})
	return reply.Answers, err
}

// OfferCapacity answers a capacity request of the cell origin. The error is ErrNotLeader unless
// this controller leads.
func (d *Dispatcher) OfferCapacity(ctx context.Context, origin string, cores float64) (CapacityOffer, error) {
	reply, err := askLeader[scheduler.CapacityReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.CapacityRequest{Origin: origin, Cores: cores, ReplyTo: replyTo}
	})
	return CapacityOffer{Cores: reply.Cores, For: reply.For, RetryAfter: reply.RetryAfter, Reason: reply.Reason}, err
}

// ListTransfers lists the transfers between this cell and others. The error is ErrNotLeader unless
// this controller leads.
func (d *Dispatcher) ListTransfers(ctx context.Context) (scheduler.TransferListReply, error) {
	return askLeader[scheduler.TransferListReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.TransferListRequest{ReplyTo: replyTo}
	})
}

// sendTransfers sends messages to another cell and posts the answers to the core.
func (t *term) sendTransfers(ctx context.Context, effect scheduler.SendTransfers) {
	answers, err := t.config.Neighbours.Exchange(ctx, effect.Cell, effect.Messages)
	t.postResult(ctx, scheduler.TransferResult{Cell: effect.Cell, Answers: answers, Err: err})
}

// requestCapacity requests capacity from another cell and posts its offer to the core.
func (t *term) requestCapacity(ctx context.Context, effect scheduler.RequestCapacity) {
	offer, err := t.config.Neighbours.AskCapacity(ctx, effect.Cell, effect.Cores)
	t.postResult(ctx, scheduler.CapacityResult{
		Cell: effect.Cell, Cores: offer.Cores, For: offer.For, RetryAfter: offer.RetryAfter, Reason: offer.Reason, Err: err,
	})
}

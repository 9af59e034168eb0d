package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler"
)

// CapacityOffer is a cell's answer to another one that asks for capacity.
type CapacityOffer struct {
	Cores      float64
	For        time.Duration
	RetryAfter time.Duration
	Reason     string
}

// Neighbours calls the leaders of other cells.
type Neighbours interface {
	// Exchange has a cell answer messages about transfers.
	Exchange(ctx context.Context, cell string, messages []federation.Message) ([]federation.Answer, error)
	// AskCapacity asks a cell for capacity of so many cores.
	AskCapacity(ctx context.Context, cell string, cores float64) (CapacityOffer, error)
}

// AnswerTransfers answers the messages of another cell, if this controller leads.
func (d *Dispatcher) AnswerTransfers(ctx context.Context, origin string, messages []federation.Message) ([]federation.Answer, error) {
	reply, err := askLeader[scheduler.TransferReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.TransferRequest{Origin: origin, Messages: messages, ReplyTo: replyTo}
	})
	return reply.Answers, err
}

// OfferCapacity answers another cell that asks for capacity, if this controller leads.
func (d *Dispatcher) OfferCapacity(ctx context.Context, origin string, cores float64) (CapacityOffer, error) {
	reply, err := askLeader[scheduler.CapacityReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.CapacityRequest{Origin: origin, Cores: cores, ReplyTo: replyTo}
	})
	return CapacityOffer{Cores: reply.Cores, For: reply.For, RetryAfter: reply.RetryAfter, Reason: reply.Reason}, err
}

// ListTransfers lists the transfers, if this controller leads.
func (d *Dispatcher) ListTransfers(ctx context.Context) (scheduler.TransferListReply, error) {
	return askLeader[scheduler.TransferListReply](ctx, d, func(replyTo scheduler.Recipient) scheduler.Event {
		return scheduler.TransferListRequest{ReplyTo: replyTo}
	})
}

// sendTransfers sends messages to another cell and passes the answers to the core.
func (t *term) sendTransfers(ctx context.Context, effect scheduler.SendTransfers) {
	answers, err := t.config.Neighbours.Exchange(ctx, effect.Cell, effect.Messages)
	t.postEvent(ctx, scheduler.TransferResult{Cell: effect.Cell, Answers: answers, Err: err})
}

// requestCapacity asks another cell for capacity and passes its offer to the core.
func (t *term) requestCapacity(ctx context.Context, effect scheduler.RequestCapacity) {
	offer, err := t.config.Neighbours.AskCapacity(ctx, effect.Cell, effect.Cores)
	t.postEvent(ctx, scheduler.CapacityResult{
		Cell: effect.Cell, Cores: offer.Cores, For: offer.For, RetryAfter: offer.RetryAfter, Reason: offer.Reason, Err: err,
	})
}

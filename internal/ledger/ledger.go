package ledger

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/transport"
)

// Ledger writes for one term of leadership. It commits waiting writes together, one
// transaction at a time.
type Ledger struct {
	currentLimits func() Limits
	limits        Limits // as last asked for
	log           *slog.Logger

	queue        writeQueue
	transactions transactionBuilder
	committer    committer

	incoming chan []Write
	// retries brings rejected writes back whose retry is due.
	retries chan *pendingWrite
	// Durable hands back the tags of writes that are now durable.
	Durable chan []Tag
	// Rejected hands back the tags of writes whose values are larger than the lowered
	// limits of the store. They are not carried out, nor retried.
	Rejected chan []Tag
}

// channelBufferSize is how many messages each of the ledger's channels buffers.
const channelBufferSize = 64

// New makes the ledger of a term, within limits that may change; Load, then Run.
func New(term uint64, store Store, currentLimits func() Limits, log *slog.Logger) *Ledger {
	return &Ledger{
		currentLimits: currentLimits,
		limits:        currentLimits(),
		log:           log,
		queue:         newWriteQueue(),
		transactions:  transactionBuilder{term: term, versions: map[string]uint64{}},
		committer:     committer{store, log},
		incoming:      make(chan []Write, channelBufferSize),
		retries:       make(chan *pendingWrite),
		Durable:       make(chan []Tag, channelBufferSize),
		Rejected:      make(chan []Tag, channelBufferSize),
	}
}

// Put hands writes to the ledger. It gives up only with ctx.
func (l *Ledger) Put(ctx context.Context, writes []Write) {
	select {
	case l.incoming <- writes:
	case <-ctx.Done():
	}
}

// Run commits until ctx ends or the term is over.
func (l *Ledger) Run(ctx context.Context) error {
	outcomes := make(chan outcome, 1)
	committing := false
	var settled settledTags
	budgetRefill := time.NewTimer(time.Hour)
	defer budgetRefill.Stop()
	for {
		l.limits = l.currentLimits()
		if !committing {
			committing = l.startCommit(ctx, budgetRefill, outcomes)
		}
		select {
		case writes := <-l.incoming:
			if err := l.enqueue(writes); err != nil {
				return err
			}
		case o := <-outcomes:
			committing = false
			tags, err := l.applyOutcome(ctx, o)
			if err != nil {
				return err
			}
			settled.add(tags)
		case sendChannel(l.Rejected, settled.rejected) <- settled.rejected:
			settled.rejected = nil
		case sendChannel(l.Durable, settled.durable) <- settled.durable:
			settled.durable = nil
		case write := <-l.retries:
			l.queue.retry(write)
		case <-budgetRefill.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendChannel is a channel if there are tags to be sent on it, or else nil, which blocks.
func sendChannel(channel chan []Tag, tags []Tag) chan []Tag {
	if len(tags) == 0 {
		return nil
	}
	return channel
}

// enqueue queues writes.
func (l *Ledger) enqueue(writes []Write) error {
	for i := range writes {
		pending, err := writes[i].encode()
		if err != nil {
			return err
		}
		l.queue.add(pending)
		l.transactions.setVersionIfUnknown(writes[i].Key, writes[i].Version)
	}
	return nil
}

// startCommit begins the next transaction if one is due, and tells whether it did. If only
// deferrable writes wait whose rate is used up, it sets budgetRefill to when they are due.
func (l *Ledger) startCommit(ctx context.Context, budgetRefill *time.Timer, outcomes chan<- outcome) bool {
	if delay := l.queue.delay(l.limits, time.Now()); delay > 0 {
		budgetRefill.Reset(delay)
		return false
	}
	if len(l.queue.pending) == 0 {
		return false
	}
	next := l.nextTransaction()
	go func() { outcomes <- l.committer.commit(ctx, next) }()
	return true
}

// nextTransaction takes writes from the queue into a transaction.
func (l *Ledger) nextTransaction() transaction {
	writes := l.queue.takeBatch(l.limits, l.transactions.maxWrites(l.limits))
	return l.transactions.build(writes)
}

// rejectedRetryDelay is how long a write waits that the store rejects by itself.
const rejectedRetryDelay = 10 * time.Second

// retryLater has a write retried that the store rejects even by itself. It waits apart, so
// that it holds up no other.
func (l *Ledger) retryLater(ctx context.Context, write *pendingWrite, reason error) {
	l.queue.reject(write)
	l.log.Error("ledger write rejected, retried later", "key", write.key, "error", reason)
	go func() {
		transport.Pause(ctx, rejectedRetryDelay)
		select {
		case l.retries <- write:
		case <-ctx.Done():
		}
	}()
}

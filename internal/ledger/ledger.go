package ledger

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/transport"
)

// Ledger writes records during one term of leadership. It commits pending writes in batches, one
// transaction at a time.
type Ledger struct {
	currentLimits func() Limits
	limits        Limits // result of the last call of currentLimits
	log           *slog.Logger

	queue        writeQueue
	transactions transactionBuilder
	committer    committer

	incoming chan []Write
	// retries receives rejected writes that are due for a retry.
	retries chan *pendingWrite
	// Durable delivers the tags of writes that are now durable.
	Durable chan []Tag
	// Rejected delivers the tags of writes whose values exceed the store's value limit after
	// it was lowered. These writes are neither applied nor retried.
	Rejected chan []Tag
}

// channelBufferSize is the number of messages that incoming, Durable and Rejected each buffer.
const channelBufferSize = 64

// New returns the ledger of a term. Call Load or LoadEntries first, then Run, which polls
// currentLimits, because the limits of the store may change.
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

// Put submits writes to the ledger. It blocks while the buffer is full, until ctx ends.
func (l *Ledger) Put(ctx context.Context, writes []Write) {
	select {
	case l.incoming <- writes:
	case <-ctx.Done():
	}
}

// Run commits writes until ctx ends, another term has begun (ErrLeadershipLost), or a value can't
// be encoded (a *KeyError).
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

// sendChannel returns channel if there are tags to send on it. Otherwise it returns nil, on which a
// send blocks forever, so that select ignores the case.
func sendChannel(channel chan []Tag, tags []Tag) chan []Tag {
	if len(tags) == 0 {
		return nil
	}
	return channel
}

// enqueue encodes writes and queues them.
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

// startCommit starts the next transaction if one is due, and reports whether it did. If only
// deferrable writes are pending and their rate is used up, it resets budgetRefill to fire when
// they are due.
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

// nextTransaction removes a batch of writes from the queue and builds a transaction from it.
func (l *Ledger) nextTransaction() transaction {
	writes := l.queue.takeBatch(l.limits, l.transactions.maxWrites(l.limits))
	return l.transactions.build(writes)
}

// rejectedRetryDelay is the delay before the retry of a write that the store rejected even in a
// transaction of its own.
const rejectedRetryDelay = 10 * time.Second

// retryLater schedules the retry of a write that the store rejected even in a transaction of its
// own. Until then the write is kept out of the queue, so that it doesn't block other writes.
func (l *Ledger) retryLater(ctx context.Context, write *pendingWrite, reason error) {
	l.queue.reject(write)
	l.log.Error("store rejected ledger write; retrying later", "key", write.key, "error", reason)
	go func() {
		transport.Pause(ctx, rejectedRetryDelay)
		select {
		case l.retries <- write:
		case <-ctx.Done():
		}
	}()
}

package ledger

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Store is the part of the key-value store's client that the ledger uses.
type Store interface {
	Get(ctx context.Context, priority kvstore.Priority, key string) (wire.Entry, bool, error)
	List(ctx context.Context, priority kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, priority kvstore.Priority, request wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
}

// outcome is the result of sending a transaction.
type outcome struct {
	transaction transaction
	committed   bool
	response    wire.CompareAndSwapResponse
	err         error
	// versions holds the versions of the keys whose conditions failed, read after the failure. A
	// key whose version could not be read is missing.
	versions map[string]uint64
}

// rejectedAlone reports whether the store rejected a transaction with a single write, which is
// then known to be the cause.
func (o *outcome) rejectedAlone() bool {
	return errors.Is(o.err, kvstore.ErrInvalidRequest) && len(o.transaction.writes) == 1
}

// committer sends transactions to the store. It holds no state of the term, so it can run
// concurrently with the ledger.
type committer struct {
	store Store
	log   *slog.Logger
}

// failureBackoff is the delay between a failed transaction and the next one.
const failureBackoff = 100 * time.Millisecond

// commit sends one transaction. After a failure it waits for failureBackoff before it returns;
// since it runs in a goroutine of its own, the ledger accepts writes meanwhile.
func (c committer) commit(ctx context.Context, t transaction) outcome {
	o := c.commitOnce(ctx, t)
	if o.err != nil && !errors.Is(o.err, ErrLeadershipLost) {
		transport.Pause(ctx, failureBackoff)
	}
	return o
}

// commitOnce sends one transaction once. If its conditions fail, an earlier transaction of
// unknown outcome was applied, another controller has written a job record, or another term has
// begun. It then reads the current versions of the keys whose conditions failed.
func (c committer) commitOnce(ctx context.Context, t transaction) outcome {
	o := outcome{transaction: t}
	o.committed, o.response, o.err = c.store.CompareAndSwap(ctx, kvstore.PriorityLeader, t.request)
	if o.err != nil || o.committed {
		return o
	}
	o.versions, o.err = c.readVersions(ctx, o.response.FailedKeys)
	return o
}

// readVersions reads the current versions of the keys whose conditions failed. If the leader key
// is among them, it returns ErrLeadershipLost. A key that can't be read is left out.
func (c committer) readVersions(ctx context.Context, failedKeys []string) (map[string]uint64, error) {
	versions := map[string]uint64{}
	for _, key := range failedKeys {
		if key == election.LeaderKey {
			return versions, ErrLeadershipLost
		}
		entry, _, err := c.store.Get(ctx, kvstore.PriorityLeader, key)
		if err != nil {
			c.log.Debug("failed to read the version of a ledger key", "key", key, "error", err)
			continue
		}
		versions[key] = entry.Version
	}
	return versions, nil
}

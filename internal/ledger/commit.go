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

// Store is the part of the key-value store that the ledger needs.
type Store interface {
	Get(ctx context.Context, p kvstore.Priority, key string) (wire.Entry, bool, error)
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
}

// outcome is what came of a transaction.
type outcome struct {
	transaction transaction
	committed   bool
	response    wire.CompareAndSwapResponse
	err         error
	// versions are those of the keys whose conditions failed, read afterwards.
	versions map[string]uint64
}

// rejectedAlone tells whether the store rejects a write that was the only one of its
// transaction.
func (o *outcome) rejectedAlone() bool {
	return errors.Is(o.err, kvstore.ErrInvalidRequest) && len(o.transaction.writes) == 1
}

// committer carries out transactions. It has no state of the term.
type committer struct {
	store Store
	log   *slog.Logger
}

// failureBackoff is how long the next transaction waits after one that failed.
const failureBackoff = 100 * time.Millisecond

// commit carries out one transaction. If it fails, it waits before it returns, so that the
// ledger accepts writes meanwhile.
func (c committer) commit(ctx context.Context, t transaction) outcome {
	o := c.commitOnce(ctx, t)
	if o.err != nil && !errors.Is(o.err, ErrLeadershipLost) {
		transport.Pause(ctx, failureBackoff)
	}
	return o
}

// commitOnce sends one transaction once. If its conditions fail, an earlier transaction of
// unknown outcome was carried out, or another controller has written a job record: it reads
// the versions anew.
func (c committer) commitOnce(ctx context.Context, t transaction) outcome {
	o := outcome{transaction: t}
	o.committed, o.response, o.err = c.store.CompareAndSwap(ctx, kvstore.PriorityLeader, t.request)
	if o.err != nil || o.committed {
		return o
	}
	o.versions, o.err = c.readVersions(ctx, o.response.FailedKeys)
	return o
}

// readVersions reads the versions of keys whose conditions failed. If the leader's key is
// among them, the term is over.
func (c committer) readVersions(ctx context.Context, failedKeys []string) (map[string]uint64, error) {
	versions := map[string]uint64{}
	for _, key := range failedKeys {
		if key == election.LeaderKey {
			return versions, ErrLeadershipLost
		}
		entry, _, err := c.store.Get(ctx, kvstore.PriorityLeader, key)
		if err != nil {
			c.log.Debug("reading the version of a ledger key failed", "key", key, "error", err)
			continue
		}
		versions[key] = entry.Version
	}
	return versions, nil
}

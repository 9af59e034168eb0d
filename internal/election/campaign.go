package election

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// yieldPause is how long a yielding controller waits before it reads the leader key again.
const yieldPause = 100 * time.Millisecond

// campaignUnlessYielding campaigns, unless this controller yields its candidacy to the others. In
// that case it returns after yieldPause.
func (e *Elector) campaignUnlessYielding(ctx context.Context) error {
	if e.yield.shouldYield(e.Ready) {
		transport.Pause(ctx, yieldPause)
		return nil
	}
	return e.campaign(ctx)
}

// errLeaderExists means that a candidacy failed because the leader key exists.
var errLeaderExists = errors.New("the leader key exists already")

// campaign tries to create the leader key under a new lease and, if it succeeds, leads until the
// term ends.
func (e *Elector) campaign(ctx context.Context) error {
	sent := time.Now()
	lease, err := e.store.GrantLease(ctx, e.lease.duration)
	if err != nil {
		return fmt.Errorf("obtain a lease for a candidacy: %w", err)
	}
	term, err := e.createLeaderKey(ctx, lease)
	if errors.Is(err, errLeaderExists) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("create the leader key under lease %d: %w", lease, err)
	}
	e.yield.recordLeader()
	e.grants.setKeyHeld()
	defer e.grants.setKeyReleased()
	newLeaderTerm(e, term, lease, sent).run(ctx)
	return nil
}

// createLeaderKey writes this controller's name under a lease and returns the term that it has won.
// It returns errLeaderExists if the key exists.
func (e *Elector) createLeaderKey(ctx context.Context, lease uint64) (term uint64, err error) {
	value, err := json.Marshal(e.self)
	if err != nil {
		return 0, err
	}
	created, response, err := e.store.CompareAndSwap(ctx, kvstore.PriorityLease, wire.CompareAndSwap{
		Conditions: []wire.Condition{{Key: LeaderKey}},
		Changes:    []wire.Change{{Set: LeaderKey, Value: value, Lease: lease}},
	})
	if err == nil && created {
		return response.Revision, nil
	}
	// Without its lease the candidacy has no effect, even if the store executes it later.
	if revokeErr := e.store.RevokeLease(ctx, lease); revokeErr != nil {
		e.log.Debug("candidate lease not revoked", "error", revokeErr)
	}
	if err != nil {
		return 0, err
	}
	return 0, errLeaderExists
}

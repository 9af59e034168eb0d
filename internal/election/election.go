// Package election decides which controller is the leader. The leader is the controller whose
// name is the value of one key in the key-value store, attached to a lease that it renews; the
// key's version is the leader's term. A leader counts its lease from the moment it sent the
// renewal, less clock drift and a margin, so that it stops acting before another controller can
// become the leader.
//
// The package does not decide what a leader does. Its users read the published View.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// LeaderKey is the key that holds the leader's name.
const LeaderKey = "leader"

// leaderRecord is the value of LeaderKey.
type leaderRecord struct {
	Controller  string `json:"node"`
	Incarnation uint64 `json:"boot"`
}

// Store is the part of the key-value store's client that an election uses.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, txn wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

// Elector takes part in elections for one controller.
type Elector struct {
	self         leaderRecord
	lease        leaseTiming
	store        Store
	log          *slog.Logger
	view         *viewPublisher
	grants       *extensionGrants
	yield        candidacyYield
	resignations chan uint64 // terms that this controller is to resign

	// Peers are the other controllers, which grant lease extensions while the store is
	// unavailable. Nil means that there are none.
	Peers Peers
	// Ready reports whether this controller could make decisions at once if it were elected. A
	// controller that is not ready lets the others campaign first, for maxYieldUntilReady at most.
	// Nil means that it is always ready.
	Ready func() bool
}

// New returns an elector for a controller. Run starts it.
func New(controller string, operator settings.Operator, store Store, log *slog.Logger) *Elector {
	return &Elector{
		self:  leaderRecord{Controller: controller, Incarnation: rand.Uint64()},
		lease: leaseTiming{duration: operator.LeaderLease, margin: operator.LeaseMargin},
		store: store,
		log:   log,
		view:  newViewPublisher(),
		// An earlier incarnation may have granted an extension just before it ended.
		grants:       newExtensionGrants(time.Now().Add(extensionDuration)),
		resignations: make(chan uint64, 1),
	}
}

// Run takes part in elections until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runRound(ctx); err != nil && ctx.Err() == nil {
			e.log.Debug("election round failed", "error", err)
			transport.Pause(ctx, 150*time.Millisecond+rand.N(100*time.Millisecond))
		}
	}
}

// runRound reads the leader key once and then follows its holder until the key changes,
// campaigns, or frees the key from an earlier incarnation of this controller.
func (e *Elector) runRound(ctx context.Context) error {
	// The watch must begin at the store's present revision. The key's own may be so old that
	// the store no longer keeps the changes after it, and each round would end at once.
	page, err := e.store.List(ctx, kvstore.PriorityLease, LeaderKey, "", 1)
	if err != nil {
		return fmt.Errorf("read the leader key: %w", err)
	}
	if len(page.Entries) == 0 || page.Entries[0].Key != LeaderKey {
		if e.view.publish(&View{}) {
			e.log.Info("no controller leads", "revision", page.Revision)
		}
		return e.campaignUnlessYielding(ctx)
	}
	e.yield.recordLeader()
	entry := page.Entries[0]
	holder := e.decodeRecord(entry)
	if holder.Controller == e.self.Controller {
		return e.revokeStaleTerm(ctx, entry)
	}
	if e.view.publish(&View{Leader: holder.Controller, Term: entry.Version}) {
		e.log.Info("another controller leads", "leader", holder.Controller, "leader_term", entry.Version, "revision", page.Revision)
	}
	return e.awaitChange(ctx, page.Revision)
}

// decodeRecord decodes the leader key's value. For a value that can't be decoded it returns an empty
// record, which names no leader.
func (e *Elector) decodeRecord(entry wire.Entry) leaderRecord {
	var record leaderRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		e.log.Error("leader key could not be decoded", "error", err)
	}
	return record
}

// revokeStaleTerm ends a term that carries this controller's name although it does not lead in it:
// the term of an earlier incarnation, which has ended, or of a candidacy whose outcome is unknown.
// No controller acts in this term, so its lease is revoked instead of waiting for its expiry.
func (e *Elector) revokeStaleTerm(ctx context.Context, entry wire.Entry) error {
	e.log.Info("revoking the lease of an earlier incarnation", "leader_term", entry.Version)
	if err := e.store.RevokeLease(ctx, entry.Lease); err != nil {
		return fmt.Errorf("revoke lease %d of an earlier incarnation: %w", entry.Lease, err)
	}
	return nil
}

// awaitChange waits until the leader key may have changed after a revision, for kvstore.WatchDuration
// at most.
func (e *Elector) awaitChange(ctx context.Context, revision uint64) error {
	_, err := e.store.Watch(ctx, LeaderKey, revision, kvstore.WatchDuration)
	if err == nil || errors.Is(err, kvstore.ErrCompacted) {
		return nil
	}
	return fmt.Errorf("watch the leader key: %w", err)
}

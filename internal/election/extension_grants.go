package election

import (
	"context"
	"time"

	"leadproxy/internal/kvstore"
)

// While the key-value store is unavailable to all controllers, no lease expires there and no
// controller can become the leader, but a controller can't distinguish this from being the only one
// that is cut off. A leader whose renewals fail therefore requests an extension of its lease from
// every other controller. A controller that grants one does not act as the leader until it ends.
// With the grants of all of them, the leader may act until the extension ends, provided that its
// lease has not expired before it got them. A controller grants an extension only when the store
// does not serve it either. A controller that was just started does not act until any extension that
// its earlier incarnation may have granted has ended.

// extensionDuration is how long an extension lasts.
const extensionDuration = 1500 * time.Millisecond

// storeCheckTimeout bounds the check of the store before an extension is granted.
const storeCheckTimeout = 300 * time.Millisecond

// extensionGrants records until when this controller must not act as the leader because it has
// granted extensions to another one.
type extensionGrants struct {
	// semaphore has one slot, which is held while the other fields are used and while this
	// controller is being published as the leader.
	semaphore chan struct{}
	// grantedUntil is the end of the last extension granted.
	grantedUntil time.Time
	// holdsKey is true while this controller holds the leader key, whether or not it may act.
	holdsKey bool
}

func newExtensionGrants(grantedUntil time.Time) *extensionGrants {
	return &extensionGrants{semaphore: make(chan struct{}, 1), grantedUntil: grantedUntil}
}

func (g *extensionGrants) lock()   { g.semaphore <- struct{}{} }
func (g *extensionGrants) unlock() { <-g.semaphore }

// grant records an extension and reports whether it was granted.
func (g *extensionGrants) grant(duration time.Duration) bool {
	g.lock()
	defer g.unlock()
	if g.holdsKey {
		// The store has served this controller since the requesting one lost the key. Extensions
		// granted earlier still prevent this controller from acting. Further ones would let a
		// former leader that the store refuses lead for ever, while no controller could confirm
		// or write anything.
		return false
	}
	if expiry := time.Now().Add(duration); expiry.After(g.grantedUntil) {
		g.grantedUntil = expiry
	}
	return true
}

// setKeyHeld records that this controller holds the leader key.
func (g *extensionGrants) setKeyHeld() {
	g.lock()
	defer g.unlock()
	g.holdsKey = true
}

// setKeyReleased records that this controller no longer holds the leader key.
func (g *extensionGrants) setKeyReleased() {
	g.lock()
	defer g.unlock()
	g.holdsKey = false
}

// runIfNoActiveGrant calls action unless an extension that this controller has granted is active,
// and returns how long that remains active; zero or less: action was called. No extension is
// granted during the call.
func (g *extensionGrants) runIfNoActiveGrant(action func()) (remaining time.Duration) {
	g.lock()
	defer g.unlock()
	remaining = time.Until(g.grantedUntil)
	if remaining <= 0 {
		action()
	}
	return remaining
}

// GrantExtension answers another controller's request for an extension (the gRPC method Vouch of
// package peers). It reports whether this controller will not act as the leader for the duration.
func (e *Elector) GrantExtension(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 || duration > 2*extensionDuration {
		return false
	}
	if e.storeServes(ctx) {
		return false // the store can elect a leader
	}
	return e.grants.grant(duration)
}

// storeServes reports whether the store answers this controller now.
func (e *Elector) storeServes(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, err := e.store.List(ctx, kvstore.PriorityLease, LeaderKey, "", 1)
	return err == nil
}

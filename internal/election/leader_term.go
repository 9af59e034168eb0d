package election

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
)

// leaseState is how far the leader's lease is from being renewed.
type leaseState int

const (
	// leaseRenewed: the last renewal succeeded.
	leaseRenewed leaseState = iota
	// leaseNotRenewed: renewals fail, and the lease or an extension of it still holds.
	leaseNotRenewed
	// leadershipSuspended: renewals fail and the lease has expired. The term resumes if a
	// renewal succeeds after all.
	leadershipSuspended
)

// urgentRenewalInterval is the pause between renewals while the lease is short.
const urgentRenewalInterval = 150 * time.Millisecond

// leaderTerm is a term in which this controller holds the leader key. It keeps the lease and
// publishes until when this controller may act.
type leaderTerm struct {
	elector *Elector
	number  uint64
	leaseID uint64
	expiry  time.Time
	state   leaseState
	// extensionFailure is why the last request for an extension has not prolonged the lease.
	extensionFailure error
}

// newLeaderTerm returns the term of a lease that was requested at a moment.
func newLeaderTerm(e *Elector, number, lease uint64, requested time.Time) *leaderTerm {
	return &leaderTerm{
		elector: e, number: number, leaseID: lease,
		expiry:           e.lease.expiry(requested),
		extensionFailure: errNotRequested,
	}
}

// run renews the lease until it has expired at the store, the term is resigned, or ctx ends. While
// renewals fail the published view expires by itself.
func (t *leaderTerm) run(ctx context.Context) {
	t.elector.log.Info("leadership acquired", "leader_term", t.number)
	t.begin(ctx)
	for ctx.Err() == nil {
		if t.elector.awaitResignation(ctx, t.number, t.renewalInterval()) {
			t.stepDown(ctx)
			return
		}
		if err := t.renew(ctx); errors.Is(err, kvstore.ErrLeaseExpired) {
			t.elector.log.Info("leadership lost: lease expired", "leader_term", t.number)
			t.elector.view.publish(&View{})
			return
		}
	}
}

// view is what is published of the term while it lasts.
func (t *leaderTerm) view() *View {
	return &View{Leader: t.elector.self.Controller, Term: t.number, Elected: true, LeaseExpiry: t.expiry}
}

// begin publishes the term once every extension that this controller has granted is over.
func (t *leaderTerm) begin(ctx context.Context) {
	publish := func() { t.elector.view.publish(t.view()) }
	for ctx.Err() == nil {
		remaining := t.elector.grants.runIfNoActiveGrant(publish)
		if remaining <= 0 {
			return
		}
		transport.Pause(ctx, remaining)
	}
}

// renewalInterval is the pause before the next renewal.
func (t *leaderTerm) renewalInterval() time.Duration {
	if t.state != leaseRenewed || time.Until(t.expiry) < t.elector.lease.duration/2 {
		return urgentRenewalInterval
	}
	return t.elector.lease.duration / 4
}

// renew tries to renew the lease once. Once a renewal has failed, the peers are asked for an
// extension at the same time, since the renewal may take as long as an extension lasts.
func (t *leaderTerm) renew(ctx context.Context) error {
	var extension <-chan extensionResult
	if t.state == leaseNotRenewed {
		extension = t.elector.startExtensionRequest(ctx)
	}
	sent := time.Now()
	err := t.elector.store.RenewLease(ctx, t.leaseID)
	switch {
	case err == nil:
		t.applyRenewal(sent)
	case !errors.Is(err, kvstore.ErrLeaseExpired):
		t.handleRenewalFailure(err, extension)
	}
	return err
}

// applyRenewal publishes a renewal that was sent at a moment.
func (t *leaderTerm) applyRenewal(sent time.Time) {
	if t.state == leadershipSuspended {
		t.elector.log.Info("leadership resumed", "leader_term", t.number)
	}
	t.state = leaseRenewed
	t.expiry = t.elector.lease.expiry(sent)
	t.elector.view.publish(t.view())
}

// handleRenewalFailure records a failed renewal, takes the extension that was requested beside it, if any,
// and records the suspension once the lease has expired. View.IsLeader is false by then.
func (t *leaderTerm) handleRenewalFailure(err error, extension <-chan extensionResult) {
	if extension != nil {
		t.applyExtension(<-extension)
	}
	if t.state == leaseRenewed {
		t.elector.log.Info("lease renewal failed, requesting an extension from the peers", "leader_term", t.number, "error", err)
		t.state = leaseNotRenewed
	}
	if t.state == leaseNotRenewed && !time.Now().Before(t.expiry) {
		t.elector.log.Info("leadership suspended: lease not renewed in time", "leader_term", t.number, "reason", t.extensionFailure, "error", err)
		t.state = leadershipSuspended
	}
}

// applyExtension prolongs the lease by an extension that was granted before it ended. After a gap
// another controller may have led, so that an extension no longer counts.
func (t *leaderTerm) applyExtension(extension extensionResult) {
	t.extensionFailure = extension.err
	if extension.err != nil {
		return
	}
	if !time.Now().Before(t.expiry) {
		t.extensionFailure = errExtensionTooLate
		return
	}
	if extension.expiry.After(t.expiry) {
		t.expiry = extension.expiry
		t.elector.view.publish(t.view())
	}
}

// stepDown ends the term and its lease and yields to the others. This controller stops acting
// before the lease is revoked.
func (t *leaderTerm) stepDown(ctx context.Context) {
	t.elector.view.publish(&View{})
	t.elector.yield.recordResignation()
	if err := t.elector.store.RevokeLease(ctx, t.leaseID); err != nil {
		t.elector.log.Debug("lease not revoked, it expires by itself", "leader_term", t.number, "error", err)
	}
}

// Resign makes this controller give up a term of its own, so that another one leads. It does not
// wait: while an earlier request is not handled yet, this one is dropped.
func (e *Elector) Resign(term uint64) {
	select {
	case e.resignations <- term:
	default:
	}
}

// awaitResignation waits and reports whether a term was resigned meanwhile.
func (e *Elector) awaitResignation(ctx context.Context, term uint64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case resigned := <-e.resignations:
			if resigned == term {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

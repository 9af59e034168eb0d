package election

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
)

// leaseState is the state of the lease of a leader's term.
type leaseState int

const (
	// leaseRenewed means that the last renewal succeeded.
	leaseRenewed leaseState = iota
	// leaseNotRenewed means that renewals fail, but the lease or an extension has not expired.
	leaseNotRenewed
	// leadershipSuspended means that renewals fail and the lease has expired on this controller's
	// clock. The term resumes if a renewal succeeds after all.
	leadershipSuspended
)

// urgentRenewalInterval is the pause between renewals while they fail, or while less than half of
// the lease remains.
const urgentRenewalInterval = 150 * time.Millisecond

// leaderTerm is a term in which this controller holds the leader key. It renews the lease and
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

// newLeaderTerm returns the term that was won with a lease requested at the given time.
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

// view returns the view to publish while the term lasts.
func (t *leaderTerm) view() *View {
	return &View{Leader: t.elector.self.Controller, Term: t.number, Elected: true, LeaseExpiry: t.expiry}
}

// begin publishes the term once every extension that this controller has granted has ended.
func (t *leaderTerm) begin(ctx context.Context) {
	publish := func() { t.elector.view.publish(t.view()) }
	for ctx.Err() == nil {
		remaining := t.elector.grants.runIfNoActiveGrant(publish)
		if remaining <= 0 {
			t.elector.log.Info("leadership begins", "leader_term", t.number, "lease_remaining_s", time.Until(t.expiry).Seconds())
			return
		}
		transport.Pause(ctx, remaining)
	}
}

// renewalInterval returns the pause before the next renewal.
func (t *leaderTerm) renewalInterval() time.Duration {
	if t.state != leaseRenewed || time.Until(t.expiry) < t.elector.lease.duration/2 {
		return urgentRenewalInterval
	}
	return t.elector.lease.duration / 4
}

// renew tries to renew the lease once. After a renewal has failed, it also requests an extension
// from the peers at the same time, since the renewal may take as long as an extension lasts.
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

// applyRenewal sets and publishes the expiry of the lease after a renewal that was sent at the given
// time.
func (t *leaderTerm) applyRenewal(sent time.Time) {
	if t.state == leadershipSuspended {
		t.elector.log.Info("leadership resumed", "leader_term", t.number)
	}
	t.state = leaseRenewed
	t.expiry = t.elector.lease.expiry(sent)
	t.elector.view.publish(t.view())
}

// handleRenewalFailure records a failed renewal, applies the extension that was requested at the same
// time (nil: none), and records the suspension once the lease has expired. View.IsLeader is false by
// then.
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

// applyExtension prolongs the lease by an extension that was granted before the lease expired. After
// the expiry another controller may have led, so that a later extension must not be used.
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

// stepDown ends the term, revokes its lease and yields the candidacy to the others. This controller
// stops acting before the lease is revoked.
func (t *leaderTerm) stepDown(ctx context.Context) {
	t.elector.view.publish(&View{})
	t.elector.log.Info("leadership resigned", "leader_term", t.number)
	t.elector.yield.recordResignation()
	if err := t.elector.store.RevokeLease(ctx, t.leaseID); err != nil {
		t.elector.log.Debug("lease not revoked, it expires by itself", "leader_term", t.number, "error", err)
	}
}

// Resign requests that this controller resign a term of its own, so that another one leads. It does
// not block: while an earlier request is pending, this one is dropped.
func (e *Elector) Resign(term uint64) {
	select {
	case e.resignations <- term:
	default:
	}
}

// awaitResignation waits for the resignation of a term, for the given duration at most, and reports
// whether it was requested.
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

// Package election decides which controller leads. The leader is the node whose
// name stands in one key of the state service, attached to a lease that it
// renews; the key's version is its term. A leader counts its lease from the
// moment the renewal was sent, less clock drift and a margin, so that it stops
// acting before anybody else can begin.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// LeaderKey is where the leader's name stands.
const LeaderKey = "leader"

// holder is the value of Key.
type holder struct {
	Node string `json:"node"`
	Boot uint64 `json:"boot"`
}

// View is what a node knows of the leadership at one moment. It is never
// changed once published.
type View struct {
	Leader      string // "" when unknown
	Term        uint64 // the leader's term
	Elected     bool   // this node holds the key
	LeaseExpiry time.Time
}

// IsLeader tells whether this node may act as the leader at a moment.
func (v *View) IsLeader(now time.Time) bool { return v.Elected && now.Before(v.LeaseExpiry) }

// Store is the part of the state service that an election needs.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, under string, after uint64, wait time.Duration) (wire.WatchResponse, error)
}

// Elector takes part in elections for one node.
type Elector struct {
	node   string
	boot   uint64
	ttl    time.Duration
	margin time.Duration
	store  Store
	log    *slog.Logger
	view   atomic.Pointer[View]
	// changes tells of every change of leader or of this node's role. Its
	// reader must keep up; a view that was not read is replaced.
	changes chan *View

	// Peers grant extensions during outages of the state service; nil: nobody does.
	Peers Peers
	// Ready tells whether this node could decide at once if it were elected; nil: all are
	// alike. One that could not lets those that can stand first, for readyWait.
	Ready func() bool
	// turn is held by whoever publishes this node as the leader or makes a
	// promise not to be it, and by whoever looks at promised or won.
	turn     chan struct{}
	promised time.Time
	won      bool // the key is this node's, whether or not it may act yet

	resign chan uint64
	// Having resigned, this node lets the others go first until aside, unless
	// there has been no leader since vacant for a while.
	aside, vacant time.Time
	// asideUntil is until when this node was asked to let another one stand first, as
	// nanoseconds of the time of day.
	asideUntil atomic.Int64
	// firstUntil is until when it was asked to stand first, whatever else holds it back.
	firstUntil atomic.Int64
}

// YieldCandidacy has this node let another one stand first for a while.
func (e *Elector) YieldCandidacy(d time.Duration) { e.asideUntil.Store(time.Now().Add(d).UnixNano()) }

// CampaignNow has this node stand at once for a while, also if it has just resigned.
func (e *Elector) CampaignNow(d time.Duration) { e.firstUntil.Store(time.Now().Add(d).UnixNano()) }

// The times of giving way after a resignation.
const (
	standAside = 20 * time.Second
	giveWay    = 2 * time.Second
	readyWait  = 500 * time.Millisecond
)

// Resign has this node give up a term of its own, so that another node leads.
func (e *Elector) Resign(term uint64) {
	select {
	case e.resign <- term:
	default:
	}
}

// New makes an elector; Run starts it.
func New(node string, op settings.Operator, store Store, log *slog.Logger) *Elector {
	e := &Elector{
		node: node, boot: rand.Uint64(), ttl: op.LeaderLease, margin: op.LeaseMargin,
		store: store, log: log, changes: make(chan *View, 1), turn: make(chan struct{}, 1), resign: make(chan uint64, 1),
		// Our earlier life may have promised just before it ended.
		promised: time.Now().Add(extensionTime),
	}
	e.view.Store(&View{})
	return e
}

// View returns the latest view.
func (e *Elector) View() *View { return e.view.Load() }

// IsLeader tells whether this node may act as the leader of the given term now.
func (e *Elector) IsLeader(term uint64) bool {
	v := e.view.Load()
	return v.Term == term && v.IsLeader(time.Now())
}

// ViewChanges is where changes of leader or role are told, the newest only.
func (e *Elector) ViewChanges() <-chan *View { return e.changes }

func (e *Elector) publish(v *View) {
	old := e.view.Swap(v)
	if old.Elected == v.Elected && old.Term == v.Term && old.Leader == v.Leader {
		return
	}
	select {
	case <-e.changes:
	default:
	}
	e.changes <- v
}

// validUntil is the end of a lease whose renewal was sent at a moment. The
// service's clock may run faster than ours.
func (e *Elector) validUntil(sent time.Time) time.Time {
	return sent.Add(e.ttl - time.Duration(float64(e.ttl)*2*settings.Drift) - e.margin)
}

// Run takes part in elections until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.round(ctx); err != nil && ctx.Err() == nil {
			e.log.Debug("election round failed", "error", err)
			transport.Pause(ctx, 150*time.Millisecond+rand.N(100*time.Millisecond))
		}
	}
}

func (e *Elector) round(ctx context.Context) error {
	// The watch must begin at the service's present revision: the key's own may
	// be so old that the service no longer keeps what came after it, and each
	// round would end at once.
	page, err := e.store.List(ctx, kvstore.PriorityLease, LeaderKey, "", 1)
	if err != nil {
		return err
	}
	if len(page.Entries) == 0 || page.Entries[0].Key != LeaderKey {
		e.publish(&View{})
		if e.givesWay() {
			transport.Pause(ctx, 100*time.Millisecond)
			return nil
		}
		return e.stand(ctx)
	}
	e.vacant = time.Time{}
	entry := page.Entries[0]
	var h holder
	if err := json.Unmarshal(entry.Value, &h); err != nil {
		e.log.Error("leader key can't be read", "error", err)
	}
	if h.Node == e.node {
		// Either an earlier incarnation of this node, which is gone, or a
		// candidacy of ours whose outcome we did not learn and on which we
		// never acted. Nobody acts on this term: end it at once rather than
		// wait for its lease.
		e.log.Info("ending the lease of an earlier incarnation", "term", entry.Version)
		return e.store.RevokeLease(ctx, entry.Lease)
	}
	e.publish(&View{Leader: h.Node, Term: entry.Version})
	_, err = e.store.Watch(ctx, LeaderKey, page.Revision, 20*time.Second)
	if errors.Is(err, kvstore.ErrCompacted) {
		return nil
	}
	return err
}

// givesWay tells whether others are to stand first while nobody leads.
func (e *Elector) givesWay() bool {
	now := time.Now()
	if e.vacant.IsZero() {
		e.vacant = now
	}
	if now.UnixNano() < e.firstUntil.Load() {
		return false
	}
	if e.Ready != nil && !e.Ready() && now.Sub(e.vacant) < readyWait {
		return true
	}
	asked := now.UnixNano() < e.asideUntil.Load()
	return (asked || !now.After(e.aside)) && now.Sub(e.vacant) < giveWay
}

func (e *Elector) stand(ctx context.Context) error {
	sent := time.Now()
	lease, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		return err
	}
	value, err := json.Marshal(holder{Node: e.node, Boot: e.boot})
	if err != nil {
		return err
	}
	ok, answer, err := e.store.CompareAndSwap(ctx, kvstore.PriorityLease, wire.CompareAndSwap{
		Conditions: []wire.Condition{{Key: LeaderKey}},
		Changes:    []wire.Change{{Set: LeaderKey, Value: value, Lease: lease}},
	})
	if err != nil || !ok {
		// Whatever became of the candidacy, without its lease it is void.
		if end := e.store.RevokeLease(ctx, lease); end != nil {
			e.log.Debug("candidate's lease not ended", "error", end)
		}
		return err
	}
	e.vacant = time.Time{}
	e.hold(true)
	defer e.hold(false)
	e.lead(ctx, answer.Revision, lease, sent)
	return nil
}

// resigned waits for a while and tells whether this term is to be given up.
func (e *Elector) resigned(ctx context.Context, term uint64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case t := <-e.resign:
			if t == term {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// stepDown ends a term and its lease, and lets the others stand first. Nothing more is
// done in the term before its lease is ended.
func (e *Elector) stepDown(ctx context.Context, term, lease uint64) {
	e.publish(&View{})
	e.aside = time.Now().Add(standAside)
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.Debug("lease not ended, it will end by itself", "term", term, "error", err)
	}
}

// lead renews the lease until it is lost. While renewals fail the published
// view lapses by itself; if one succeeds again, the term resumes.
func (e *Elector) lead(ctx context.Context, term, lease uint64, sent time.Time) {
	e.log.Info("leading", "term", term)
	until := e.validUntil(sent)
	e.begin(ctx, &View{Leader: e.node, Term: term, Elected: true, LeaseExpiry: until})
	lapsed, extending, why := false, false, "nobody was asked"
	for ctx.Err() == nil {
		wait := e.ttl / 4
		if lapsed || extending || time.Until(until) < e.ttl/2 {
			wait = 150 * time.Millisecond
		}
		if e.resigned(ctx, term, wait) {
			e.stepDown(ctx, term, lease)
			return
		}
		// The others are asked while the renewal is tried once more, since it
		// may take as long as a promise holds.
		var extensions chan extension
		if extending && !lapsed {
			extensions = make(chan extension, 1)
			go func() { extensions <- e.askForExtension(ctx) }()
		}
		sent := time.Now()
		err := e.store.RenewLease(ctx, lease)
		if errors.Is(err, kvstore.ErrLeaseExpired) {
			e.log.Info("leadership lost: the lease has ended", "term", term)
			e.publish(&View{})
			return
		}
		if err != nil {
			if extensions != nil {
				v := <-extensions
				why = v.why
				if v.until.After(until) && time.Now().Before(until) {
					until = v.until
					e.publish(&View{Leader: e.node, Term: term, Elected: true, LeaseExpiry: until})
				}
			} else if !lapsed && !extending {
				e.log.Info("lease not renewed: asking the others for an extension", "term", term, "error", err)
			}
			extending = true
			if !lapsed && !time.Now().Before(until) {
				lapsed = true
				e.log.Info("leadership suspended: the lease can't be renewed", "term", term, "refused", why, "error", err)
			}
			continue
		}
		if lapsed {
			e.log.Info("leadership resumed", "term", term)
		}
		lapsed, extending = false, false
		until = e.validUntil(sent)
		e.publish(&View{Leader: e.node, Term: term, Elected: true, LeaseExpiry: until})
	}
}

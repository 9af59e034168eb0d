package kvstore

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/settings"
)

// maxWaiting bounds the requests of one priority that wait for their grant.
const maxWaiting = 400

// grant is one request that waits to be sent.
type grant struct {
	priority Priority
	writes   int
	ready    chan error
	ctx      context.Context
}

// pacer owns this node's share of the state service's rates. All requests for a grant come
// to it as messages; the most urgent that fits is granted first.
type pacer struct {
	incoming  chan *grant
	shares    chan float64
	penalties chan int      // requests that were refused for the rate, with their writes
	spent     chan struct{} // requests that were sent without a grant
	outcomes  chan bool     // whether a request was served
	log       *slog.Logger

	downSince time.Time // zero while the service serves us
	serving   atomic.Bool
	// limits are those that hold, next those that are announced, nil: none.
	limits   atomic.Pointer[Limits]
	next     *Limits
	tooFast  []time.Time // when writes were refused for the rate
	share    float64
	requests bucket
	writes   bucket
	queues   [priorities][]*grant
}

// bucket is a token bucket that holds at most one second's worth.
type bucket struct {
	level float64
}

func (b *bucket) refill(rate float64, d time.Duration) {
	b.level = min(b.level+rate*d.Seconds(), rate)
}

func newPacer(l settings.StateLimits, share float64, log *slog.Logger) *pacer {
	p := &pacer{
		incoming: make(chan *grant), shares: make(chan float64), penalties: make(chan int),
		spent:    make(chan struct{}, 8),
		outcomes: make(chan bool, 64), log: log,
		share: share,
	}
	p.limits.Store(limitsOf(l))
	if l.Next != nil {
		p.next = limitsOf(*l.Next)
	}
	p.serving.Store(true)
	return p
}

func (p *pacer) wait(ctx context.Context, pr Priority, writes int) error {
	g := &grant{priority: pr, writes: writes, ready: make(chan error, 1), ctx: ctx}
	select {
	case p.incoming <- g:
	case <-ctx.Done():
		return ErrOverloaded
	}
	select {
	case err := <-g.ready:
		return err
	case <-ctx.Done():
		return ErrOverloaded
	}
}

func (p *pacer) penalise(writes int) { p.penalties <- writes }

// fallen tells whether the limits that were announced have come.
func (p *pacer) fallen() bool { return p.next != nil && p.limits.Load() == p.next }

// fall has the limits that were announced hold from now on.
func (p *pacer) fall(why string) {
	if p.next == nil || p.limits.Swap(p.next) == p.next {
		return
	}
	p.log.Info("the state service's limits have fallen as announced", "why", why, "value_bytes", p.next.ValueBytes, "ops", p.next.MaxChanges, "write_rps", p.next.WriteRPS)
}

// rates are this node's shares of the service's rates.
func (p *pacer) rates() (requests, writes float64) {
	l := p.limits.Load()
	return l.RPS * p.share, l.WriteRPS * p.share
}

// Now and then a write is refused for the rate though all keep to their shares, as
// when the leader changes. So many within so long show that the rate has fallen.
const (
	tooFastTimes  = 5
	tooFastWithin = 10 * time.Second
)

// refusedWrites notes that writes were refused for the rate.
func (p *pacer) refusedWrites(now time.Time) {
	p.tooFast = append(p.tooFast, now)
	for now.Sub(p.tooFast[0]) > tooFastWithin {
		p.tooFast = p.tooFast[1:]
	}
	if len(p.tooFast) >= tooFastTimes {
		p.fall("writes were refused for the rate")
		p.tooFast = nil
	}
}

// spend counts a request that was sent without a grant.
func (p *pacer) spend() {
	select {
	case p.spent <- struct{}{}:
	default:
	}
}

// note tells whether a request was served. Word of it may be dropped.
func (p *pacer) note(served bool) {
	select {
	case p.outcomes <- served:
	default:
	}
}

// judge logs the begin and the end of a time without service, once each.
func (p *pacer) judge(served bool, now time.Time) {
	p.serving.Store(served)
	switch {
	case !served && p.downSince.IsZero():
		p.downSince = now
		p.log.Info("the state service does not serve this node")
	case served && !p.downSince.IsZero():
		p.log.Info("the state service serves this node again", "seconds", now.Sub(p.downSince).Seconds())
		p.downSince = time.Time{}
	}
}

func (p *pacer) run(ctx context.Context) {
	last := time.Now()
	// The buckets start with a part of a second only: a node that was just
	// restarted does not know what it used a moment ago.
	rps, wps := p.rates()
	p.requests.level, p.writes.level = rps/4, wps/4
	timer := time.NewTimer(time.Hour)
	for {
		select {
		case g := <-p.incoming:
			if len(p.queues[g.priority]) >= maxWaiting {
				g.ready <- ErrOverloaded
				break
			}
			p.queues[g.priority] = append(p.queues[g.priority], g)
		case s := <-p.shares:
			p.share = s
		case <-p.spent:
			p.requests.level--
		case writes := <-p.penalties:
			p.requests.level, p.writes.level = 0, 0
			last = time.Now()
			if writes > 0 && !p.fallen() {
				p.refusedWrites(last)
			}
		case served := <-p.outcomes:
			p.judge(served, time.Now())
			continue
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		rps, wps := p.rates()
		p.requests.refill(rps, now.Sub(last))
		p.writes.refill(wps, now.Sub(last))
		last = now
		if d := p.serve(); d > 0 {
			timer.Reset(d)
		}
	}
}

// serve grants what fits and tells how long until the next could. A request that
// waits for writes holds up all later ones that write, but none that only reads:
// they take nothing that it waits for, and under a storm of submissions nobody's
// question would be answered otherwise.
func (p *pacer) serve() (wait time.Duration) {
	rps, wps := p.rates()
	writing := true // whether writes may still be granted
	for i := range p.queues {
		keep := p.queues[i][:0]
		for _, g := range p.queues[i] {
			if g.ctx.Err() != nil {
				continue
			}
			// A transaction larger than the bucket waits for a full one and
			// then leaves it in debt.
			needW := min(float64(g.writes), wps)
			lack := (1 - p.requests.level) / rps
			if needW > 0 {
				lack = max(lack, (needW-p.writes.level)/wps)
			}
			switch {
			case g.priority == PriorityLease:
				// Lease traffic may borrow: a lost lease costs more than a 429.
			case needW > 0 && !writing:
				keep = append(keep, g)
				continue
			case lack > 0:
				next := time.Duration(lack*float64(time.Second)) + time.Millisecond
				if wait == 0 || next < wait {
					wait = next
				}
				writing = writing && needW == 0
				keep = append(keep, g)
				continue
			}
			p.requests.level--
			p.writes.level -= float64(g.writes)
			g.ready <- nil
		}
		clear(p.queues[i][len(keep):])
		p.queues[i] = keep
	}
	return wait
}

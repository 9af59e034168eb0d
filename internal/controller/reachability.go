package controller

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"leadproxy/internal/election"
)

// A leader that has lost the workers, but neither the state service nor the
// other controllers, keeps its lease and can do little with it: its commands
// don't arrive, though reports come by way of others. Another node takes over
// within a second or two. So a leader to which no worker comes any more asks
// the others whether workers come to them, and gives its term up if they do.

// The times of the outlook.
const (
	reachabilityEvery = 500 * time.Millisecond
	minSilence        = 3 * time.Second // a shorter silence shows nothing
	reachabilityGrace = 8 * time.Second // a new leader has yet to be found
	minUnanswered     = 3               // fewer commands unanswered may be chance
)

// reachability watches whether workers still reach the leader.
type reachability struct {
	elector *election.Elector
	heard   *tally     // reports that have come straight here
	shared  *tally     // reports that others have forwarded here
	up      func() int // machines that should be reporting
	// unanswered is how many commands to workers in a row had no answer.
	unanswered func() int
	report     time.Duration
	peers      pinger
	log        *slog.Logger
}

// run watches until ctx ends.
func (o *reachability) run(ctx context.Context) {
	tick := time.NewTicker(reachabilityEvery)
	defer tick.Stop()
	term, since := uint64(0), time.Now()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		v := o.elector.View()
		if !v.IsLeader(time.Now()) || v.Term != term {
			term, since = v.Term, time.Now()
			continue
		}
		if time.Since(since) >= reachabilityGrace && o.lost(ctx, o.up()) {
			o.log.Info("workers reach another node but not this one: giving the term up", "term", term, "machines", o.up())
			o.elector.Resign(term)
		}
	}
}

// lost tells whether the workers, of which so many should be reporting, come to
// another node instead: enough of them, that it is not one that has lost its
// way.
func (o *reachability) lost(ctx context.Context, up int) bool {
	window := o.window(up)
	if up == 0 || o.heard.last(window) > 0 {
		return false
	}
	if o.shared.last(window) > 0 && o.unanswered() < minUnanswered {
		return false // all workers may just have come to the others
	}
	n := o.elsewhere(ctx, window)
	return n > 0 && n >= up/8
}

// window is how long a silence of all machines can't be chance: twenty reports
// should have come, or each machine's.
func (o *reachability) window(up int) time.Duration {
	return max(minSilence, min(20*o.report/time.Duration(max(up, 1)), o.report*3/2))
}

// elsewhere is how many reports have come to another node, the most that one of
// them tells.
func (o *reachability) elsewhere(ctx context.Context, window time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, pingLimit)
	defer cancel()
	counts := pingAll(ctx, o.peers, window)
	most := 0
	for range o.peers.Names() {
		most = max(most, <-counts)
	}
	return most
}

// tally counts what has happened in the last seconds.
type tally struct {
	began time.Time
	slots [32]struct{ second, count atomic.Int64 }
}

func newTally() *tally { return &tally{began: time.Now()} }

// second numbers the seconds, from 1.
func (t *tally) second() int64 { return int64(time.Since(t.began)/time.Second) + 1 }

// add counts one.
func (t *tally) add() {
	now := t.second()
	s := &t.slots[now%int64(len(t.slots))]
	if s.second.Swap(now) != now {
		s.count.Store(0)
	}
	s.count.Add(1)
}

// last counts what was added within a time, to the second and as far back as is
// remembered.
func (t *tally) last(within time.Duration) int {
	now := t.second()
	sum := int64(0)
	for i := range t.slots {
		if s := t.slots[i].second.Load(); s > 0 && now-s < int64(within/time.Second) {
			sum += t.slots[i].count.Load()
		}
	}
	return int(sum)
}

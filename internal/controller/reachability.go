package controller

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/election"
)

// A leader that the workers can't reach any more, but that still reaches the key-value store
// and the other controllers, keeps its lease and can do little with it: its commands don't
// arrive, though heartbeats come by way of others. Another controller takes over within a
// second or two. So a leader to which no worker comes any more asks the others whether
// workers come to them, and resigns if they do.

// The times and bounds of judging the reachability.
const (
	reachabilityInterval  = 500 * time.Millisecond
	minSilenceWindow      = 3 * time.Second // a shorter silence shows nothing
	reachabilityGrace     = 8 * time.Second // a new leader has yet to be found
	minUnansweredCommands = 3               // fewer commands unanswered may be chance
	// minMissedHeartbeats is how many heartbeats in a row can't fail to come by chance.
	minMissedHeartbeats = 20
	// lostMachinesDivisor is the part of the machines, as a divisor, that must come to another
	// controller: fewer may be workers that don't reach this one alone.
	lostMachinesDivisor = 8
)

// reachabilityMonitor watches whether workers still reach the leader.
type reachabilityMonitor struct {
	elector             *election.Elector
	directHeartbeats    *recentCounter // heartbeats that have come straight here
	forwardedHeartbeats *recentCounter // heartbeats that others have forwarded here
	expectedMachines    func() int     // machines that should be sending heartbeats
	unansweredCommands  func() int     // commands in a row that no worker has answered
	heartbeatInterval   time.Duration
	peers               pinger
	log                 *slog.Logger
}

// run watches until ctx ends.
func (m *reachabilityMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	term, since := uint64(0), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		view := m.elector.View()
		if !view.IsLeader(time.Now()) || view.Term != term {
			term, since = view.Term, time.Now()
			continue
		}
		if time.Since(since) >= reachabilityGrace && m.agentsUnreachable(ctx, m.expectedMachines()) {
			m.log.Info("workers reach another controller but not this one, resigning", "leader_term", term, "machines", m.expectedMachines())
			m.elector.Resign(term)
		}
	}
}

// agentsUnreachable reports whether the workers, of which so many should be sending heartbeats,
// come to another controller instead: enough of them that it is not a single one that can't
// reach this controller.
func (m *reachabilityMonitor) agentsUnreachable(ctx context.Context, machines int) bool {
	window := m.silenceWindow(machines)
	if machines == 0 || m.directHeartbeats.countWithin(window) > 0 {
		return false
	}
	if m.forwardedHeartbeats.countWithin(window) > 0 && m.unansweredCommands() < minUnansweredCommands {
		return false // all workers may just have come to the others
	}
	heartbeats := m.maxHeartbeatsAtPeer(ctx, window)
	return heartbeats > 0 && heartbeats >= machines/lostMachinesDivisor
}

// silenceWindow is how long a silence of all machines can't be chance: minMissedHeartbeats
// should have come, or one of each machine.
func (m *reachabilityMonitor) silenceWindow(machines int) time.Duration {
	return max(minSilenceWindow, min(minMissedHeartbeats*m.heartbeatInterval/time.Duration(max(machines, 1)), m.heartbeatInterval*3/2))
}

// maxHeartbeatsAtPeer is how many heartbeats have come to another controller, the most that one of
// them reports.
func (m *reachabilityMonitor) maxHeartbeatsAtPeer(ctx context.Context, window time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	counts := pingAll(ctx, m.peers, window)
	most := 0
	for range m.peers.Names() {
		most = max(most, <-counts)
	}
	return most
}

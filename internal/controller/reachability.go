package controller

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/election"
)

// A leader that agents can no longer reach, but that still reaches the key-value store and the
// other controllers, keeps its lease but can do little as the leader: its commands don't arrive,
// although heartbeats still arrive through other controllers. A successor takes over within one or
// two seconds. So a leader that no longer receives heartbeats directly asks the other controllers
// whether they do, and resigns in that case.

// Timing and thresholds of the reachability check.
const (
	reachabilityInterval  = 500 * time.Millisecond
	minSilenceWindow      = 3 * time.Second // a shorter silence proves nothing
	reachabilityGrace     = 8 * time.Second // agents need time to find a new leader
	minUnansweredCommands = 3               // fewer may be a coincidence
	// minMissedHeartbeats is the number of expected heartbeats whose absence is no coincidence.
	minMissedHeartbeats = 20
	// A leader resigns only if another controller receives heartbeats for at least one in
	// lostMachinesDivisor machines. Fewer may be single agents that can't reach the leader.
	lostMachinesDivisor = 8
)

// reachabilityMonitor checks whether agents can still reach this controller while it is the leader,
// and makes it resign if they can't.
type reachabilityMonitor struct {
	elector             *election.Elector
	directHeartbeats    *recentCounter // received from agents
	forwardedHeartbeats *recentCounter // received from other controllers
	expectedMachines    func() int     // machines that should be sending heartbeats
	unansweredCommands  func() int     // number of consecutive commands that no agent has answered
	heartbeatInterval   time.Duration
	peers               pinger
	log                 *slog.Logger
}

// run checks periodically until ctx ends.
func (m *reachabilityMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(reachabilityInterval)
	defer ticker.Stop()
	term, leaderSince := uint64(0), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		view := m.elector.View()
		if !view.IsLeader(time.Now()) || view.Term != term {
			term, leaderSince = view.Term, time.Now()
			continue
		}
		if time.Since(leaderSince) >= reachabilityGrace && m.agentsUnreachable(ctx, m.expectedMachines()) {
			m.log.Info("agents reach another controller but not this one, resigning", "leader_term", term, "machines", m.expectedMachines())
			m.elector.Resign(term)
		}
	}
}

// agentsUnreachable reports whether agents send their heartbeats to another controller because they
// can't reach this one. machines is the number of machines whose agents should be sending
// heartbeats. A few agents that can't reach this controller are not enough.
func (m *reachabilityMonitor) agentsUnreachable(ctx context.Context, machines int) bool {
	window := m.silenceWindow(machines)
	if machines == 0 || m.directHeartbeats.countWithin(window) > 0 {
		return false
	}
	if m.forwardedHeartbeats.countWithin(window) > 0 && m.unansweredCommands() < minUnansweredCommands {
		return false // commands are answered, so all agents may simply be using other controllers
	}
	heartbeats := m.maxHeartbeatsAtPeer(ctx, window)
	return heartbeats > 0 && heartbeats >= machines/lostMachinesDivisor
}

// silenceWindow returns the duration after which the silence of all agents is no coincidence:
// minMissedHeartbeats should have arrived, or at least one from each agent.
func (m *reachabilityMonitor) silenceWindow(machines int) time.Duration {
	return max(minSilenceWindow, min(minMissedHeartbeats*m.heartbeatInterval/time.Duration(max(machines, 1)), m.heartbeatInterval*3/2))
}

// maxHeartbeatsAtPeer returns the largest number of heartbeats that a single other controller has
// received from agents within the window; 0 if none responds.
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

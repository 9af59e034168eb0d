package scheduler

import "math"

// zoneCount is how many machines of a zone should be sending heartbeats, and how many of them
// are unreachable.
type zoneCount struct{ expected, unreachable int }

// updateZoneCounts takes the counts of the zones and of all machines.
func (a *agents) updateZoneCounts(zones []zoneCount, all zoneCount) {
	a.expectedAgents = all.expected
	a.detectPartitionedZones(zones, all)
}

// detectPartitionedZones notes which zones seem to be cut off. When a whole zone is unreachable at once,
// or most machines, the network between us and them has rather failed: they keep running, and
// deleting them would lose their work. When the network is restored, or their heartbeats come by
// another way, they return one by one.
func (a *agents) detectPartitionedZones(zones []zoneCount, all zoneCount) {
	for len(a.zonePartitionedAt) < len(zones) {
		a.zonePartitionedAt = append(a.zonePartitionedAt, math.MinInt64/2)
	}
	mostUnreachable := 2*all.unreachable > max(all.expected, 2)
	for i, z := range zones {
		if mostUnreachable || z.expected > 1 && z.unreachable == z.expected {
			a.zonePartitionedAt[i] = a.clock.now
		}
	}
}

// zonePartitioned tells whether a machine's zone seems to be cut off, or was a moment ago.
func (a *agents) zonePartitioned(m *machine) bool {
	return m.zone >= 0 && a.clock.now-a.zonePartitionedAt[m.zone] < 4*a.heartbeatInterval
}

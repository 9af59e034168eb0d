package scheduler

import "math"

// zoneCount counts the machines of a zone that should be sending heartbeats, and those of them
// whose agents are unreachable.
type zoneCount struct{ expected, unreachable int }

// updateZoneCounts sets the counts of each zone, by zone index, and of all machines.
func (a *agents) updateZoneCounts(zones []zoneCount, all zoneCount) {
	a.expectedAgents = all.expected
	a.detectPartitionedZones(zones, all)
}

// detectPartitionedZones records which zones seem to be partitioned from this controller. If a
// whole zone or most machines are unreachable at once, the network is more likely to have failed
// than the machines: they keep running, and deleting them would lose their tasks' progress. They
// become reachable one by one when the network is restored or their heartbeats take another route.
func (a *agents) detectPartitionedZones(zones []zoneCount, all zoneCount) {
	for len(a.zonePartitionedAt) < len(zones) {
		a.zonePartitionedAt = append(a.zonePartitionedAt, math.MinInt64/2)
	}
	mostUnreachable := 2*all.unreachable > max(all.expected, 2)
	for i, zone := range zones {
		if mostUnreachable || zone.expected > 1 && zone.unreachable == zone.expected {
			a.zonePartitionedAt[i] = a.clock.now
		}
	}
}

// zonePartitioned reports whether a machine's zone seems to be partitioned, or did within the last
// four heartbeat intervals.
func (a *agents) zonePartitioned(m *machine) bool {
	return m.zone >= 0 && a.clock.now-a.zonePartitionedAt[m.zone] < 4*a.heartbeatInterval
}

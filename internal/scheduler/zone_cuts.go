package scheduler

import "math"

// zoneCount is how many machines of a zone should be sending heartbeats, and how many of them
// are unreachable.
type zoneCount struct{ up, unreachable int }

// zonesCounted takes the counts of the zones and of all machines.
func (a *agents) zonesCounted(zones []zoneCount, all zoneCount) {
	a.expectedCount = all.up
	a.detectZoneCuts(zones, all)
}

// detectZoneCuts notes which zones seem to be cut off. When a whole zone is unreachable at once,
// or most machines, the network between us and them has rather failed: they keep running, and
// deleting them would lose their work. When the network is restored, or their heartbeats come by
// another way, they return one by one.
func (a *agents) detectZoneCuts(zones []zoneCount, all zoneCount) {
	for len(a.zoneCutAt) < len(zones) {
		a.zoneCutAt = append(a.zoneCutAt, math.MinInt64/2)
	}
	mostUnreachable := 2*all.unreachable > max(all.up, 2)
	for i, z := range zones {
		if mostUnreachable || z.up > 1 && z.unreachable == z.up {
			a.zoneCutAt[i] = a.clock.now
		}
	}
}

// zoneCutOff tells whether a machine's zone seems to be cut off, or was a moment ago.
func (a *agents) zoneCutOff(m *machine) bool {
	return m.zone >= 0 && a.clock.now-a.zoneCutAt[m.zone] < 4*a.heartbeatInterval
}

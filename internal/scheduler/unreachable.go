package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
)

// A new leader must assume that its predecessor has responded to every agent up to the end of
// its term, and waits a whole lease for those that it can't reach. When a zone is cut off and
// then the leader fails, that leaves all jobs with tasks in that zone waiting again from the
// start. So a leader records durably which agents are unreachable and when their leases must
// have expired. From then on it does not respond to such an agent until the record is withdrawn,
// as durably.

// unreachableAgents are the unreachable-agent records.
type unreachableAgents struct {
	records   []*unreachableRecord
	freeKeys  []string // keys that hold no record any more
	keyCount  int      // keys of this term so far
	nextCheck time.Duration
}

// unreachableRecord is one record, of several agents, under one key.
type unreachableRecord struct {
	key       string
	machines  []*machine
	withdrawn bool
}

// unreachableCheckInterval is how often unreachable agents are searched for.
const unreachableCheckInterval = 2 * time.Second

// recordUnreachable records the agents that have become unreachable and whose machines some
// job's tasks may be on.
func (c *Core) recordUnreachable() {
	// In an outage a record could not be withdrawn, and an agent that is reachable again would
	// lose its lease for want of a response.
	if c.clock.now < c.agents.unreachable.nextCheck || c.writes.stalled(unreachableCheckInterval) {
		return
	}
	c.agents.unreachable.nextCheck = c.clock.now + unreachableCheckInterval
	var silent []*machine
	for _, m := range c.machines.live {
		if m.agent.unreachable == nil && m.recorded.namedByJobs > 0 && m.state != machineGone && c.clock.now-max(m.agent.lastHeartbeat, c.clock.termStart, c.clock.tickingSince) > c.agents.unreachableAfter() {
			silent = append(silent, m)
		}
	}
	for len(silent) > 0 {
		names := make([]string, min(len(silent), ledger.HostsPerChunk))
		for i := range names {
			names[i] = silent[i].name
		}
		n := ledger.NamesThatFit(names, c.cfg.ValueBytes-unreachableRecordOverhead)
		c.writeUnreachable(silent[:n])
		silent = silent[n:]
	}
}

// unreachableRecordOverhead is the size of a record besides the machines' names.
const unreachableRecordOverhead = 64

func (c *Core) writeUnreachable(machines []*machine) {
	n := &unreachableRecord{key: c.agents.newRecordKey(), machines: machines}
	c.agents.unreachable.records = append(c.agents.unreachable.records, n)
	record := ledger.UnreachableRecord{}
	over := c.clock.termStart
	for _, m := range machines {
		m.agent.unreachable = n
		c.placement.indexChanged(m)
		over = max(over, m.agent.leaseExpiry)
		record.Machines = append(record.Machines, m.name)
	}
	record.LeaseExpiryMS = c.clock.wallMS + int64((over-c.clock.now)/time.Millisecond) + 1
	c.log.Info("recording unreachable machines", "machines", len(machines), "lease_expiry_s", (over - c.clock.now).Seconds())
	c.writes.put(ledger.Write{Key: n.key, Value: record})
}

// newRecordKey returns a key for a record, a free one if there is one. Keys are never deleted: a
// write of unknown outcome may yet be carried out, and where its key is missing, as it was
// before, it would restore a record that is withdrawn.
func (a *agents) newRecordKey() string {
	if n := len(a.unreachable.freeKeys); n > 0 {
		key := a.unreachable.freeKeys[n-1]
		a.unreachable.freeKeys = a.unreachable.freeKeys[:n-1]
		return key
	}
	a.unreachable.keyCount++
	return ledger.UnreachableKey(fmt.Sprintf("%d-%d", a.term, a.unreachable.keyCount))
}

// restoreUnreachable takes over the records of earlier leaders.
func (c *Core) restoreUnreachable(records map[string]ledger.UnreachableRecord) {
	// Both leaders' time of day may be off, in opposite directions.
	margin := time.Duration(2 * c.cfg.Platform.Facts.ClockErrorMS * float64(time.Millisecond))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		r := records[key]
		if len(r.Machines) == 0 {
			c.agents.unreachable.freeKeys = append(c.agents.unreachable.freeKeys, key)
			continue
		}
		n := &unreachableRecord{key: key}
		c.agents.unreachable.records = append(c.agents.unreachable.records, n)
		over := c.clock.now + settings.Stretch(time.Duration(r.LeaseExpiryMS-c.clock.wallMS)*time.Millisecond) + margin
		for _, name := range r.Machines {
			m := c.machineNamed(name)
			m.agent.unreachable = n
			m.agent.leaseExpiry = min(m.agent.leaseExpiry, over)
			n.machines = append(n.machines, m)
		}
	}
}

// withdrawRecordOf withdraws the record with a machine whose agent has sent something, and with
// it that of the others in it.
func (a *agents) withdrawRecordOf(m *machine) {
	if m.agent.unreachable != nil {
		a.withdrawRecord(m.agent.unreachable)
	}
}

func (a *agents) withdrawRecord(n *unreachableRecord) {
	if !n.withdrawn {
		n.withdrawn = true
		a.writes.put(ledger.Write{Key: n.key, Value: ledger.UnreachableRecord{}, Urgent: true, Tag: unreachableTag{n.key}})
	}
}

// unreachableWithdrawn notes that the withdrawal of a record is durable: its machines may get
// responses again.
func (c *Core) unreachableWithdrawn(key string) {
	i := slices.IndexFunc(c.agents.unreachable.records, func(n *unreachableRecord) bool { return n.key == key })
	if i < 0 {
		return
	}
	n := c.agents.unreachable.records[i]
	c.agents.unreachable.records = slices.Delete(c.agents.unreachable.records, i, i+1)
	c.agents.unreachable.freeKeys = append(c.agents.unreachable.freeKeys, key)
	for _, m := range n.machines {
		if m.agent.unreachable == n {
			m.agent.unreachable = nil
			c.placement.indexChanged(m)
		}
	}
	c.placement.needed = true
	held := c.commands.heldForUnreachable
	c.commands.heldForUnreachable = nil
	for _, a := range held {
		if !a.outdated {
			a.machine.commands.openResponse = len(c.commands.openResponses) + 1
		}
		c.commands.openResponses = append(c.commands.openResponses, a)
	}
}

// withdrawUseless withdraws the records that serve no job any more.
func (a *agents) withdrawUseless() {
	for _, n := range a.unreachable.records {
		if !slices.ContainsFunc(n.machines, func(m *machine) bool { return m.state != machineGone && m.recorded.namedByJobs > 0 }) {
			a.withdrawRecord(n)
		}
	}
}

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
	records     []*unreachableRecord
	freeKeys    []string // keys that hold no record any more
	keysCreated int      // keys of this term so far
	nextCheck   time.Duration
}

// unreachableRecord is one record, of several agents, under one key.
type unreachableRecord struct {
	key       string
	machines  []*machine
	withdrawn bool
}

// unreachableCheckInterval is how often unreachable agents are searched for.
const unreachableCheckInterval = 2 * time.Second

// recordUnreachable records the agents that have become unreachable, and keeps new tasks from
// their machines.
func (c *Core) recordUnreachable() {
	for _, m := range c.agents.recordUnreachable() {
		c.placement.markIndexStale(m)
	}
}

// recordUnreachable records the agents that have become unreachable and whose machines some
// job's tasks may be on. It returns those machines.
func (a *agents) recordUnreachable() []*machine {
	// In an outage a record could not be withdrawn, and an agent that is reachable again would
	// lose its lease for want of a response.
	if a.clock.now < a.unreachable.nextCheck || a.writes.stalled(unreachableCheckInterval) {
		return nil
	}
	a.unreachable.nextCheck = a.clock.now + unreachableCheckInterval
	var unreachable []*machine
	for _, m := range a.machines.live {
		if m.contact.unreachableRecord == nil && m.recorded.namedByJobs > 0 && m.state != machineGone && a.isUnreachable(m) {
			unreachable = append(unreachable, m)
		}
	}
	for rest := unreachable; len(rest) > 0; {
		names := make([]string, min(len(rest), ledger.HostsPerChunk))
		for i := range names {
			names[i] = rest[i].name
		}
		n := ledger.CountFittingNames(names, a.cfg.MaxValueBytes-unreachableRecordOverhead)
		a.writeUnreachableRecord(rest[:n])
		rest = rest[n:]
	}
	return unreachable
}

// isUnreachable tells whether an agent has sent no heartbeat for too long. Time in which this
// controller was suspended does not count.
func (a *agents) isUnreachable(m *machine) bool {
	return a.clock.now-max(m.agent.LastHeartbeat(), a.clock.termStart, a.clock.tickingSince) > a.unreachableTimeout()
}

// unreachableRecordOverhead is the size of a record besides the machines' names.
const unreachableRecordOverhead = 64

// writeUnreachableRecord writes one record.
func (a *agents) writeUnreachableRecord(machines []*machine) {
	n := &unreachableRecord{key: a.newRecordKey(), machines: machines}
	a.unreachable.records = append(a.unreachable.records, n)
	record := ledger.UnreachableRecord{}
	expiry := a.clock.termStart
	for _, m := range machines {
		m.contact.unreachableRecord = n
		expiry = max(expiry, m.agent.LeaseExpiry())
		record.Machines = append(record.Machines, m.name)
	}
	record.LeaseExpiryMS = a.clock.wallMS + int64((expiry-a.clock.now)/time.Millisecond) + 1
	a.log.Info("recording unreachable machines", "machines", len(machines), "lease_expiry_s", (expiry - a.clock.now).Seconds())
	a.writes.put(ledger.Write{Key: n.key, Value: record})
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
	a.unreachable.keysCreated++
	return ledger.UnreachableKey(fmt.Sprintf("%d-%d", a.term, a.unreachable.keysCreated))
}

// restoreUnreachableRecords takes over the records of earlier leaders.
func (c *Core) restoreUnreachableRecords(records map[string]ledger.UnreachableRecord) {
	for _, key := range slices.Sorted(maps.Keys(records)) {
		var machines []*machine
		for _, name := range records[key].Machines {
			machines = append(machines, c.findOrAddMachine(name))
		}
		c.agents.restoreUnreachableRecord(key, machines, records[key].LeaseExpiryMS)
	}
}

// restoreUnreachableRecord takes over a record of an earlier leader; without machines it is withdrawn, and
// its key free.
func (a *agents) restoreUnreachableRecord(key string, machines []*machine, leaseExpiryMS int64) {
	if len(machines) == 0 {
		a.unreachable.freeKeys = append(a.unreachable.freeKeys, key)
		return
	}
	n := &unreachableRecord{key: key, machines: machines}
	a.unreachable.records = append(a.unreachable.records, n)
	// Both leaders' time of day may be off, in opposite directions.
	margin := time.Duration(2 * a.cfg.Platform.Facts.ClockErrorMS * float64(time.Millisecond))
	expiry := a.clock.now + settings.Stretch(time.Duration(leaseExpiryMS-a.clock.wallMS)*time.Millisecond) + margin
	for _, m := range machines {
		m.contact.unreachableRecord = n
		m.agent.LimitLease(expiry)
	}
}

// withdrawRecordOf withdraws the record with a machine whose agent has sent something, and with
// it that of the others in it.
func (a *agents) withdrawRecordOf(m *machine) {
	if m.contact.unreachableRecord != nil {
		a.withdrawRecord(m.contact.unreachableRecord)
	}
}

func (a *agents) withdrawRecord(n *unreachableRecord) {
	if !n.withdrawn {
		n.withdrawn = true
		a.writes.put(ledger.Write{Key: n.key, Value: ledger.UnreachableRecord{}, Urgent: true, Tag: unreachableTag{n.key}})
	}
}

// handleUnreachableRecordWithdrawn notes that the withdrawal of a record is durable: its machines may get
// responses and tasks again.
func (c *Core) handleUnreachableRecordWithdrawn(key string) {
	machines, known := c.agents.removeWithdrawnRecord(key)
	if !known {
		return
	}
	for _, m := range machines {
		c.placement.markIndexStale(m)
	}
	c.placement.markNeeded()
	c.commands.queueResponsesToUnreachable()
}

// removeWithdrawnRecord removes a record whose withdrawal is durable, and returns the machines that it
// was about.
func (a *agents) removeWithdrawnRecord(key string) (machines []*machine, known bool) {
	i := slices.IndexFunc(a.unreachable.records, func(n *unreachableRecord) bool { return n.key == key })
	if i < 0 {
		return nil, false
	}
	n := a.unreachable.records[i]
	a.unreachable.records = slices.Delete(a.unreachable.records, i, i+1)
	a.unreachable.freeKeys = append(a.unreachable.freeKeys, key)
	for _, m := range n.machines {
		if m.contact.unreachableRecord == n {
			m.contact.unreachableRecord = nil
			machines = append(machines, m)
		}
	}
	return machines, true
}

// withdrawUnneededRecords withdraws the records that serve no job any more.
func (a *agents) withdrawUnneededRecords() {
	for _, n := range a.unreachable.records {
		if !slices.ContainsFunc(n.machines, func(m *machine) bool { return m.state != machineGone && m.recorded.namedByJobs > 0 }) {
			a.withdrawRecord(n)
		}
	}
}

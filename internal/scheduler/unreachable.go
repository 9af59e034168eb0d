package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
)

// A new leader must assume that its predecessor responded to every agent until the end of its term,
// so it waits a whole lease for the agents that it can't reach. If the leader fails after a zone
// was partitioned, that wait starts over for all jobs with tasks in the zone. So a leader durably
// records which agents are unreachable and when their leases must have expired. From then on it
// does not respond to these agents until the withdrawal of the record is durable.

// unreachableAgents holds the unreachable-agent records.
type unreachableAgents struct {
	records     []*unreachableRecord
	freeKeys    []string // keys whose records are withdrawn
	keysCreated int      // in this term
	nextCheck   time.Duration
}

// unreachableRecord is one durable record, stored under one key, of several unreachable agents.
type unreachableRecord struct {
	key       string
	machines  []*machine
	withdrawn bool
}

// unreachableCheckInterval is the interval between two searches for unreachable agents.
const unreachableCheckInterval = 2 * time.Second

// recordUnreachable durably records the agents that have become unreachable, and keeps new tasks
// from being placed on their machines.
func (c *Core) recordUnreachable() {
	for _, m := range c.agents.recordUnreachable() {
		c.placement.markIndexStale(m)
	}
}

// recordUnreachable durably records the agents that have become unreachable and whose machines are
// named as hosts in job records. It returns those machines.
func (a *agents) recordUnreachable() []*machine {
	// While the key-value store is unavailable a record could not be withdrawn, and an agent that
	// is reachable again would get no response and lose its lease.
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
		count := ledger.CountFittingNames(names, a.cfg.MaxValueBytes-unreachableRecordOverhead)
		a.writeUnreachableRecord(rest[:count])
		rest = rest[count:]
	}
	return unreachable
}

// isUnreachable reports whether no heartbeat of an agent was received for longer than
// unreachableTimeout. Time in which this controller was suspended does not count.
func (a *agents) isUnreachable(m *machine) bool {
	return a.clock.now-max(m.agent.LastHeartbeat(), a.clock.termStart, a.clock.tickingSince) > a.unreachableTimeout()
}

// unreachableRecordOverhead is the size in bytes of a record without the names of its machines.
const unreachableRecordOverhead = 64

// writeUnreachableRecord creates a record of the given machines and writes it to the ledger.
func (a *agents) writeUnreachableRecord(machines []*machine) {
	record := &unreachableRecord{key: a.newRecordKey(), machines: machines}
	a.unreachable.records = append(a.unreachable.records, record)
	value := ledger.UnreachableRecord{}
	expiry := a.clock.termStart
	for _, m := range machines {
		m.contact.unreachableRecord = record
		expiry = max(expiry, m.agent.LeaseExpiry())
		value.Machines = append(value.Machines, m.name)
	}
	value.LeaseExpiryMS = a.clock.wallMS + int64((expiry-a.clock.now)/time.Millisecond) + 1
	a.log.Info("recording unreachable agents", "machines", len(machines), "lease_expiry_s", (expiry - a.clock.now).Seconds())
	a.writes.put(ledger.Write{Key: record.key, Value: value})
}

// newRecordKey returns a key for a record, reusing a free one if there is one. Keys are never
// deleted: a write of unknown outcome may still be executed, and if its key were missing again, as
// the write expects, it would restore a withdrawn record.
func (a *agents) newRecordKey() string {
	if free := len(a.unreachable.freeKeys); free > 0 {
		key := a.unreachable.freeKeys[free-1]
		a.unreachable.freeKeys = a.unreachable.freeKeys[:free-1]
		return key
	}
	a.unreachable.keysCreated++
	return ledger.UnreachableKey(fmt.Sprintf("%d-%d", a.term, a.unreachable.keysCreated))
}

// restoreUnreachableRecords restores the records of earlier leaders from the ledger.
func (c *Core) restoreUnreachableRecords(records map[string]ledger.UnreachableRecord) {
	for _, key := range slices.Sorted(maps.Keys(records)) {
		var machines []*machine
		for _, name := range records[key].Machines {
			machines = append(machines, c.findOrAddMachine(name))
		}
		c.agents.restoreUnreachableRecord(key, machines, records[key].LeaseExpiryMS)
	}
}

// restoreUnreachableRecord restores a record of an earlier leader. A record without machines is
// withdrawn, and its key is free. leaseExpiryMS is a time of day in ms.
func (a *agents) restoreUnreachableRecord(key string, machines []*machine, leaseExpiryMS int64) {
	if len(machines) == 0 {
		a.unreachable.freeKeys = append(a.unreachable.freeKeys, key)
		return
	}
	record := &unreachableRecord{key: key, machines: machines}
	a.unreachable.records = append(a.unreachable.records, record)
	// The clocks of both leaders may be off, in opposite directions.
	margin := time.Duration(2 * a.cfg.Platform.Facts.ClockErrorMS * float64(time.Millisecond))
	expiry := a.clock.now + settings.WithDriftMargin(time.Duration(leaseExpiryMS-a.clock.wallMS)*time.Millisecond) + margin
	for _, m := range machines {
		m.contact.unreachableRecord = record
		m.agent.LimitLease(expiry)
	}
}

// withdrawRecordOf withdraws the record that names a machine, if any, because its agent is
// reachable again. This also applies to the other machines in the record.
func (a *agents) withdrawRecordOf(m *machine) {
	if m.contact.unreachableRecord != nil {
		a.withdrawRecord(m.contact.unreachableRecord)
	}
}

// withdrawRecord urgently overwrites a record with an empty one, once.
func (a *agents) withdrawRecord(record *unreachableRecord) {
	if !record.withdrawn {
		record.withdrawn = true
		a.writes.put(ledger.Write{Key: record.key, Value: ledger.UnreachableRecord{}, Urgent: true, Tag: unreachableTag{record.key}})
	}
}

// handleUnreachableRecordWithdrawn is called once the withdrawal of a record is durable: its
// machines may get responses and tasks again.
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

// removeWithdrawnRecord removes a record whose withdrawal is durable, and returns the machines that
// it named. known is false if there is no record with that key.
func (a *agents) removeWithdrawnRecord(key string) (machines []*machine, known bool) {
	i := slices.IndexFunc(a.unreachable.records, func(record *unreachableRecord) bool { return record.key == key })
	if i < 0 {
		return nil, false
	}
	record := a.unreachable.records[i]
	a.unreachable.records = slices.Delete(a.unreachable.records, i, i+1)
	a.unreachable.freeKeys = append(a.unreachable.freeKeys, key)
	for _, m := range record.machines {
		if m.contact.unreachableRecord == record {
			m.contact.unreachableRecord = nil
			machines = append(machines, m)
		}
	}
	return machines, true
}

// withdrawUnneededRecords withdraws the records none of whose machines is named as a host in a job
// record any more.
func (a *agents) withdrawUnneededRecords() {
	for _, record := range a.unreachable.records {
		if !slices.ContainsFunc(record.machines, func(m *machine) bool { return m.state != machineGone && m.recorded.namedByJobs > 0 }) {
			a.withdrawRecord(record)
		}
	}
}

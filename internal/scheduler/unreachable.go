package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
)

// A new leader must take it that its predecessor has answered every worker up
// to the end of its term, and waits a whole lease for those it can't hear. When
// a zone is cut off and then the leader ends, that leaves all jobs with tasks in
// that zone waiting again from the start. So a leader notes durably which
// machines are silent and when their leases must be over. From then on it does
// not answer such a machine until the note is withdrawn, as durably.

// unreachableAgents is what is noted of silent machines.
type unreachableAgents struct {
	records   []*unreachableRecord
	freeKeys  []string // keys that hold no note any more
	keyCount  int      // keys of this term so far
	nextCheck time.Duration
}

// unreachableRecord is one key of silent machines.
type unreachableRecord struct {
	key       string
	machines  []*machine
	withdrawn bool
}

// unreachableCheckInterval is how often silent machines are looked for.
const unreachableCheckInterval = 2 * time.Second

// recordUnreachable notes the machines that have fallen silent and that some job's
// tasks may be on.
func (c *Core) recordUnreachable() {
	// In an outage a note could not be withdrawn, and a machine that is back
	// would lose its lease for want of an answer.
	if c.now < c.unreachable.nextCheck || c.pendingWrites > 0 && c.now-c.lastDurableAt > unreachableCheckInterval {
		return
	}
	c.unreachable.nextCheck = c.now + unreachableCheckInterval
	var silent []*machine
	for _, m := range c.liveMachines {
		if m.unreachable == nil && m.namedByJobs > 0 && m.state != machineGone && c.now-max(m.lastHeartbeat, c.termStart, c.tickingSince) > c.unreachableAfter() {
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

// unreachableRecordOverhead is what a note takes besides the machines' names.
const unreachableRecordOverhead = 64

func (c *Core) writeUnreachable(machines []*machine) {
	n := &unreachableRecord{key: c.unreachableKey(), machines: machines}
	c.unreachable.records = append(c.unreachable.records, n)
	record := ledger.UnreachableRecord{}
	over := c.termStart
	for _, m := range machines {
		m.unreachable = n
		c.indexChanged(m)
		over = max(over, m.leaseExpiry)
		record.Machines = append(record.Machines, m.name)
	}
	record.LeaseExpiryMS = c.wall + int64((over-c.now)/time.Millisecond) + 1
	c.log.Info("noting silent machines", "machines", len(machines), "leases_over_in", (over - c.now).Seconds())
	c.put(ledger.Write{Key: n.key, Value: record})
}

// unreachableKey returns a key for a note, one that is free if there is. Keys are never
// deleted: a write of unknown outcome may yet be carried out, and where its key
// is missing, as it was before, it would bring back a note that is withdrawn.
func (c *Core) unreachableKey() string {
	if n := len(c.unreachable.freeKeys); n > 0 {
		key := c.unreachable.freeKeys[n-1]
		c.unreachable.freeKeys = c.unreachable.freeKeys[:n-1]
		return key
	}
	c.unreachable.keyCount++
	return ledger.UnreachableKey(fmt.Sprintf("%d-%d", c.term, c.unreachable.keyCount))
}

// restoreUnreachable takes over what earlier leaders have noted.
func (c *Core) restoreUnreachable(records map[string]ledger.UnreachableRecord) {
	// Both leaders' time of day may be off, in opposite directions.
	margin := time.Duration(2 * c.cfg.Platform.Facts.ClockErrorMS * float64(time.Millisecond))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		r := records[key]
		if len(r.Machines) == 0 {
			c.unreachable.freeKeys = append(c.unreachable.freeKeys, key)
			continue
		}
		n := &unreachableRecord{key: key}
		c.unreachable.records = append(c.unreachable.records, n)
		over := c.now + settings.Stretch(time.Duration(r.LeaseExpiryMS-c.wall)*time.Millisecond) + margin
		for _, name := range r.Machines {
			m := c.machineNamed(name)
			m.unreachable = n
			m.leaseExpiry = min(m.leaseExpiry, over)
			n.machines = append(n.machines, m)
		}
	}
}

// heardFrom notes a sign of life: what was noted of the machine, and of those noted
// with it, is withdrawn.
func (c *Core) heardFrom(m *machine) {
	if m.unreachable != nil {
		c.withdrawUnreachable(m.unreachable)
	}
}

func (c *Core) withdrawUnreachable(n *unreachableRecord) {
	if !n.withdrawn {
		n.withdrawn = true
		c.put(ledger.Write{Key: n.key, Value: ledger.UnreachableRecord{}, Urgent: true, Tag: unreachableTag{n.key}})
	}
}

// unreachableWithdrawn is told that a note is withdrawn durably: its machines may be
// answered again.
func (c *Core) unreachableWithdrawn(key string) {
	i := slices.IndexFunc(c.unreachable.records, func(n *unreachableRecord) bool { return n.key == key })
	if i < 0 {
		return
	}
	n := c.unreachable.records[i]
	c.unreachable.records = slices.Delete(c.unreachable.records, i, i+1)
	c.unreachable.freeKeys = append(c.unreachable.freeKeys, key)
	for _, m := range n.machines {
		if m.unreachable == n {
			m.unreachable = nil
			c.indexChanged(m)
		}
	}
	c.needsPlacement = true
	held := c.heldForUnreachable
	c.heldForUnreachable = nil
	for _, a := range held {
		if !a.outdated {
			a.machine.openAnswer = len(c.openAnswers) + 1
		}
		c.openAnswers = append(c.openAnswers, a)
	}
}

// dropUnreachable withdraws the notes that are of no use any more.
func (c *Core) dropUnreachable() {
	for _, n := range c.unreachable.records {
		if !slices.ContainsFunc(n.machines, func(m *machine) bool { return m.state != machineGone && m.namedByJobs > 0 }) {
			c.withdrawUnreachable(n)
		}
	}
}

// holdAnswerForUnreachable keeps the answer to a machine that is noted as silent until that is
// withdrawn.
func (c *Core) holdAnswerForUnreachable(a heldAnswer) bool {
	if a.machine.unreachable == nil {
		return false
	}
	a.machine.openAnswer = 0
	c.heldForUnreachable = append(c.heldForUnreachable, a)
	return true
}

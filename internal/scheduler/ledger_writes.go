package scheduler

import (
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
)

// The tags of ledger writes.
type (
	hostTag struct {
		job      int32
		from, to int
	}
	finishedTag struct {
		job   int32
		tasks []int32
	}
	terminalTag    struct{ job int32 }
	scaleOutTag    struct{ requestID string }
	unreachableTag struct{ key string }
	delegatedTag   struct {
		jobID  string
		record federation.DelegatedRecord
	}
)

// IsTag marks the tags for the ledger.
func (hostTag) IsTag()        {}
func (finishedTag) IsTag()    {}
func (terminalTag) IsTag()    {}
func (scaleOutTag) IsTag()    {}
func (unreachableTag) IsTag() {}
func (delegatedTag) IsTag()   {}

// handleRejectedWrite has what was too large for a value written in smaller pieces.
func (c *Core) handleRejectedWrite(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		c.jobs.requeueRejectedHosts(c.jobs.list[t.job])
	case finishedTag:
		c.jobs.queueFinishedTasks(c.jobs.list[t.job], t.tasks...)
	case terminalTag:
		j := c.jobs.list[t.job]
		c.log.Error("terminal job record exceeds the value limit", "job", j.id)
		c.jobs.writeTerminal(j, writeUrgent)
	case scaleOutTag:
		c.log.Error("scale-out record exceeds the value limit", "request", t.requestID)
	case planTag:
		c.plans.recordRejected(t)
	case delegatedTag:
		c.log.Error("transfer record exceeds the value limit", "job", t.jobID)
	}
}

// handleDurableWrite does what waits for a write to be durable.
func (c *Core) handleDurableWrite(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs.list[t.job]
		for _, host := range c.jobs.markHostsDurable(j, t) {
			c.sendPlannedStarts(j, c.machines.list[host])
		}
	case finishedTag:
		for _, n := range t.tasks {
			c.jobs.list[t.job].progress.markTaskDurable(n)
		}
	case terminalTag:
		c.handleTerminalDurable(c.jobs.list[t.job])
	case scaleOutTag:
		c.scaleOuts.recordDurable(t.requestID)
	case unreachableTag:
		c.handleUnreachableRecordWithdrawn(t.key)
	case planTag:
		c.plans.recordDurable(t)
	case delegatedTag:
		c.delegations.transfers.RecordSaved(t.jobID, t.record, c.clock.now)
		c.sendOriginEffects()
	}
}

// handleWritesDurable notes that writes are durable, and does what waits for each.
func (c *Core) handleWritesDurable(e WritesDurable) {
	c.writes.markDurable(len(e.Tags))
	for _, tag := range e.Tags {
		c.handleDurableWrite(tag)
	}
}

// handleWritesRejected notes that writes were not carried out, and replaces each.
func (c *Core) handleWritesRejected(e WritesRejected) {
	c.writes.markRejected(len(e.Tags))
	for _, tag := range e.Tags {
		c.handleRejectedWrite(tag)
	}
}

package scheduler

import (
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
)

// The tags of ledger writes. Each identifies what its write has made durable.
type (
	// hostTag is the tag of the hosts [from, to) of a job.
	hostTag struct {
		job      int32
		from, to int
	}
	// finishedTag is the tag of finished tasks of a job.
	finishedTag struct {
		job   int32
		tasks []int32
	}
	// terminalTag is the tag of the terminal state of a job.
	terminalTag struct{ job int32 }
	// scaleOutTag is the tag of the record of a scale-out.
	scaleOutTag struct{ requestID string }
	// unreachableTag is the tag of the withdrawal of an unreachable-agent record.
	unreachableTag struct{ key string }
	// delegatedTag is the tag of the record of a job delegated to another cell.
	delegatedTag struct {
		jobID  string
		record federation.DelegatedRecord
	}
)

// IsTag implements ledger.Tag.
func (hostTag) IsTag()        {}
func (finishedTag) IsTag()    {}
func (terminalTag) IsTag()    {}
func (scaleOutTag) IsTag()    {}
func (unreachableTag) IsTag() {}
func (delegatedTag) IsTag()   {}

// handleRejectedWrite handles a write whose value was too large. Hosts and finished tasks are written
// again, split into smaller values. The rejection of a terminal job record, a scale-out record or a
// transfer record is logged as an error.
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

// handleDurableWrite continues the operation that was waiting for a write to become durable.
func (c *Core) handleDurableWrite(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs.list[t.job]
		for _, host := range c.jobs.markHostsDurable(j, t) {
			c.sendPlannedStarts(j, c.machines.list[host])
		}
	case finishedTag:
		for _, task := range t.tasks {
			c.jobs.list[t.job].progress.markTaskDurable(task)
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

// handleWritesDurable records that writes are durable, and continues the operations that were
// waiting for them.
func (c *Core) handleWritesDurable(e WritesDurable) {
	c.writes.markDurable(len(e.Tags))
	for _, tag := range e.Tags {
		c.handleDurableWrite(tag)
	}
}

// handleWritesRejected records that writes were not carried out, and handles each of them.
func (c *Core) handleWritesRejected(e WritesRejected) {
	c.writes.markRejected(len(e.Tags))
	for _, tag := range e.Tags {
		c.handleRejectedWrite(tag)
	}
}

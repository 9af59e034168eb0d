package scheduler

import (
	"maps"

	"leadproxy/internal/federation"
)

// handleTransferListRequest lists the transfers for an operator.
func (c *Core) handleTransferListRequest(e TransferListRequest) {
	list := TransferListReply{ReplyTo: e.ReplyTo, Delegated: c.delegations.transfers.List(c.clock.now), Counts: maps.Clone(c.transferSteps.counts)}
	offered := map[string]float64{}
	for _, key := range c.foreign.transfers.Keys() {
		record, _ := c.foreign.transfers.Record(key)
		state, _ := c.foreignJobState(key)
		if record.State == federation.ForeignAccepted {
			list.Foreign = append(list.Foreign, ForeignView{Key: key, Record: record, State: state})
		}
	}
	for _, j := range c.jobs.active {
		if j.transfer.origin != "" && !j.ended() {
			offered[j.transfer.origin] += j.totalCores()
		}
	}
	for _, n := range c.neighbours.list {
		jobs, cores := c.delegations.delegatedTo(n)
		view := CellView{Name: n.Name, Draining: n.Draining, Unreachable: n.unreachable, Jobs: jobs, Cores: cores, ForeignCores: offered[n.Name]}
		if c.clock.now < n.creditExpiry {
			view.Credit = n.credit
		}
		list.Cells = append(list.Cells, view)
	}
	c.effects.emit(list)
}

// foreignJobState is the state of a foreign job.
func (c *Core) foreignJobState(key federation.ForeignKey) (federation.JobState, bool) {
	return localJobs{c}.ForeignJobState(key)
}

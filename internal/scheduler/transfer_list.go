package scheduler

import (
	"maps"

	"leadproxy/internal/federation"
)

// handleTransferListRequest lists the transfers and neighbours for an operator.
func (c *Core) handleTransferListRequest(request TransferListRequest) {
	reply := TransferListReply{ReplyTo: request.ReplyTo, Delegated: c.delegations.transfers.List(c.clock.now), Counts: maps.Clone(c.transferSteps.counts)}
	foreignCores := map[string]float64{}
	for _, key := range c.foreign.transfers.Keys() {
		record, _ := c.foreign.transfers.Record(key)
		state, _ := c.foreignJobState(key)
		if record.State == federation.ForeignAccepted {
			reply.Foreign = append(reply.Foreign, ForeignView{Key: key, Record: record, State: state})
		}
	}
	for _, j := range c.jobs.active {
		if j.transfer.origin != "" && !j.ended() {
			foreignCores[j.transfer.origin] += j.totalCores()
		}
	}
	for _, n := range c.neighbours.list {
		jobs, cores := c.delegations.delegatedTo(n)
		view := CellView{Name: n.Name, Draining: n.Draining, Unreachable: n.unreachable, Jobs: jobs, Cores: cores, ForeignCores: foreignCores[n.Name]}
		if c.clock.now < n.creditExpiry {
			view.Credit = n.credit
		}
		reply.Cells = append(reply.Cells, view)
	}
	c.effects.emit(reply)
}

// foreignJobState returns the state of a foreign job, or false if there is none.
func (c *Core) foreignJobState(key federation.ForeignKey) (federation.JobState, bool) {
	return localJobs{c}.ForeignJobState(key)
}

package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// restore takes a term's state over from the ledger and from what an earlier leader held in
// memory. Jobs come after machines that are gone, and all that refers to jobs after those.
func (c *Core) restore(s *ledger.Snapshot) {
	c.inherited.restore(c.cfg.SoftState)
	for _, name := range s.GoneMachines {
		m := c.findOrAddMachine(name)
		m.state = machineGone
		m.recorded.setGone(true)
	}
	for i := range s.Jobs {
		c.restoreJob(&s.Jobs[i])
	}
	c.restoreDependencies()
	for _, h := range s.ScaleOuts {
		c.restoreScaleOut(h)
	}
	c.restoreUnreachableRecords(s.Unreachable)
	c.restoreTransfers(s)
	c.plans.restore(s.Plans)
	c.agents.probeInheritedAddresses()
}

// restoreJob takes a job from the ledger at the start of a term.
func (c *Core) restoreJob(s *ledger.SavedJob) {
	if s.Record.Job == nil && s.Record.TerminalState == "" {
		// Ranges or hosts whose job record is missing: records are never
		// deleted, so there is nothing that could run.
		c.log.Error("ledger has keys of a job without a record", "job", s.ID)
		return
	}
	j := c.newJob(s.ID, s.Record, s.Version)
	if s.Record.Class != "" {
		accepted := c.clock.now - time.Duration(c.clock.wallMS-s.Record.AcceptedMS)*time.Millisecond
		c.demand.learnArrival(c.classIndex(s.Record.Class), c.teams.Index(s.Record.Team), accepted, s.Record.Cores, s.Record.RunS)
	}
	if j.spec == nil {
		// It is done; an earlier leader was stopped while it tidied up.
		c.jobs.deleteRestoredKeys(s)
		return
	}
	c.jobs.restoreFinished(j, s)
	c.restoreHosts(j, s.Hosts)
	if s.HostsUnknown {
		// Its tasks may be on unknown machines. Agents that live send heartbeats within a lease,
		// and what the others ran has ended by then.
		j.retry.delayUntil(c.clock.now + c.agents.lease)
	}
	if !hasDependencies(&s.Record) && j.transfer.origin == "" {
		c.demand.observeArrival(j)
	}
	switch {
	case j.ended():
		c.jobs.cleanUp(j)
	case j.progress.done == j.progress.total:
		c.finishJob(j, wire.JobDone)
	}
	c.placement.markNeeded()
}

// restoreHosts notes the machines that a job's tasks may be on. Until each has sent a heartbeat,
// or must have ended them, unseen tasks are neither placed again nor counted as free.
func (c *Core) restoreHosts(j *job, chunks []ledger.SavedHosts) {
	for _, chunk := range chunks {
		var machines []*machine
		for _, name := range chunk.Machines {
			machines = append(machines, c.findOrAddMachine(name))
		}
		c.jobs.restoreHosts(j, chunk.Chunk, machines)
	}
}

// resolveInDoubt resolves what an earlier leader started on a machine: its agent has listed all
// that runs, or all of it has ended.
func (c *Core) resolveInDoubt(m *machine, why string) {
	if len(m.recorded.inDoubtJobs) > 0 {
		c.log.Debug("earlier starts on a machine are resolved", "machine", m.name, "reason", why, "jobs", len(m.recorded.inDoubtJobs), "after", (c.clock.now - c.clock.termStart).Seconds())
	}
	for _, i := range m.recorded.takeInDoubt() {
		j := c.jobs.list[i]
		if !j.record.resolveInDoubt(m.index) {
			continue
		}
		c.placement.markNeeded()
		if j.ended() {
			c.jobs.cleanUp(j)
		}
	}
}

// restoreScaleOut continues an earlier leader's scale-out.
func (c *Core) restoreScaleOut(r ledger.ScaleOutRecord) {
	h := c.scaleOuts.restore(r)
	if r.Machines != nil {
		c.recordRentedMachines(h, r.Machines)
	}
}

package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// restore builds the term's state from the ledger snapshot and the soft state of an earlier leader.
// The order matters: gone machines are restored before the jobs that name them, and everything that
// refers to jobs after the jobs.
func (c *Core) restore(snapshot *ledger.Snapshot) {
	c.inherited.restore(c.cfg.SoftState)
	for _, name := range snapshot.GoneMachines {
		m := c.findOrAddMachine(name)
		m.state = machineGone
		m.recorded.setGone(true)
	}
	for i := range snapshot.Jobs {
		c.restoreJob(&snapshot.Jobs[i])
	}
	c.restoreDependencies()
	for _, record := range snapshot.ScaleOuts {
		c.restoreScaleOut(record)
	}
	c.restoreUnreachableRecords(snapshot.Unreachable)
	c.restoreTransfers(snapshot)
	c.plans.restore(snapshot.Plans)
	c.agents.probeInheritedAddresses()
}

// restoreJob restores a job from the ledger.
func (c *Core) restoreJob(saved *ledger.SavedJob) {
	if saved.Record.Job == nil && saved.Record.TerminalState == "" {
		// There are finished ranges or hosts, but no job record. Job records are never deleted,
		// so no task of such a job can be running.
		c.log.Error("ledger has keys of a job without a record", "job", saved.ID)
		return
	}
	j := c.newJob(saved.ID, saved.Record, saved.Version)
	if saved.Record.Class != "" {
		accepted := c.clock.now - time.Duration(c.clock.wallMS-saved.Record.AcceptedMS)*time.Millisecond
		c.demand.learnArrival(c.classIndex(saved.Record.Class), c.teams.Index(saved.Record.Team), accepted, saved.Record.Cores, saved.Record.RunS)
	}
	if j.spec == nil {
		// The job has ended; an earlier leader stopped before it had deleted all its keys.
		c.jobs.deleteRestoredKeys(saved)
		return
	}
	c.jobs.restoreFinished(j, saved)
	c.restoreHosts(j, saved.Hosts)
	if saved.HostsUnknown {
		// Its tasks may run on unknown machines. Within one lease, running agents get this term's
		// token, and all others have ended their tasks. Within another one, those agents list their
		// tasks with the token, or have ended them too.
		until := c.clock.now + 2*c.agents.lease
		j.record.setHostsUnknown(until)
		j.retry.delayUntil(until)
	}
	if !hasDependencies(&saved.Record) && j.transfer.origin == "" {
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

// restoreHosts restores the machines that a job's tasks may run on. Until each of them has sent a
// heartbeat or its lease has expired, the job's unreported tasks are not placed again, and the
// resources they may use do not count as free.
func (c *Core) restoreHosts(j *job, chunks []ledger.SavedHosts) {
	for _, chunk := range chunks {
		var machines []*machine
		for _, name := range chunk.Machines {
			machines = append(machines, c.findOrAddMachine(name))
		}
		c.jobs.restoreHosts(j, chunk.Chunk, machines)
	}
}

// resolveInDoubt marks the tasks that an earlier leader started on a machine as resolved: either
// its agent has listed all running tasks, or all of them have ended.
func (c *Core) resolveInDoubt(m *machine, reason string) {
	if len(m.recorded.inDoubtJobs) > 0 {
		c.log.Debug("starts of an earlier leader on a machine are resolved", "machine", m.name, "reason", reason, "jobs", len(m.recorded.inDoubtJobs), "after", (c.clock.now - c.clock.termStart).Seconds())
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

// restoreScaleOut restores a scale-out of an earlier leader and continues it.
func (c *Core) restoreScaleOut(record ledger.ScaleOutRecord) {
	scaleOut := c.scaleOuts.restore(record)
	if record.Machines != nil {
		c.recordRentedMachines(scaleOut, record.Machines)
	}
}

package scheduler

import (
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// restore takes a job from the ledger at the start of a term.
func (c *Core) restore(s *ledger.SavedJob) {
	if s.Record.Job == nil && s.Record.Terminal == "" {
		// Ranges or hosts whose job record is missing: records are never
		// deleted, so there is nothing that could run.
		c.log.Error("ledger has traces of a job without a record", "job", s.ID)
		return
	}
	j := c.newJob(s.ID, s.Record, s.Version)
	if s.Record.Class != "" {
		accepted := c.now - time.Duration(c.wall-s.Record.AcceptedMS)*time.Millisecond
		c.learnArrival(c.classOf(s.Record.Class), c.teamOf(s.Record.Team), accepted, s.Record.Cores, s.Record.RunS)
	}
	if j.spec == nil {
		// It is done; an earlier leader was stopped while it tidied up.
		for _, h := range s.Hosts {
			c.put(ledger.Write{Key: h.Key})
		}
		for _, f := range s.Finished {
			c.put(ledger.Write{Key: f.Key})
		}
		return
	}
	finished := 0
	for _, f := range s.Finished {
		j.finishedKey(f.Key)
		f.Ranges.Each(func(i int) {
			if n := f.Chunk*ledger.TasksPerChunk + i; n < len(j.tasks) && j.tasks[n].state != taskDurable {
				j.tasks[n].state = taskDurable
				finished++
			}
		})
	}
	// A cancelled job's record has the count as well, and the ranges may be
	// there still: counted twice they were more than its tasks, and no node
	// could begin a term.
	j.done = max(j.done, finished)
	j.fillWaiting()
	j.startedOnce = j.done > 0 || len(s.Hosts) > 0
	c.restoreHosts(j, s.Hosts)
	if s.HostsUnknown {
		// Its tasks may be on machines that nobody can name. Those that live report
		// within a lease, and what the others ran is over by then.
		j.notBefore = c.now + c.agentLease
	}
	if !waitsFor(&s.Record) && j.origin == "" {
		c.arrived(j)
	}
	switch {
	case j.over():
		c.settleJob(j)
	case j.done == j.total:
		c.finish(j, wire.JobDone)
	}
	c.needsPlacement = true
}

// restoreHosts notes the machines that a job's tasks may be on. Until each has
// been heard of, or must have ended them, unseen tasks are neither placed
// again nor taken for free.
func (c *Core) restoreHosts(j *job, chunks []ledger.SavedHosts) {
	for _, chunk := range chunks {
		// A key that is missing, as its deletion was under way, keeps its number.
		for len(j.hostChunks) <= chunk.Chunk {
			j.hostChunks = append(j.hostChunks, len(j.hosts))
		}
		c.restoreChunk(j, chunk.Machines)
	}
}

func (c *Core) restoreChunk(j *job, hosts []string) {
	for _, name := range hosts {
		m := c.machineNamed(name)
		if _, ok := j.hostAt[m.index]; ok {
			continue
		}
		j.hostAt[m.index] = len(j.hosts)
		j.hosts = append(j.hosts, host{machine: m.index, durable: true})
		j.hostsWritten = len(j.hosts)
		m.namedByJobs++
		if m.state == machineGone {
			continue
		}
		if j.inDoubtHosts == nil {
			j.inDoubtHosts = map[int32]bool{}
		}
		j.inDoubtHosts[m.index] = true
		m.inDoubtJobs = append(m.inDoubtJobs, j.index)
	}
}

// UnresolvedHosts is how many machines may still run what an earlier leader started there.
func (c *Core) UnresolvedHosts() int {
	n := 0
	for _, m := range c.liveMachines {
		if len(m.inDoubtJobs) > 0 {
			n++
		}
	}
	return n
}

// Machines is how many machines this term knows, up or coming.
func (c *Core) Machines() int { return c.machineCount() }

// Jobs is how many jobs this term knows.
func (c *Core) Jobs() int { return len(c.jobs) }

// resolveInDoubt ends the doubt about what an earlier leader started on m.
func (c *Core) resolveInDoubt(m *machine, why string) {
	if len(m.inDoubtJobs) > 0 {
		c.log.Debug("earlier starts on a machine are settled", "machine", m.name, "why", why, "jobs", len(m.inDoubtJobs), "after", (c.now - c.termStart).Seconds())
	}
	for _, i := range m.inDoubtJobs {
		j := c.jobs[i]
		delete(j.inDoubtHosts, m.index)
		if len(j.inDoubtHosts) == 0 {
			c.needsPlacement = true
			if j.over() {
				c.settleJob(j)
			}
		}
	}
	m.inDoubtJobs = nil
}

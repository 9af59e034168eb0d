package controller

import "time"

// markFaultsEnded tells the checker that there are no faults from now on.
func (c *cluster) markFaultsEnded() {
	<-c.faultFreeSince
	c.faultFreeSince <- time.Now()
}

// finish ends a test: without further faults, all accepted jobs must be served and the ledger must
// be cleaned up.
func (c *cluster) finish() {
	c.markFaultsEnded()
	c.awaitAllJobsEnded()
	c.users.Wait()
	c.await("all tasks ended", time.Minute, func() bool { running, _ := c.checker.TaskCounts(""); return running == 0 })
	c.awaitLedgerCleanup()
	c.reportViolations()
}

// awaitAllJobsEnded waits until all accepted jobs are done or cancelled.
func (c *cluster) awaitAllJobsEnded() {
	c.t.Helper()
	c.await("all jobs done or cancelled", 6*time.Minute, func() bool { return len(c.checker.OpenJobs()) == 0 })
	if open := c.checker.OpenJobs(); len(open) > 0 {
		c.t.Errorf("jobs neither done nor cancelled: %v", open)
	}
}

// awaitLedgerCleanup waits until the ledger holds only the records of ended jobs.
func (c *cluster) awaitLedgerCleanup() {
	c.t.Helper()
	c.await("cleanup of the ledger", time.Minute, func() bool {
		return c.store.Count("fin/")+c.store.Count("host/")+c.store.Count("cell/away/") == 0
	})
}

// reportViolations fails the test for each violated invariant, and for tasks that started after a
// confirmed cancellation, unless commands were delayed.
func (c *cluster) reportViolations() {
	c.t.Helper()
	for _, violation := range c.checker.Violations() {
		c.t.Error(violation)
	}
	if lateStarts := c.checker.LateStarts(); lateStarts > 0 && !c.commandsDelayed {
		c.t.Errorf("%d tasks started after a confirmed cancellation, although no command was delayed", lateStarts)
	}
}

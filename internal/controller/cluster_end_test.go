package controller

import "time"

// markFaultsEnded records that there are no faults from now on.
func (c *cluster) markFaultsEnded() {
	<-c.faultFreeSince
	c.faultFreeSince <- time.Now()
}

// finish ends a test: with the faults over, all that was accepted has to be
// served, and the ledger to be tidied up.
func (c *cluster) finish() {
	c.markFaultsEnded()
	c.awaitAllJobsEnded()
	c.users.Wait()
	c.await("all tasks gone", time.Minute, func() bool { running, _ := c.checker.TaskCounts(""); return running == 0 })
	c.awaitLedgerCleanup()
	c.reportViolations()
}

// awaitAllJobsEnded waits until all that was accepted is done or cancelled.
func (c *cluster) awaitAllJobsEnded() {
	c.t.Helper()
	c.await("all jobs over", 6*time.Minute, func() bool { return len(c.checker.OpenJobs()) == 0 })
	if open := c.checker.OpenJobs(); len(open) > 0 {
		c.t.Errorf("still open: %v", open)
	}
}

// awaitLedgerCleanup waits until the ledger holds nothing of jobs that are over but their records.
func (c *cluster) awaitLedgerCleanup() {
	c.t.Helper()
	c.await("the ledger tidied up", time.Minute, func() bool {
		return c.store.Count("fin/")+c.store.Count("host/")+c.store.Count("cell/away/") == 0
	})
}

// reportViolations reports the rules that were broken.
func (c *cluster) reportViolations() {
	c.t.Helper()
	for _, violation := range c.checker.Violations() {
		c.t.Error(violation)
	}
	if lateStarts := c.checker.LateStarts(); lateStarts > 0 && !c.commandsDelayed {
		c.t.Errorf("%d starts after a confirmed cancellation, none of them on its way for long", lateStarts)
	}
}

//go:build standby

package standby_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

var (
	maxFailovers = flag.Int("takeovers", 300, "how many leaders are killed or suspended")
	maxDuration  = flag.Duration("for", 40*time.Minute, "after which time no more leaders are killed or suspended")
)

// TestKillAndFreeze kills or suspends, at random, one leader after the other while users submit jobs
// all the time. Each task must complete once, and each new leader must make its first decision
// within five seconds of the previous leader's end. docs/operations-standby.md has the command.
func TestKillAndFreeze(t *testing.T) {
	program := fake.BuildController(t, "../..")
	d := newDeploymentWithJobs(t, 0, 12, true)
	for _, controller := range d.controllers {
		controller.Start(program)
	}
	fake.WaitFor(t, "the first term", 30*time.Second, func() bool { return len(d.loggedFailovers()) > 0 })
	stop := make(chan struct{})
	d.users.Go(func() {
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
				d.users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", k), 4, func(j *wire.Job) { j.EstimatedRunS = 2 }))
			}
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	var firstDecisions, ledgerKnown []float64
	fromStandby, late := 0, 0
	for began := time.Now(); len(firstDecisions) < *maxFailovers && time.Since(began) < *maxDuration; {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		var timings failoverTimings
		suspended := random.IntN(2) == 0
		if suspended {
			timings = d.suspendLeader()
		} else {
			timings = d.killLeader(program)
		}
		firstDecisions, ledgerKnown = append(firstDecisions, timings.firstDecisionAfterEnd), append(ledgerKnown, timings.ledgerKnown)
		if timings.fromStandby {
			fromStandby++
		}
		if timings.firstDecisionAfterEnd > 5 {
			late++
			t.Errorf("failover %d, leader suspended %v, from standby %v: first decision after %.2f s, want at most 5 s", len(firstDecisions), suspended, timings.fromStandby, timings.firstDecisionAfterEnd)
		}
	}
	close(stop)
	fake.WaitFor(t, "all jobs have ended", 2*time.Minute, func() bool { return len(d.checker.OpenJobs()) == 0 })
	d.users.Wait()
	d.checkCompletions()
	slices.Sort(firstDecisions)
	slices.Sort(ledgerKnown)
	percentile := func(values []float64, share float64) float64 { return values[int(share*float64(len(values)-1))] }
	t.Logf("%d failovers, %d on the standby's replica, %d late; first decision after the leader's end p50 %.2f, p90 %.2f, max %.2f s; ledger known after the term was won p50 %.3f, max %.3f s",
		len(firstDecisions), fromStandby, late, percentile(firstDecisions, 0.5), percentile(firstDecisions, 0.9), percentile(firstDecisions, 1), percentile(ledgerKnown, 0.5), percentile(ledgerKnown, 1))
	for reason, count := range d.countLedgerReads() {
		t.Logf("%d new leaders read the ledger from the store: %s", count, reason)
	}
	if t.Failed() {
		fake.KeepLogs(t, d.controllers)
	}
}

// ledgerReadPattern matches the line that a new leader logs when it can't use its standby's
// replica, with the reason.
var ledgerReadPattern = regexp.MustCompile(`reading the ledger from the store" leader_term=\d+ reason="([^"]*)`)

// countLedgerReads counts the new leaders that did not use their standby's replica, by reason.
func (d *deployment) countLedgerReads() map[string]int {
	reasons := map[string]int{}
	for _, controller := range d.controllers {
		for _, match := range ledgerReadPattern.FindAllStringSubmatch(controller.Log(), -1) {
			reasons[match[1]]++
		}
	}
	return reasons
}

// checkCompletions checks that each completed task completed once, according to the machines, and
// that the checker found no violations.
func (d *deployment) checkCompletions() {
	d.t.Helper()
	completed := fake.Completions(d.checker.TaskRuns())
	repeated := 0
	for task, n := range completed {
		if n != 1 {
			repeated++
			d.t.Errorf("task %s completed %d times, want once", task, n)
		}
	}
	for _, violation := range d.checker.Violations() {
		d.t.Error(violation)
	}
	d.t.Logf("%d tasks completed, %d more than once, %d task runs on machines", len(completed), repeated, len(d.checker.TaskRuns()))
}

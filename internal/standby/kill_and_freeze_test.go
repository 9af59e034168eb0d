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
	maxFailovers = flag.Int("takeovers", 300, "how many leaders are killed or frozen")
	maxDuration  = flag.Duration("for", 40*time.Minute, "when no more are, at the latest")
)

// TestKillAndFreeze kills and freezes leaders in turns, by chance, while a batch of jobs
// runs without end: each job is done once, and each successor decides within five seconds.
// docs/operations-standby.md has the command.
func TestKillAndFreeze(t *testing.T) {
	program := fake.BuildController(t, "../..")
	d := newDeploymentWithJobs(t, 0, 12, true)
	for _, n := range d.controllers {
		n.Start(program)
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
	var firsts, views []float64
	warm, late := 0, 0
	for began := time.Now(); len(firsts) < *maxFailovers && time.Since(began) < *maxDuration; {
		time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
		var p failoverTimings
		frozen := random.IntN(2) == 0
		if frozen {
			p = d.suspendLeader()
		} else {
			p = d.killLeader(program)
		}
		firsts, views = append(firsts, p.firstDecisionAfterEnd), append(views, p.ledgerKnown)
		if p.fromStandby {
			warm++
		}
		if p.firstDecisionAfterEnd > 5 {
			late++
			t.Errorf("takeover %d, frozen %v, warm %v: the first decision came after %.2f s", len(firsts), frozen, p.fromStandby, p.firstDecisionAfterEnd)
		}
	}
	close(stop)
	fake.WaitFor(t, "all jobs over", 2*time.Minute, func() bool { return len(d.checker.OpenJobs()) == 0 })
	d.users.Wait()
	d.checkCompletions()
	slices.Sort(firsts)
	slices.Sort(views)
	at := func(values []float64, share float64) float64 { return values[int(share*float64(len(values)-1))] }
	t.Logf("%d takeovers, %d on the standby's view, %d late; first decision after the leader's end p50 %.2f, p90 %.2f, most %.2f s; view p50 %.3f, most %.3f s",
		len(firsts), warm, late, at(firsts, 0.5), at(firsts, 0.9), at(firsts, 1), at(views, 0.5), at(views, 1))
	for why, n := range d.countLedgerReads() {
		t.Logf("%d took over by reading the ledger: %s", n, why)
	}
	if t.Failed() {
		fake.KeepLogs(t, d.controllers)
	}
}

var ledgerReadPattern = regexp.MustCompile(`reading the ledger" leader_term=\d+ reason="([^"]*)`)

// countLedgerReads counts why takeovers did not decide on the standby's view.
func (d *deployment) countLedgerReads() map[string]int {
	reasons := map[string]int{}
	for _, n := range d.controllers {
		for _, found := range ledgerReadPattern.FindAllStringSubmatch(n.Log(), -1) {
			reasons[found[1]]++
		}
	}
	return reasons
}

// checkCompletions sees to it that each task of each job has completed once, by what the machines
// did.
func (d *deployment) checkCompletions() {
	d.t.Helper()
	completed := fake.Completions(d.checker.TaskRuns())
	doubled := 0
	for task, n := range completed {
		if n != 1 {
			doubled++
			d.t.Errorf("%s was completed %d times", task, n)
		}
	}
	for _, broken := range d.checker.Violations() {
		d.t.Error(broken)
	}
	d.t.Logf("%d tasks completed, %d more than once, %d stays on machines", len(completed), doubled, len(d.checker.TaskRuns()))
}

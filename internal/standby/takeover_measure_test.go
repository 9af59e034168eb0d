//go:build measure

package standby_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// These tests measure how long a failover takes with real controllers on the loopback interface.
// docs/operations-standby.md has the commands.

const failoversPerCase = 4

// TestMeasureTakeover measures failovers by the number of jobs in the ledger, with and without
// standbys.
func TestMeasureTakeover(t *testing.T) {
	program := fake.BuildController(t, "../..")
	t.Log("| jobs | standby | ledger known s, each | first decision s, each | from the end of the leader to all hosts resolved s, each |")
	for _, jobs := range []int{1000, 10000, 50000} {
		for _, withStandby := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d jobs, standby %v", jobs, withStandby), func(t *testing.T) {
				d := newDeploymentWithJobs(t, jobs, 0, withStandby)
				for _, controller := range d.controllers {
					controller.Start(program)
				}
				fake.WaitFor(t, "the first term", 60*time.Second, func() bool { return len(d.loggedFailovers()) > 0 })
				var ledgerKnown, firstDecision, resolvedAfterEnd []string
				for range failoversPerCase {
					if withStandby {
						fake.WaitFor(t, "both standbys follow", 60*time.Second, func() bool { return d.countFollowing() == controllerCount-1 })
					} else {
						time.Sleep(3 * time.Second)
					}
					timings := d.killLeader(program)
					if timings.fromStandby != withStandby {
						t.Errorf("failover from the standby's replica: %v, want %v", timings.fromStandby, withStandby)
					}
					ledgerKnown, firstDecision, resolvedAfterEnd = append(ledgerKnown, fmt.Sprintf("%.3f", timings.ledgerKnown)), append(firstDecision, fmt.Sprintf("%.3f", timings.firstDecision)), append(resolvedAfterEnd, fmt.Sprintf("%.2f", timings.resolvedAfterEnd))
				}
				t.Logf("| %d | %v | %s | %s | %s |", jobs, withStandby, strings.Join(ledgerKnown, ", "), strings.Join(firstDecision, ", "), strings.Join(resolvedAfterEnd, ", "))
			})
		}
	}
}

// TestMeasureWorkers measures failovers by the number of machines, all of which are busy, with and
// without standbys.
func TestMeasureWorkers(t *testing.T) {
	program := fake.BuildController(t, "../..")
	t.Log("| machines | standby | ledger known s, each | all hosts resolved s since the term was won, each | from the end of the leader to all hosts resolved s, each | max memory of a controller |")
	for _, machines := range []int{200, 1000, 2000} {
		for _, withStandby := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, standby %v", machines, withStandby), func(t *testing.T) {
				d := newDeployment(t, fake.DeploymentPlan{Machines: machines, HeartbeatInterval: 5 * time.Second, RunTime: func(string) time.Duration { return time.Hour }}, withStandby)
				for _, controller := range d.controllers {
					controller.LogLevel = "info"
					controller.Start(program)
				}
				for k := range 10 {
					d.users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", k), machines/10, func(j *wire.Job) { j.CPUs = 8 }))
				}
				fake.WaitFor(t, "all machines busy", 3*time.Minute, func() bool { on, _ := d.checker.TaskCounts(""); return on >= machines })
				var ledgerKnown, resolved, resolvedAfterEnd []string
				for range failoversPerCase {
					time.Sleep(8 * time.Second)
					timings := d.killLeader(program)
					ledgerKnown, resolved, resolvedAfterEnd = append(ledgerKnown, fmt.Sprintf("%.3f", timings.ledgerKnown)), append(resolved, fmt.Sprintf("%.2f", timings.resolved)), append(resolvedAfterEnd, fmt.Sprintf("%.2f", timings.resolvedAfterEnd))
				}
				t.Logf("| %d | %v | %s | %s | %s | %d MB |", machines, withStandby, strings.Join(ledgerKnown, ", "), strings.Join(resolved, ", "), strings.Join(resolvedAfterEnd, ", "), d.maxResidentBytes()>>20)
				for k := range 10 {
					d.users.Cancel(&wire.Job{ID: fmt.Sprintf("job-%06d", k)})
				}
				d.users.Wait()
			})
		}
	}
}

// maxResidentBytes returns the largest resident memory of a controller.
func (d *deployment) maxResidentBytes() (bytes int) {
	for _, controller := range d.controllers {
		bytes = max(bytes, controller.ResidentBytes())
	}
	return bytes
}

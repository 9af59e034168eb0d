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

// How long a takeover takes with real controllers on the loopback interface, by the number
// of jobs in the ledger. docs/operations-standby.md has the command.

const failoversPerCase = 4

// TestMeasureTakeover ends leaders, with and without a standby in turns.
func TestMeasureTakeover(t *testing.T) {
	program := fake.BuildController(t, "../..")
	t.Log("| jobs | standby | view s, each | decided s, each | from the end of the leader to all settled s, each |")
	for _, jobs := range []int{1000, 10000, 50000} {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d jobs, standby %v", jobs, warm), func(t *testing.T) {
				d := newDeploymentWithJobs(t, jobs, 0, warm)
				for _, n := range d.controllers {
					n.Start(program)
				}
				fake.WaitFor(t, "the first term", 60*time.Second, func() bool { return len(d.loggedFailovers()) > 0 })
				var views, decided, ending []string
				for range failoversPerCase {
					if warm {
						fake.WaitFor(t, "both standbys follow", 60*time.Second, func() bool { return d.countFollowing() == controllerCount-1 })
					} else {
						time.Sleep(3 * time.Second)
					}
					p := d.killLeader(program)
					if p.fromStandby != warm {
						t.Errorf("warm: %v, want %v", p.fromStandby, warm)
					}
					views, decided, ending = append(views, fmt.Sprintf("%.3f", p.ledgerKnown)), append(decided, fmt.Sprintf("%.3f", p.firstDecision)), append(ending, fmt.Sprintf("%.2f", p.resolvedAfterEnd))
				}
				t.Logf("| %d | %v | %s | %s | %s |", jobs, warm, strings.Join(views, ", "), strings.Join(decided, ", "), strings.Join(ending, ", "))
			})
		}
	}
}

// TestMeasureWorkers ends leaders of machines that all work, with and without a standby in
// turns.
func TestMeasureWorkers(t *testing.T) {
	program := fake.BuildController(t, "../..")
	t.Log("| machines | standby | view s, each | settled s since the term was won, each | from the end of the leader to all settled s, each | most memory of a controller |")
	for _, machines := range []int{200, 1000, 2000} {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d machines, standby %v", machines, warm), func(t *testing.T) {
				d := newDeployment(t, fake.DeploymentPlan{Machines: machines, HeartbeatInterval: 5 * time.Second, RunTime: func(string) time.Duration { return time.Hour }}, warm)
				for _, n := range d.controllers {
					n.LogLevel = "info"
					n.Start(program)
				}
				for k := range 10 {
					d.users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", k), machines/10, func(j *wire.Job) { j.CPUs = 8 }))
				}
				fake.WaitFor(t, "all machines at work", 3*time.Minute, func() bool { on, _ := d.checker.TaskCounts(""); return on >= machines })
				var views, settled, ending []string
				for range failoversPerCase {
					time.Sleep(8 * time.Second)
					p := d.killLeader(program)
					views, settled, ending = append(views, fmt.Sprintf("%.3f", p.ledgerKnown)), append(settled, fmt.Sprintf("%.2f", p.resolved)), append(ending, fmt.Sprintf("%.2f", p.resolvedAfterEnd))
				}
				t.Logf("| %d | %v | %s | %s | %s | %d MB |", machines, warm, strings.Join(views, ", "), strings.Join(settled, ", "), strings.Join(ending, ", "), d.maxResidentBytes()>>20)
				for k := range 10 {
					d.users.Cancel(&wire.Job{ID: fmt.Sprintf("job-%06d", k)})
				}
				d.users.Wait()
			})
		}
	}
}

// maxResidentBytes is the most that one of the controllers uses.
func (d *deployment) maxResidentBytes() (most int) {
	for _, n := range d.controllers {
		most = max(most, n.ResidentBytes())
	}
	return most
}

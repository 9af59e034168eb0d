//go:build measure || standby

package standby_test

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
)

const (
	unfinishedOneIn = 20 // one in this many jobs is unfinished
	controllerCount = 3
)

// failoverTimings are the timings in seconds of a failover, as the new leader logs them. A failover
// is resolved when no host is left on which an earlier leader may have started unknown tasks.
type failoverTimings struct {
	fromStandby                             bool
	ledgerKnown, firstDecision              float64 // since the term was won
	resolved                                float64 // since the term was won
	firstDecisionAfterEnd, resolvedAfterEnd float64 // since the old leader was killed or suspended
}

// failoverPattern matches the line that a new leader logs when its failover is complete, with its
// time and timings.
var failoverPattern = regexp.MustCompile(`time=(\S+) .*msg="failover completed" .*from_standby=(\w+) ledger_known_s=(\S+) first_decision_s=(\S+) resolved_s=(\S+)`)

// deployment has three controllers, and fakes of all other systems.
type deployment struct {
	t           *testing.T
	store       *fake.KVStore
	checker     *fake.Checker
	users       *fake.Users
	controllers []*fake.Process
}

// newDeploymentWithJobs makes a deployment whose ledger has a number of jobs.
func newDeploymentWithJobs(t *testing.T, jobs, machines int, withStandby bool) *deployment {
	t.Helper()
	d := newDeployment(t, fake.DeploymentPlan{Machines: machines, RunTime: func(string) time.Duration { return 2 * time.Second }}, withStandby)
	for i := range jobs {
		jobID := fmt.Sprintf("job-%08d", i)
		record := `{"accepted_ms":1796190522949,"fate":"done","tasks":16,"done":16,"ended_ms":1796190622949,"class":"c","team":"open","cores":16,"run_s":20}`
		if i%unfinishedOneIn == 0 {
			// The job depends on one that is never submitted, so that it never starts and the ledger
			// keeps its size.
			record = fmt.Sprintf(`{"job":{"ref":"%s","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":16,"vcpus":1,"gpus":0,"mem_gb":2,"bundle":"image","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":20,"snapshot_s":0,"flush_s":0,"due_s":600,"waits_on":["job-999999999"]},"accepted_ms":1796190522949}`, jobID)
		}
		d.store.Put("job/"+jobID, record)
	}
	return d
}

// newDeployment makes a deployment of three controllers, with or without standbys.
func newDeployment(t *testing.T, plan fake.DeploymentPlan, withStandby bool) *deployment {
	t.Helper()
	plan.Controllers, plan.Teams = controllerCount, []string{"open"}
	if withStandby {
		plan.OperatorSettings = "[standby]\nfollow = yes\nmax_mb = 256\nhints = yes\n"
	}
	d := fake.NewDeployment(t, plan)
	return &deployment{t: t, store: d.Store, checker: d.Checker, users: d.Users, controllers: d.Controllers}
}

// loggedFailovers returns the matches of failoverPattern in the controllers' logs so far.
func (d *deployment) loggedFailovers() (failovers [][]string) {
	for _, controller := range d.controllers {
		failovers = append(failovers, failoverPattern.FindAllStringSubmatch(controller.Log(), -1)...)
	}
	return failovers
}

// countFollowing counts the controllers whose last logged state of the standby is following.
func (d *deployment) countFollowing() (count int) {
	for _, controller := range d.controllers {
		log := controller.Log()
		start := strings.LastIndex(log, "msg=standby state=")
		if start >= 0 && strings.HasPrefix(log[start:], "msg=standby state=following") {
			count++
		}
	}
	return count
}

// waitForFailover waits until more failovers are logged than before, and returns the timings of the
// last one. ended is when the previous leader was killed or suspended.
func (d *deployment) waitForFailover(before int, ended time.Time) failoverTimings {
	d.t.Helper()
	fake.WaitFor(d.t, "a failover is logged", 60*time.Second, func() bool { return len(d.loggedFailovers()) > before })
	failovers := d.loggedFailovers()
	slices.SortFunc(failovers, func(a, b []string) int { return strings.Compare(a[1], b[1]) })
	last := failovers[len(failovers)-1]
	completed, err := time.Parse(time.RFC3339Nano, last[1])
	if err != nil {
		d.t.Fatal(err)
	}
	timings := failoverTimings{fromStandby: last[2] == "true", resolvedAfterEnd: completed.Sub(ended).Seconds()}
	for i, field := range []*float64{&timings.ledgerKnown, &timings.firstDecision, &timings.resolved} {
		if *field, err = strconv.ParseFloat(last[3+i], 64); err != nil {
			d.t.Fatal(err)
		}
	}
	timings.firstDecisionAfterEnd = timings.resolvedAfterEnd - timings.resolved + timings.firstDecision
	return timings
}

// killLeader kills the leader, waits until the failover is complete, and restarts the killed
// controller.
func (d *deployment) killLeader(program string) failoverTimings {
	d.t.Helper()
	leader := fake.Leader(d.store, d.controllers)
	before, ended := len(d.loggedFailovers()), time.Now()
	d.controllers[leader].Kill()
	timings := d.waitForFailover(before, ended)
	d.controllers[leader].Start(program)
	return timings
}

// suspendLeader suspends the leader until a second after the failover is complete.
func (d *deployment) suspendLeader() failoverTimings {
	d.t.Helper()
	leader := fake.Leader(d.store, d.controllers)
	before, ended := len(d.loggedFailovers()), time.Now()
	d.controllers[leader].Suspend()
	timings := d.waitForFailover(before, ended)
	time.Sleep(time.Second)
	d.controllers[leader].Resume()
	return timings
}

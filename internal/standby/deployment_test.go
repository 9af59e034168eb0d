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
	unfinishedOneIn = 20 // one in so many jobs is not over
	controllerCount = 3
)

// failoverTimings are what a new leader logs, in seconds, and how long after the old one's end.
type failoverTimings struct {
	fromStandby                             bool
	ledgerKnown, firstDecision              float64 // since the term was won
	resolved                                float64 // since the term was won
	firstDecisionAfterEnd, resolvedAfterEnd float64 // first decision and settled, since the old leader's end
}

var failoverPattern = regexp.MustCompile(`time=(\S+) .*msg="failover completed" .*from_standby=(\w+) ledger_known_s=(\S+) first_decision_s=(\S+) resolved_s=(\S+)`)

// deployment is three controllers over a ledger of many jobs.
type deployment struct {
	t           *testing.T
	store       *fake.KVStore
	checker     *fake.Checker
	users       *fake.Users
	controllers []*fake.Process
}

func newDeploymentWithJobs(t *testing.T, jobs, machines int, warm bool) *deployment {
	t.Helper()
	d := newDeployment(t, fake.DeploymentPlan{Machines: machines, RunTime: func(string) time.Duration { return 2 * time.Second }}, warm)
	for i := range jobs {
		jobID := fmt.Sprintf("job-%08d", i)
		record := `{"accepted_ms":1796190522949,"fate":"done","tasks":16,"done":16,"ended_ms":1796190622949,"class":"c","team":"open","cores":16,"run_s":20}`
		if i%unfinishedOneIn == 0 {
			// It waits for one that is never submitted, so that the size stays.
			record = fmt.Sprintf(`{"job":{"ref":"%s","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":16,"vcpus":1,"gpus":0,"mem_gb":2,"bundle":"image","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":20,"snapshot_s":0,"flush_s":0,"due_s":600,"waits_on":["job-999999999"]},"accepted_ms":1796190522949}`, jobID)
		}
		d.store.Put("job/"+jobID, record)
	}
	return d
}

// newDeployment makes a deployment of three controllers, with standbys or without.
func newDeployment(t *testing.T, plan fake.DeploymentPlan, warm bool) *deployment {
	t.Helper()
	plan.Controllers, plan.Teams = controllerCount, []string{"open"}
	if warm {
		plan.OperatorSettings = "[standby]\nfollow = yes\nmax_mb = 256\nhints = yes\n"
	}
	d := fake.NewDeployment(t, plan)
	return &deployment{t: t, store: d.Store, checker: d.Checker, users: d.Users, controllers: d.Controllers}
}

// loggedFailovers are the takeovers that the controllers have logged so far.
func (d *deployment) loggedFailovers() (lines [][]string) {
	for _, n := range d.controllers {
		lines = append(lines, failoverPattern.FindAllStringSubmatch(n.Log(), -1)...)
	}
	return lines
}

// countFollowing counts the controllers whose latest state of the standby is following.
func (d *deployment) countFollowing() (n int) {
	for _, c := range d.controllers {
		text := c.Log()
		at := strings.LastIndex(text, "msg=standby state=")
		if at >= 0 && strings.HasPrefix(text[at:], "msg=standby state=following") {
			n++
		}
	}
	return n
}

// waitForFailover waits for the takeover that follows a leader's end at a moment.
func (d *deployment) waitForFailover(before int, ended time.Time) failoverTimings {
	d.t.Helper()
	fake.WaitFor(d.t, "a takeover", 60*time.Second, func() bool { return len(d.loggedFailovers()) > before })
	lines := d.loggedFailovers()
	slices.SortFunc(lines, func(a, b []string) int { return strings.Compare(a[1], b[1]) })
	last := lines[len(lines)-1]
	at, err := time.Parse(time.RFC3339Nano, last[1])
	if err != nil {
		d.t.Fatal(err)
	}
	p := failoverTimings{fromStandby: last[2] == "true", resolvedAfterEnd: at.Sub(ended).Seconds()}
	for i, into := range []*float64{&p.ledgerKnown, &p.firstDecision, &p.resolved} {
		if *into, err = strconv.ParseFloat(last[3+i], 64); err != nil {
			d.t.Fatal(err)
		}
	}
	p.firstDecisionAfterEnd = p.resolvedAfterEnd - p.resolved + p.firstDecision
	return p
}

// changeLeader ends the leader, waits for what its successor logs, and starts it again.
func (d *deployment) killLeader(program string) failoverTimings {
	d.t.Helper()
	leader := fake.Leader(d.store, d.controllers)
	before, ended := len(d.loggedFailovers()), time.Now()
	d.controllers[leader].Kill()
	p := d.waitForFailover(before, ended)
	d.controllers[leader].Start(program)
	return p
}

// suspendLeader freezes the leader until its successor has begun, and a little longer.
func (d *deployment) suspendLeader() failoverTimings {
	d.t.Helper()
	leader := fake.Leader(d.store, d.controllers)
	before, ended := len(d.loggedFailovers()), time.Now()
	d.controllers[leader].Suspend()
	p := d.waitForFailover(before, ended)
	time.Sleep(time.Second)
	d.controllers[leader].Resume()
	return p
}

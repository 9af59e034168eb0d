//go:build drain

package rolloutservice_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/rolloutreport"
	"leadproxy/internal/rolloutservice"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

var reportFile = flag.String("html", "", "where to write the report of the rollout")

const (
	machineCount = 20 // machines
	teamBudget   = 2  // jobs
	taskRunTime  = 45 * time.Second
	// killInterval is longer than a new leader waits until it evicts tasks.
	killInterval = 40 * time.Second
)

// teams are the teams whose jobs run in turn.
var teams = []string{"settlement", "florist"}

// deployment is a deployment of real controllers, with fakes of the outside systems.
type deployment struct {
	*fake.Deployment
	t       *testing.T
	program string
	// submittedJobs counts the jobs.
	submittedJobs int
	// leaderKilledAt is when the leader was killed last, or when the plan was created.
	leaderKilledAt time.Time
	kills          int
}

// TestReplaceTwentyWorkers replaces twenty workers in steps, under load and with controllers
// killed. By what the workers observed, no team ever has more jobs stopped than its budget, and
// each task completes once. docs/operations-drain.md has the command.
func TestReplaceTwentyWorkers(t *testing.T) {
	d := startDeployment(t)
	for range machineCount {
		d.submitJob()
		time.Sleep(200 * time.Millisecond)
	}
	allRun := func() bool { running, _ := d.Checker.TaskCounts(""); return running >= 2*machineCount-2 }
	fake.WaitFor(t, "tasks on all machines", time.Minute, allRun)
	var old []string
	for _, w := range d.Cloud.Agents() {
		old = append(old, w.Name())
	}
	start := time.Now()
	d.createPlan(old)
	d.leaderKilledAt = start
	random := rand.New(rand.NewPCG(1, 1))
	for time.Since(start) < 12*time.Minute && !strings.Contains(d.statusText(), "finished") {
		d.submitJob()
		time.Sleep(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
		if time.Since(d.leaderKilledAt) > killInterval {
			d.restartLeader(time.Duration(random.IntN(5000)) * time.Millisecond)
		}
	}
	took := time.Since(start)
	if text := d.statusText(); !strings.Contains(text, "finished") {
		t.Errorf("after %s:\n%s", took, text)
		fake.KeepLogs(t, d.Controllers)
	}
	for _, w := range d.Cloud.Agents() {
		if slices.Contains(old, w.Name()) {
			t.Errorf("%s was not replaced", w.Name())
		}
	}
	fake.WaitFor(t, "all jobs over", 4*time.Minute, func() bool { return len(d.Checker.OpenJobs()) == 0 })
	d.Users.Wait()
	stopped := d.checkBudgets()
	completed := d.checkCompletions()
	for _, broken := range d.Checker.Violations() {
		t.Error(broken)
	}
	t.Logf("%d machines replaced in %s, %d controllers killed, %d tasks stopped, %d completed", len(old), took.Round(time.Second), d.kills, stopped, completed)
	if *reportFile != "" {
		d.writePage()
	}
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	program := fake.BuildController(t, "../..")
	operator := fmt.Sprintf("[standby]\nfollow = yes\nhints = yes\n[drain]\nenabled = yes\n[budget]\njobs = %d\nwindow_s = 3\n", teamBudget)
	d := fake.NewDeployment(t, fake.DeploymentPlan{Controllers: 3, Machines: 2 * machineCount, Teams: teams, RunTime: func(string) time.Duration { return taskRunTime }, OperatorSettings: operator})
	for _, n := range d.Controllers {
		n.Start(program)
	}
	return &deployment{Deployment: d, t: t, program: program}
}

// submitJob submits a job of one team after the other.
func (d *deployment) submitJob() {
	number := d.submittedJobs
	d.submittedJobs++
	d.Users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", number), 2, func(j *wire.Job) {
		j.Team, j.CPUs, j.EstimatedRunS, j.CheckpointIntervalS, j.CheckpointDurationS = teams[number%2], 4, taskRunTime.Seconds(), 5, 1
	}))
}

// createPlan creates a plan that replaces machines. An attempt whose answer was lost has created
// it.
func (d *deployment) createPlan(machines []string) {
	d.t.Helper()
	text := "[plan]\nname = winter\nmachines = " + strings.Join(machines, ", ") + "\nbatch = 25%\nwait_s = 300\nhealth_s = 300"
	fake.WaitFor(d.t, "the plan created", time.Minute, func() bool {
		_, err := rolloutservice.Create(d.t.Context(), transport.TCP{}, d.Platform, text)
		return err == nil || strings.Contains(err.Error(), "of that name")
	})
}

// restartLeader kills the leader's process and starts it again after a pause.
func (d *deployment) restartLeader(pause time.Duration) {
	d.leaderKilledAt = time.Now()
	d.kills++
	leader := fake.Leader(d.Store, d.Controllers)
	d.Controllers[leader].Kill()
	time.Sleep(pause)
	d.Controllers[leader].Start(d.program)
}

// checkBudgets checks that no team had more jobs stopped at once than its budget. It returns the
// number of stopped tasks.
func (d *deployment) checkBudgets() int {
	d.t.Helper()
	stops := fake.Interruptions(d.Checker.TaskRuns())
	for _, team := range teams {
		most := fake.MaxInterruptedJobs(stops, func(jobID string) bool { return d.Checker.Job(jobID).Team == team })
		if most > teamBudget {
			d.t.Errorf("%d jobs of team %s were stopped at once", most, team)
		}
		d.t.Logf("team %s: at most %d jobs stopped at once", team, most)
	}
	if len(stops) == 0 {
		d.t.Error("no task was evicted")
	}
	return len(stops)
}

// checkCompletions checks that no task was completed twice. It returns the number of completed
// tasks.
func (d *deployment) checkCompletions() int {
	d.t.Helper()
	completed := fake.Completions(d.Checker.TaskRuns())
	for task, n := range completed {
		if n > 1 {
			d.t.Errorf("%s was completed %d times", task, n)
		}
	}
	return len(completed)
}

// writePage writes the report of the controllers' logs.
func (d *deployment) writePage() {
	t := d.t
	t.Helper()
	var logs []string
	for _, n := range d.Controllers {
		file := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(file, []byte(n.Log()), 0o600); err != nil {
			t.Fatal(err)
		}
		logs = append(logs, file)
	}
	timeline, err := rolloutreport.ReadLogs(logs...)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := rolloutreport.WritePage(&out, timeline); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(*reportFile, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// statusText is the output of the status command.
func (d *deployment) statusText() string {
	list, err := rolloutservice.List(d.t.Context(), transport.TCP{}, d.Platform)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	if err := rolloutservice.WriteStatusTables(&b, list, time.Now()); err != nil {
		d.t.Error(err)
	}
	return b.String()
}

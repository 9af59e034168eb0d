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

var reportFile = flag.String("html", "", "file to write the HTML report of the rollout to")

const (
	machineCount = 20 // machines that the plan replaces
	teamBudget   = 2  // jobs of a team that may be disrupted at the same time
	taskRunTime  = 45 * time.Second
	// killInterval is the minimum time between two kills of a leader. It is longer than a new
	// leader waits before it evicts tasks.
	killInterval = 40 * time.Second
)

// teams are the teams that submit jobs, in turn.
var teams = []string{"settlement", "florist"}

// deployment is a deployment of real controllers with fakes of the external systems.
type deployment struct {
	*fake.Deployment
	t       *testing.T
	program string
	// submittedJobs is the number of jobs submitted so far.
	submittedJobs int
	// leaderKilledAt is when a leader was last killed or, before the first kill, when the plan was
	// created.
	leaderKilledAt time.Time
	kills          int
}

// TestReplaceTwentyWorkers replaces twenty machines in steps, under load, while leaders are killed.
// It guards against a leader that exceeds a disruption budget or runs a task twice because it does
// not know what its predecessor did: according to the agents, no team has more jobs stopped at the
// same time than its budget allows, and each task completes once. docs/operations-drain.md has the
// command.
func TestReplaceTwentyWorkers(t *testing.T) {
	d := startDeployment(t)
	for range machineCount {
		d.submitJob()
		time.Sleep(200 * time.Millisecond)
	}
	mostTasksRun := func() bool { running, _ := d.Checker.TaskCounts(""); return running >= 2*machineCount-2 }
	fake.WaitFor(t, "tasks on all machines", time.Minute, mostTasksRun)
	var oldMachines []string
	for _, agent := range d.Cloud.Agents() {
		oldMachines = append(oldMachines, agent.Name())
	}
	start := time.Now()
	d.createPlan(oldMachines)
	d.leaderKilledAt = start
	random := rand.New(rand.NewPCG(1, 1))
	for time.Since(start) < 12*time.Minute && !strings.Contains(d.statusText(), "finished") {
		d.submitJob()
		time.Sleep(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
		if time.Since(d.leaderKilledAt) > killInterval {
			d.restartLeader(time.Duration(random.IntN(5000)) * time.Millisecond)
		}
	}
	elapsed := time.Since(start)
	if text := d.statusText(); !strings.Contains(text, "finished") {
		t.Errorf("after %s:\n%s", elapsed, text)
		fake.KeepLogs(t, d.Controllers)
	}
	for _, agent := range d.Cloud.Agents() {
		if slices.Contains(oldMachines, agent.Name()) {
			t.Errorf("%s was not replaced", agent.Name())
		}
	}
	fake.WaitFor(t, "all jobs finished", 4*time.Minute, func() bool { return len(d.Checker.OpenJobs()) == 0 })
	d.Users.Wait()
	interruptions := d.checkBudgets()
	completed := d.checkCompletions()
	for _, violation := range d.Checker.Violations() {
		t.Error(violation)
	}
	t.Logf("%d machines replaced in %s, %d controllers killed, %d tasks stopped, %d completed", len(oldMachines), elapsed.Round(time.Second), d.kills, interruptions, completed)
	if *reportFile != "" {
		d.writePage()
	}
}

// startDeployment starts three controllers with the budget of each team and enough machines to
// replace all.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	program := fake.BuildController(t, "../..")
	operatorSettings := fmt.Sprintf("[standby]\nfollow = yes\nhints = yes\n[drain]\nenabled = yes\n[budget]\njobs = %d\nwindow_s = 3\n", teamBudget)
	d := fake.NewDeployment(t, fake.DeploymentPlan{Controllers: 3, Machines: 2 * machineCount, Teams: teams, RunTime: func(string) time.Duration { return taskRunTime }, OperatorSettings: operatorSettings})
	for _, controller := range d.Controllers {
		controller.Start(program)
	}
	return &deployment{Deployment: d, t: t, program: program}
}

// submitJob submits the next job. The teams take turns.
func (d *deployment) submitJob() {
	jobNumber := d.submittedJobs
	d.submittedJobs++
	d.Users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", jobNumber), 2, func(j *wire.Job) {
		j.Team, j.CPUs, j.EstimatedRunS, j.CheckpointIntervalS, j.CheckpointDurationS = teams[jobNumber%2], 4, taskRunTime.Seconds(), 5, 1
	}))
}

// createPlan creates a plan that replaces the machines. It retries, and accepts that the plan
// exists: an attempt whose response was lost may have created it.
func (d *deployment) createPlan(machines []string) {
	d.t.Helper()
	text := "[plan]\nname = winter\nmachines = " + strings.Join(machines, ", ") + "\nbatch = 25%\nwait_s = 300\nhealth_s = 300"
	fake.WaitFor(d.t, "the plan is created", time.Minute, func() bool {
		_, err := rolloutservice.Create(d.t.Context(), transport.TCP{}, d.Platform, text)
		return err == nil || strings.Contains(err.Error(), "of that name")
	})
}

// restartLeader kills the leader's process and restarts it after a pause.
func (d *deployment) restartLeader(pause time.Duration) {
	d.leaderKilledAt = time.Now()
	d.kills++
	leader := fake.Leader(d.Store, d.Controllers)
	d.Controllers[leader].Kill()
	time.Sleep(pause)
	d.Controllers[leader].Start(d.program)
}

// checkBudgets checks that no team had more jobs stopped at the same time than its budget allows.
// It returns how often tasks were stopped.
func (d *deployment) checkBudgets() int {
	d.t.Helper()
	interruptions := fake.Interruptions(d.Checker.TaskRuns())
	for _, team := range teams {
		maxStopped := fake.MaxInterruptedJobs(interruptions, func(jobID string) bool { return d.Checker.Job(jobID).Team == team })
		if maxStopped > teamBudget {
			d.t.Errorf("%d jobs of team %s were stopped at once, more than its budget", maxStopped, team)
		}
		d.t.Logf("team %s: at most %d jobs stopped at once", team, maxStopped)
	}
	if len(interruptions) == 0 {
		d.t.Error("no task was evicted")
	}
	return len(interruptions)
}

// checkCompletions checks that no task completed more than once. It returns the number of completed
// tasks.
func (d *deployment) checkCompletions() int {
	d.t.Helper()
	completed := fake.Completions(d.Checker.TaskRuns())
	for task, count := range completed {
		if count > 1 {
			d.t.Errorf("task %s completed %d times, want once", task, count)
		}
	}
	return len(completed)
}

// writePage writes the report of the controllers' logs to reportFile.
func (d *deployment) writePage() {
	t := d.t
	t.Helper()
	var logs []string
	for _, controller := range d.Controllers {
		file := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(file, []byte(controller.Log()), 0o600); err != nil {
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

// statusText returns the output of the status command, or the text of its error.
func (d *deployment) statusText() string {
	list, err := rolloutservice.List(d.t.Context(), transport.TCP{}, d.Platform)
	if err != nil {
		return err.Error()
	}
	var text strings.Builder
	if err := rolloutservice.WriteStatusTables(&text, list, time.Now()); err != nil {
		d.t.Error(err)
	}
	return text.String()
}

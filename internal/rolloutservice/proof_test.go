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

var page = flag.String("html", "", "where the report of the replacement is written")

const (
	replaced   = 20 // machines
	teamBudget = 2  // jobs
	taskRuns   = 45 * time.Second
	// killEvery is longer than a new leader waits until it moves jobs.
	killEvery = 40 * time.Second
)

// TestReplaceTwentyWorkers replaces twenty workers in steps, under load and with controllers
// killed. By what the workers saw, no team ever has more jobs stopped than its budget, and
// each task completes once. docs/operations-drain.md has the command.
func TestReplaceTwentyWorkers(t *testing.T) {
	program := fake.BuildController(t, "../..")
	teams := []string{"settlement", "florist"}
	d := fake.NewDeployment(t, fake.DeploymentPlan{Controllers: 3, Machines: 2 * replaced, Teams: teams, RunTime: func(string) time.Duration { return taskRuns },
		OperatorSettings: fmt.Sprintf("[standby]\nfollow = yes\nhints = yes\n[drain]\nenabled = yes\n[budget]\njobs = %d\nwindow_s = 3\n", teamBudget)})
	for _, n := range d.Controllers {
		n.Start(program)
	}
	submit := func(k int) {
		d.Users.Submit(fake.NewJob(fmt.Sprintf("job-%06d", k), 2, func(j *wire.Job) {
			j.Team, j.CPUs, j.EstimatedRunS, j.CheckpointIntervalS, j.CheckpointDurationS = teams[k%2], 4, taskRuns.Seconds(), 5, 1
		}))
	}
	for k := range replaced {
		submit(k)
		time.Sleep(200 * time.Millisecond)
	}
	working := func() bool { on, _ := d.Checker.On(""); return on >= 2*replaced-2 }
	fake.Await(t, "all machines at work", time.Minute, working)
	var old []string
	for _, w := range d.Cloud.Workers() {
		old = append(old, w.Name())
	}
	began := time.Now()
	create := func() bool {
		_, err := rolloutservice.Create(t.Context(), transport.TCP{}, d.Platform, "[plan]\nname = winter\nmachines = "+strings.Join(old, ", ")+"\nbatch = 25%\nwait_s = 300\nhealth_s = 300")
		return err == nil || strings.Contains(err.Error(), "of that name")
	}
	fake.Await(t, "the plan begun", time.Minute, create)
	random := rand.New(rand.NewPCG(1, 1))
	kills, killed := 0, began
	for next := replaced; time.Since(began) < 12*time.Minute && !strings.Contains(status(t, d), "finished"); next++ {
		submit(next)
		time.Sleep(time.Duration(1000+random.IntN(2000)) * time.Millisecond)
		if time.Since(killed) > killEvery {
			killed = time.Now()
			leader := fake.Leader(d.Store, d.Controllers)
			d.Controllers[leader].Kill()
			kills++
			time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
			d.Controllers[leader].Start(program)
		}
	}
	took := time.Since(began)
	if text := status(t, d); !strings.Contains(text, "finished") {
		t.Errorf("after %s:\n%s", took, text)
		fake.KeepLogs(t, d.Controllers)
	}
	for _, w := range d.Cloud.Workers() {
		if slices.Contains(old, w.Name()) {
			t.Errorf("%s is there", w.Name())
		}
	}
	fake.Await(t, "all jobs over", 4*time.Minute, func() bool { return len(d.Checker.Open()) == 0 })
	d.Users.Wait()
	stops := fake.Stops(d.Checker.Runs())
	for _, team := range teams {
		most := fake.MostStopped(stops, func(ref string) bool { return d.Checker.Job(ref).Team == team })
		if most > teamBudget {
			t.Errorf("%d jobs of team %s were stopped at once", most, team)
		}
		t.Logf("team %s: at most %d jobs stopped at once", team, most)
	}
	if len(stops) == 0 {
		t.Error("no task was moved")
	}
	for _, broken := range d.Checker.Broken() {
		t.Error(broken)
	}
	completed := fake.Completions(d.Checker.Runs())
	for task, n := range completed {
		if n > 1 {
			t.Errorf("%s was completed %d times", task, n)
		}
	}
	t.Logf("%d machines replaced in %s, %d controllers killed, %d tasks stopped, %d completed", len(old), took.Round(time.Second), kills, len(stops), len(completed))
	if *page != "" {
		writePage(t, d)
	}
}

// writePage writes the report from what the controllers have logged.
func writePage(t *testing.T, d *fake.Deployment) {
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
	if err := os.WriteFile(*page, out.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// status is what an operator sees.
func status(t *testing.T, d *fake.Deployment) string {
	list, err := rolloutservice.List(t.Context(), transport.TCP{}, d.Platform)
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	if err := rolloutservice.Write(&b, list, time.Now()); err != nil {
		t.Error(err)
	}
	return b.String()
}

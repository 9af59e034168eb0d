//go:build upgrade

package compat

import (
	"bytes"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/transport"
)

// deployment has controllers as real processes on the loopback interface, and fakes of the other
// systems in this process.
type deployment struct {
	t                  *testing.T
	store              *fake.KVStore
	cloud              *fake.Cloud
	checker            *fake.Checker
	users              *fake.Users
	recorder           *recorder
	controllers        []*fake.Process
	faultFreeSince     atomic.Pointer[time.Time] // since when there are no faults; nil: there are
	writeFaultInjector atomic.Pointer[fake.FaultInjector]
}

// buildProgram builds the program of a commit of the repository, or of the working tree with "", and returns
// its path.
func buildProgram(t *testing.T, commit string) string {
	t.Helper()
	dir := repositoryRoot
	if commit != "" {
		dir = t.TempDir()
		archive, err := exec.Command("git", "-C", repositoryRoot, "archive", commit).Output()
		if err != nil {
			t.Fatalf("reading %s from the history: %v", commit, err)
		}
		unpack := exec.Command("tar", "-x", "-C", dir)
		unpack.Stdin = bytes.NewReader(archive)
		if out, err := unpack.CombinedOutput(); err != nil {
			t.Fatalf("unpacking %s: %v: %s", commit, err, out)
		}
	}
	return fake.BuildController(t, dir)
}

// newDeploymentWithJobs starts everything but the controllers.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	network := transport.TCP{}
	d := &deployment{t: t, recorder: newRecorder()}
	d.checker = fake.NewChecker(t, fake.Limits{
		CancelDeadline: cancelDeadline, TeamCPULimits: map[string]float64{"tight": tightTeamCPULimit},
		MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second,
	})
	d.store = fake.NewKVStore(t, network, "127.0.0.1:0", d.injectWriteFault)
	public := fake.ReserveAddresses(t, controllerCount)
	d.users = fake.NewUsers(t, network, public, d.checker, 1)
	zones := []string{"a", "b", "c"}
	d.cloud = newCloud(t, public, zones, d.checker)
	d.addControllers(public, zones)
	go d.checkInvariants()
	return d
}

// injectWriteFault injects the fault that is set into transactions of the key-value store.
func (d *deployment) injectWriteFault(from string, r *http.Request) fake.InjectedFault {
	if inject := d.writeFaultInjector.Load(); inject != nil && r.URL.Path == "/txn" {
		return (*inject)(from, r)
	}
	return fake.InjectedFault{}
}

// checkInvariants has the checker check what time alone can violate, until the test ends.
func (d *deployment) checkInvariants() {
	for d.t.Context().Err() == nil {
		transport.Pause(d.t.Context(), time.Second)
		calm := time.Time{}
		if since := d.faultFreeSince.Load(); since != nil {
			calm = *since
		}
		d.checker.CheckInvariants(calm, d.cloud.FreeCapacity())
	}
}

// start starts a controller with a program.
func (d *deployment) start(i int, program string) {
	d.t.Helper()
	d.controllers[i].Start(program)
}

// startAll starts all controllers with a program and waits until there is a leader.
func (d *deployment) startAll(program string) {
	d.t.Helper()
	for i := range d.controllers {
		d.start(i, program)
	}
	d.await("a leader", 20*time.Second, func() bool { return d.leaderIndex() >= 0 })
}

// kill ends a controller's process without a signal that it could handle.
func (d *deployment) kill(i int) { d.controllers[i].Kill() }

// replace ends a controller and, after its downtime, starts it again with a program.
func (d *deployment) replace(i int, program string, downtime time.Duration) {
	d.t.Helper()
	d.kill(i)
	time.Sleep(downtime)
	d.start(i, program)
	d.await(controllerName(i)+" serves users", 20*time.Second, func() bool { return d.healthy(i) })
}

// healthy reports whether a controller serves users.
func (d *deployment) healthy(i int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.controllers[i].Platform.PublicAddr + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leaderIndex is the index of the controller that the key-value store names as the leader, or -1.
func (d *deployment) leaderIndex() int { return fake.Leader(d.store, d.controllers) }

func (d *deployment) await(what string, limit time.Duration, ok func() bool) {
	d.t.Helper()
	fake.WaitFor(d.t, what, limit, ok)
}

// awaitJobsAndCheck ends a test: without faults, all accepted jobs have to end, and no invariant may have been
// violated.
func (d *deployment) awaitJobsAndCheck() {
	d.t.Helper()
	now := time.Now()
	d.faultFreeSince.Store(&now)
	d.await("all jobs over", 2*time.Minute, func() bool { return len(d.checker.OpenJobs()) == 0 })
	if open := d.checker.OpenJobs(); len(open) > 0 {
		d.t.Errorf("still open: %v", open)
	}
	d.users.Wait()
	d.await("the ledger cleaned up", 30*time.Second, func() bool {
		return d.store.Count("fin/")+d.store.Count("host/") == 0
	})
	for _, violation := range d.checker.Violations() {
		d.t.Error(violation)
	}
	if d.t.Failed() {
		fake.KeepLogs(d.t, d.controllers)
	}
}

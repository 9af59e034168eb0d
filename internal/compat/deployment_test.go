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

// deployment runs controllers as real processes on the loopback interface, and fakes of the external
// systems in the test process.
type deployment struct {
	t                  *testing.T
	store              *fake.KVStore
	cloud              *fake.Cloud
	checker            *fake.Checker
	users              *fake.Users
	recorder           *recorder
	controllers        []*fake.Process
	faultFreeSince     atomic.Pointer[time.Time] // end of the last fault; nil while faults may be injected
	writeFaultInjector atomic.Pointer[fake.FaultInjector]
}

// buildProgram builds the controller of a commit, or of the working tree if commit is empty, and
// returns the path of the executable.
func buildProgram(t *testing.T, commit string) string {
	t.Helper()
	dir := repositoryRoot
	if commit != "" {
		dir = t.TempDir()
		archive, err := exec.Command("git", "-C", repositoryRoot, "archive", commit).Output()
		if err != nil {
			t.Fatalf("archive commit %s: %v", commit, err)
		}
		unpack := exec.Command("tar", "-x", "-C", dir)
		unpack.Stdin = bytes.NewReader(archive)
		if output, err := unpack.CombinedOutput(); err != nil {
			t.Fatalf("unpack the archive of commit %s: %v: %s", commit, err, output)
		}
	}
	return fake.BuildController(t, dir)
}

// newDeployment starts the fakes, the relays and the periodic check of invariants. The controllers are
// configured but not started.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	network := transport.TCP{}
	d := &deployment{t: t, recorder: newRecorder()}
	d.checker = fake.NewChecker(t, fake.Limits{
		CancelDeadline: cancelDeadline, TeamCPULimits: map[string]float64{"tight": tightTeamCPULimit},
		MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second,
	})
	d.store = fake.NewKVStore(t, network, "127.0.0.1:0", d.injectWriteFault)
	publicAddresses := fake.ReserveAddresses(t, controllerCount)
	d.users = fake.NewUsers(t, network, publicAddresses, d.checker, 1)
	zones := []string{"a", "b", "c"}
	d.cloud = newCloud(t, publicAddresses, zones, d.checker)
	d.addControllers(publicAddresses, zones)
	go d.checkInvariants()
	return d
}

// injectWriteFault returns the fault that writeFaultInjector, if set, injects into a transaction of the
// key-value store. Other requests get no fault.
func (d *deployment) injectWriteFault(from string, r *http.Request) fake.InjectedFault {
	if inject := d.writeFaultInjector.Load(); inject != nil && r.URL.Path == "/txn" {
		return (*inject)(from, r)
	}
	return fake.InjectedFault{}
}

// checkInvariants checks the invariants that the passing of time alone can violate, once a second until
// the test ends.
func (d *deployment) checkInvariants() {
	for d.t.Context().Err() == nil {
		transport.Pause(d.t.Context(), time.Second)
		faultFreeSince := time.Time{}
		if since := d.faultFreeSince.Load(); since != nil {
			faultFreeSince = *since
		}
		d.checker.CheckInvariants(faultFreeSince, d.cloud.FreeCapacity())
	}
}

// start starts controller i from the given executable.
func (d *deployment) start(i int, program string) {
	d.t.Helper()
	d.controllers[i].Start(program)
}

// startAll starts all controllers from the given executable and waits until there is a leader.
func (d *deployment) startAll(program string) {
	d.t.Helper()
	for i := range d.controllers {
		d.start(i, program)
	}
	d.await("a controller is the leader", 20*time.Second, func() bool { return d.leaderIndex() >= 0 })
}

// kill sends SIGKILL, which the process can't handle, to controller i.
func (d *deployment) kill(i int) { d.controllers[i].Kill() }

// replace kills controller i, starts it from the given executable after the downtime, and waits until
// it serves users.
func (d *deployment) replace(i int, program string, downtime time.Duration) {
	d.t.Helper()
	d.kill(i)
	time.Sleep(downtime)
	d.start(i, program)
	d.await(controllerName(i)+" serves users", 20*time.Second, func() bool { return d.healthy(i) })
}

// healthy reports whether controller i serves users.
func (d *deployment) healthy(i int) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.controllers[i].Platform.PublicAddr + "/healthz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leaderIndex returns the index of the controller that the key-value store names as the leader, or -1
// if there is none.
func (d *deployment) leaderIndex() int { return fake.Leader(d.store, d.controllers) }

func (d *deployment) await(description string, timeout time.Duration, condition func() bool) {
	d.t.Helper()
	fake.WaitFor(d.t, description, timeout, condition)
}

// awaitJobsAndCheck ends a test, which must have removed its faults. It fails the test unless all
// accepted jobs end, their task records are removed from the ledger, and no invariant was violated.
func (d *deployment) awaitJobsAndCheck() {
	d.t.Helper()
	now := time.Now()
	d.faultFreeSince.Store(&now)
	d.await("all accepted jobs have ended", 2*time.Minute, func() bool { return len(d.checker.OpenJobs()) == 0 })
	if open := d.checker.OpenJobs(); len(open) > 0 {
		d.t.Errorf("jobs that have not ended: %v", open)
	}
	d.users.Wait()
	d.await("the ledger has no records of finished tasks or hosts", 30*time.Second, func() bool {
		return d.store.Count("fin/")+d.store.Count("host/") == 0
	})
	for _, violation := range d.checker.Violations() {
		d.t.Error(violation)
	}
	if d.t.Failed() {
		fake.KeepLogs(d.t, d.controllers)
	}
}

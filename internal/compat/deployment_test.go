//go:build upgrade

package compat

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The times of the deployment. They are short, since these tests take real time.
const (
	reportEvery = time.Second
	workerLease = 8 * time.Second
	cancelLimit = 20 * time.Second
	bootTime    = time.Second
	taskTime    = 2 * time.Second
	nodeCount   = 3
	cpuLimit    = 6 // of the team "tight"
)

// deployment is real controller processes on the loopback interface, with the
// fakes of the outside systems in this process.
type deployment struct {
	t        *testing.T
	state    *fake.State
	cloud    *fake.Cloud
	check    *fake.Checker
	users    *fake.Users
	recorder *recorder
	nodes    []*fake.Process
	calm     atomic.Pointer[time.Time]
	writes   atomic.Pointer[fake.Troubles]
}

// build builds a commit of the repository, or the working tree with "", and returns
// the program.
func build(t *testing.T, commit string) string {
	t.Helper()
	dir := repository
	if commit != "" {
		dir = t.TempDir()
		archive, err := exec.Command("git", "-C", repository, "archive", commit).Output()
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

// newDeployment starts everything but the controllers.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	network := transport.TCP{}
	d := &deployment{t: t, recorder: newRecorder()}
	d.check = fake.NewChecker(t, fake.Limits{Cancel: cancelLimit, CPUs: map[string]float64{"tight": cpuLimit}, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	d.state = fake.NewState(t, network, "127.0.0.1:0", d.troubleWrites)
	public := fake.Reserve(t, nodeCount)
	var workers []fake.Node
	for i, addr := range public {
		workers = append(workers, fake.Node{Name: nodeName(i), Addr: addr})
	}
	d.users = fake.NewUsers(t, network, public, d.check, 1)
	zones := []string{"a", "b", "c"}
	d.cloud = fake.NewCloud(t, network, "127.0.0.1:0", fake.CloudConfig{
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: bootTime.Seconds(), Zones: zones}},
		Boot:  bootTime, ListLag: 2 * time.Second, Most: 12,
		Worker: fake.WorkerConfig{Nodes: workers, Report: reportEvery, Lease: workerLease, Fetch: 200 * time.Millisecond,
			Run: func(string) time.Duration { return taskTime }, Check: d.check},
		Host: func(string) (transport.Network, string) { return network, "127.0.0.1:0" },
	})
	d.configure(public, zones)
	go d.watchRules()
	return d
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// configure writes the controllers' settings. What they send one another goes
// through relays.
func (d *deployment) configure(public, zones []string) {
	d.t.Helper()
	back := fake.Reserve(d.t, nodeCount)
	var relays []string
	for _, to := range back {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		startRelay(d.t, l, to, d.recorder)
		relays = append(relays, l.Addr().String())
	}
	facts := settings.Facts{Nodes: nodeCount, Zones: zones, ClockErrorMS: 5,
		Teams:     []settings.Team{{Name: "open"}, {Name: "tight", CPUsMax: cpuLimit}},
		Workers:   settings.Workers{ReportS: reportEvery.Seconds(), LeaseS: workerLease.Seconds(), CancelS: cancelLimit.Seconds()},
		State:     settings.StateLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32},
		Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources: settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
	dir := d.t.TempDir()
	for i := range nodeCount {
		p := settings.Platform{Node: nodeName(i), Zone: zones[i], Listen: public[i], Back: back[i], Facts: facts,
			Services: settings.Services{State: d.state.Addr(), Cloud: d.cloud.Addr()}}
		for k := range nodeCount {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Node: nodeName(k), Zone: zones[k], Addr: relays[k]})
			}
		}
		d.nodes = append(d.nodes, fake.NewProcess(d.t, dir, p))
	}
}

// troubleWrites lets the trouble that is set befall transactions.
func (d *deployment) troubleWrites(from string, r *http.Request) fake.Trouble {
	if f := d.writes.Load(); f != nil && r.URL.Path == "/txn" {
		return (*f)(from, r)
	}
	return fake.Trouble{}
}

// watchRules has the checker look at the rules as long as the test goes on.
func (d *deployment) watchRules() {
	for d.t.Context().Err() == nil {
		transport.Pause(d.t.Context(), time.Second)
		calm := time.Time{}
		if at := d.calm.Load(); at != nil {
			calm = *at
		}
		d.check.Look(calm, d.cloud.Rooms())
	}
}

// start starts a controller with a program.
func (d *deployment) start(i int, program string) {
	d.t.Helper()
	d.nodes[i].Start(program)
}

// startAll starts all controllers with a program and waits until one leads.
func (d *deployment) startAll(program string) {
	d.t.Helper()
	for i := range d.nodes {
		d.start(i, program)
	}
	d.await("a leader", 20*time.Second, func() bool { return d.leader() >= 0 })
}

// kill ends a controller's process without a signal that it could handle.
func (d *deployment) kill(i int) { d.nodes[i].Kill() }

// replace ends a controller and starts it again with a program.
func (d *deployment) replace(i int, program string, away time.Duration) {
	d.t.Helper()
	d.kill(i)
	time.Sleep(away)
	d.start(i, program)
	d.await(nodeName(i)+" serves users", 20*time.Second, func() bool { return d.healthy(i) })
}

func (d *deployment) healthy(i int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.nodes[i].Platform.Listen + "/healthz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leader is the controller that the state service names, or -1.
func (d *deployment) leader() int { return fake.Leader(d.state, d.nodes) }

func (d *deployment) await(what string, limit time.Duration, ok func() bool) {
	d.t.Helper()
	fake.Await(d.t, what, limit, ok)
}

// finish ends a test: with the troubles over, all that was accepted has to be served,
// and no rule may have been broken.
func (d *deployment) finish() {
	d.t.Helper()
	now := time.Now()
	d.calm.Store(&now)
	d.await("all jobs over", 2*time.Minute, func() bool { return len(d.check.Open()) == 0 })
	if open := d.check.Open(); len(open) > 0 {
		d.t.Errorf("still open: %v", open)
	}
	d.users.Wait()
	d.await("the ledger tidied up", 30*time.Second, func() bool {
		return d.state.Count("fin/")+d.state.Count("host/") == 0
	})
	for _, broken := range d.check.Broken() {
		d.t.Error(broken)
	}
	if d.t.Failed() {
		fake.KeepLogs(d.t, d.nodes)
	}
}

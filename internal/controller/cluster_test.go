package controller

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/capability"
	"leadproxy/internal/election"
	"leadproxy/internal/fake"
	"leadproxy/internal/rollout"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// cluster is a whole service over fakes, on the fake clock and the network in
// memory of one test: minutes of leases and outages take milliseconds. Whatever a
// test does with it, the checker holds it to the rules.
type cluster struct {
	t     *testing.T
	net   *fake.Net
	state *fake.State
	cloud *fake.Cloud
	check *fake.Checker
	nodes []*controller
	users *fake.Users
	// What befalls writes to the state service, direct commands, hires, and deletions.
	writes, orders, hires, deletes atomic.Pointer[fake.Troubles]
	held                           bool           // commands were held up: starts may come late
	calm                           chan time.Time // holds since when there are no troubles; zero: there are
	operator                       settings.Operator
	prefix                         string // of its hosts' names
	deciders                       *deciders
}

// cellPlan is what one cell of several is made of.
type cellPlan struct {
	name     string
	net      *fake.Net
	check    *fake.Checker
	operator settings.Operator
	owns     func(ref string) bool // its users' jobs
}

// plan is what a cluster is made of. Zero values stand for the usual.
type plan struct {
	boot     time.Duration
	machines int // the most there may be
	limits   map[string]float64
	run      func(task string) time.Duration
	writes   float64 // the state service's rate of writes
	next     *settings.StateLimits
	absent   int // nodes that are not up yet
	// reportTo, unless nil, are the nodes that workers know; else all.
	reportTo []int
	// standby has the nodes follow the leader.
	standby bool
	// budgets, unless nil, have plans that drain machines carried out within them.
	budgets *rollout.Budgets
	// drift is how far apart clocks run: the state service's is fast and the workers' are
	// slow by as much.
	drift float64
	// cell, unless nil, is the cell of several that this cluster is.
	cell *cellPlan
	old  int // nodes that begin with the version before announcements
	// ledger is what the state service holds at first.
	ledger map[string]string
	seed   uint64
	pace   pace
}

// The times of a cluster.
const (
	reportEvery = 3 * time.Second
	workerLease = 20 * time.Second
	cancelLimit = 40 * time.Second
)

// pace is the times that workers keep.
type pace struct{ report, lease, cancel time.Duration }

// usualPace is short, so that a test has many rounds of reports.
var usualPace = pace{reportEvery, workerLease, cancelLimit}

// seldomReports are the proportions of a large deployment: few reports in a lease, and not
// much time between the lease's end and when a cancelled job's tasks have to be gone.
var seldomReports = pace{report: 8 * time.Second, lease: 36 * time.Second, cancel: 56 * time.Second}

// controller is one node: its settings stay, its processes come and go.
type controller struct {
	platform *settings.Platform
	level    int // of capabilities that its version knows
	host     *fake.Host
	cancel   context.CancelFunc
	done     chan struct{}
}

// inCluster runs a scenario on a cluster of its own and then sees to it that all
// that was accepted is served, with the troubles over.
func inCluster(t *testing.T, p plan, scenario func(c *cluster)) {
	t.Parallel()
	for _, name := range []string{"jobs", "pipelines", "standby"} {
		q := p
		q.standby = name == "standby"
		t.Run(name, func(t *testing.T) { playCluster(t, q, name == "pipelines", scenario) })
	}
}

// playCluster plays a scenario once; with pipelines, users also submit jobs that wait
// for others all the time. With a standby, nodes take over on what they have followed.
func playCluster(t *testing.T, p plan, pipelines bool, scenario func(c *cluster)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, p)
		for i := range len(c.nodes) - p.absent {
			c.start(i)
		}
		c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		stop := func() {}
		if pipelines {
			stop = c.users.Pipelines()
		}
		scenario(c)
		stop()
		c.finish()
		for i := range c.nodes {
			c.kill(i)
		}
		time.Sleep(5 * time.Second) // what is still being connected gives up
	})
}

func newCluster(t *testing.T, p plan) *cluster {
	if p.boot == 0 {
		p.boot = 5 * time.Second
	}
	if p.machines == 0 {
		p.machines = 12
	}
	if p.run == nil {
		p.run = func(string) time.Duration { return 8 * time.Second }
	}
	if p.writes == 0 {
		p.writes = 100
	}
	p.pace = cmp.Or(p.pace, usualPace)
	c := &cluster{t: t, deciders: newDeciders(t), calm: make(chan time.Time, 1), operator: settings.Defaults()}
	c.calm <- time.Time{}
	owns := func(string) bool { return true }
	if p.cell == nil {
		c.net = fake.NewNet(t)
		c.check = newChecker(t, p.pace.cancel, p.limits)
	} else {
		c.net, c.check, c.operator, c.prefix, owns = p.cell.net, p.cell.check, p.cell.operator, p.cell.name+"-", p.cell.owns
	}
	c.operator.Standby.Follow, c.operator.Standby.Hints = p.standby, p.standby
	if p.budgets != nil {
		c.operator.Drain = settings.Drain{Enabled: true, Budgets: *p.budgets}
	}
	c.state = fake.NewState(t, c.net.Host(c.prefix+"state"), c.prefix+"state:1", only("/txn", &c.writes))
	c.state.RunFast(p.drift)
	for key, value := range p.ledger {
		c.state.Put(key, value)
	}
	var workers []fake.Node
	zones := []string{"a", "b", "c"}
	for i, zone := range zones { // a node in each
		f := settings.Facts{Nodes: len(zones), Zones: zones, ClockErrorMS: 5,
			Workers:   settings.Workers{ReportS: p.pace.report.Seconds(), LeaseS: p.pace.lease.Seconds(), CancelS: p.pace.cancel.Seconds()},
			State:     settings.StateLimits{RPS: 2 * p.writes, WriteRPS: p.writes, ValueKB: 16, TxnOps: 32, Next: p.next},
			Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 2},
			Resources: settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
		for _, name := range []string{"open", "tight"} {
			f.Teams = append(f.Teams, settings.Team{Name: name, CPUsMax: p.limits[name]})
		}
		name := fmt.Sprintf("%sn%d", c.prefix, i)
		level := capability.Level
		if i < p.old {
			level = 0
		}
		c.nodes = append(c.nodes, &controller{level: level, platform: &settings.Platform{Node: name, Zone: zone,
			Listen: name + ":80", Back: name + ":81", Facts: f, Services: settings.Services{State: c.prefix + "state:1", Cloud: c.prefix + "cloud:1"}}})
		if p.reportTo == nil || slices.Contains(p.reportTo, i) {
			workers = append(workers, fake.Node{Name: name, Addr: name + ":80"})
		}
	}
	for i, n := range c.nodes {
		for k, o := range c.nodes {
			if k != i {
				n.platform.Peers = append(n.platform.Peers, settings.Peer{Node: o.platform.Node, Zone: o.platform.Zone, Addr: o.platform.Back})
			}
		}
	}
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.platform.Listen)
	}
	c.users = fake.NewUsers(t, c.net.Host(c.prefix+"users"), addresses, c.check, p.seed)
	c.cloud = fake.NewCloud(t, c.net.Host(c.prefix+"cloud"), c.prefix+"cloud:1", fake.CloudConfig{
		Prefix: c.prefix + "vm-",
		Types:  []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: zones}},
		Boot:   p.boot, ListLag: 2 * time.Second, Most: p.machines,
		Worker: fake.WorkerConfig{Nodes: workers, Report: p.pace.report, Lease: p.pace.lease + time.Duration(p.drift*float64(p.pace.lease)), Fetch: 500 * time.Millisecond,
			Run: p.run, Check: c.check, Trouble: only("/commands", &c.orders)},
		Trouble: either(only("/machines", &c.hires), only("/machines/delete", &c.deletes)),
		Host:    func(name string) (transport.Network, string) { return c.net.Host(name), name + ":9000" },
	})
	// The rules are looked at as long as the test goes on.
	go func() {
		for t.Context().Err() == nil {
			transport.Pause(t.Context(), 2*time.Second)
			calm := <-c.calm
			c.calm <- calm
			c.check.LookAt(calm, c.cloud.Rooms(), owns)
		}
	}()
	return c
}

func newChecker(t *testing.T, cancel time.Duration, limits map[string]float64) *fake.Checker {
	return fake.NewChecker(t, fake.Limits{Cancel: cancel, CPUs: limits, Waiting: 90 * time.Second, Silent: 75 * time.Second,
		MayRepeat: func(class string) bool { return class == repeatableClass }})
}

// only lets a trouble that may be set befall the requests of one path.
func only(path string, trouble *atomic.Pointer[fake.Troubles]) fake.Troubles {
	return func(from string, r *http.Request) fake.Trouble {
		if f := trouble.Load(); f != nil && r.URL.Path == path && r.Method == http.MethodPost {
			return (*f)(from, r)
		}
		return fake.Trouble{}
	}
}

// either is the first of two troubles that befalls a request.
func either(first, second fake.Troubles) fake.Troubles {
	return func(from string, r *http.Request) fake.Trouble {
		if trouble := first(from, r); trouble.Fault != fake.NoFault {
			return trouble
		}
		return second(from, r)
	}
}

// share has a share of the requests befallen by a trouble that lasts up to most.
func (c *cluster) share(share float64, fault fake.Fault, least, most time.Duration) *fake.Troubles {
	f := fake.Troubles(func(string, *http.Request) fake.Trouble {
		if c.users.Random() >= share {
			return fake.Trouble{}
		}
		return fake.Trouble{Fault: fault, For: least + time.Duration(c.users.Random()*float64(most-least))}
	})
	return &f
}

// start starts a node's process.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	n.host, n.cancel, n.done = c.net.Host(n.platform.Node), cancel, make(chan struct{})
	handler := slog.Handler(slog.DiscardHandler)
	if c.operator.Standby.Follow {
		handler = c.deciders
	}
	if os.Getenv("CLUSTER_LOG") != "" {
		handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	}
	log := slog.New(alarms{c.t, handler})
	if os.Getenv("CLUSTER_LOG") != "" {
		log = log.With("node", n.platform.Node, "test", c.t.Name())
	}
	go func(host *fake.Host, level int, done chan struct{}) {
		defer close(done)
		if err := runAtLevel(ctx, level, host, n.platform, c.operator, log); err != nil && !host.IsDown() {
			c.t.Errorf("%s ended: %v", n.platform.Node, err)
		}
	}(n.host, n.level, n.done)
}

// kill ends a node's process: from one moment to the next, nothing of it reaches
// anybody any more.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	if n.cancel == nil {
		return
	}
	n.host.Kill()
	n.cancel()
	<-n.done
	n.cancel = nil
}

// restart has a process killed and back after a while.
func (c *cluster) restart(i int, after time.Duration) {
	c.kill(i)
	time.Sleep(after)
	c.start(i)
}

// revive starts all nodes that are down.
func (c *cluster) revive() {
	for i, n := range c.nodes {
		if n.cancel == nil {
			c.start(i)
		}
	}
}

// leader is the node that the state service names, or -1.
func (c *cluster) leader() int {
	var h struct {
		Node string `json:"node"`
	}
	if value := c.state.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &h) != nil {
		return -1
	}
	for i, n := range c.nodes {
		if n.platform.Node == h.Node {
			return i
		}
	}
	return -1
}

// follower is some node that does not lead and is up.
func (c *cluster) follower() int {
	l := c.leader()
	for i, n := range c.nodes {
		if i != l && n.cancel != nil {
			return i
		}
	}
	return -1
}

func (c *cluster) name(i int) string { return c.nodes[i].platform.Node }

// alone cuts a node from all other controllers, or ends that.
func (c *cluster) alone(i int, cut, hold bool) {
	for k := range c.nodes {
		switch {
		case k == i:
		case cut:
			c.net.Cut(c.name(i), c.name(k), hold)
		default:
			c.net.Heal(c.name(i), c.name(k))
		}
	}
}

func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	fake.Await(c.t, what, limit, ok)
}

// --- the end ---

// settled tells from when on there are no troubles.
func (c *cluster) settled() {
	<-c.calm
	c.calm <- time.Now()
}

// finish ends a test: with the troubles over, all that was accepted has to be
// served, and the ledger to be tidied up.
func (c *cluster) finish() {
	c.settled()
	c.allServed()
	c.users.Wait()
	c.await("all tasks gone", time.Minute, func() bool { on, _ := c.check.On(""); return on == 0 })
	c.tidy()
	c.rulesKept()
}

// allServed waits until all that was accepted is done or cancelled.
func (c *cluster) allServed() {
	c.t.Helper()
	c.await("all jobs over", 6*time.Minute, func() bool { return len(c.check.Open()) == 0 })
	if open := c.check.Open(); len(open) > 0 {
		c.t.Errorf("still open: %v", open)
	}
}

// tidy waits until the ledger holds nothing of jobs that are over but their records.
func (c *cluster) tidy() {
	c.t.Helper()
	c.await("the ledger tidied up", time.Minute, func() bool {
		return c.state.Count("fin/")+c.state.Count("host/")+c.state.Count("cell/away/") == 0
	})
}

// rulesKept reports the rules that were broken.
func (c *cluster) rulesKept() {
	c.t.Helper()
	for _, b := range c.check.Broken() {
		c.t.Error(b)
	}
	if n := c.check.LateStarts(); n > 0 && !c.held {
		c.t.Errorf("%d starts after a confirmed cancellation, none of them on its way for long", n)
	}
}

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
	"leadproxy/internal/standin"
	"leadproxy/internal/wire"
)

// cluster is a whole service over stand-ins, on the fake clock and the network in
// memory of one test: minutes of leases and outages take milliseconds. Whatever a
// test does with it, the checker holds it to the rules.
type cluster struct {
	t     *testing.T
	net   *standin.Net
	state *standin.State
	cloud *standin.Cloud
	check *standin.Checker
	nodes []*controller
	users outbound.Network
	// What befalls writes to the state service, direct commands, and hires.
	writes, orders, hires atomic.Pointer[standin.Troubles]
	held                  bool // commands were held up: starts may come late
	// asking is done when no user is on the way any more.
	asking sync.WaitGroup
	calm   chan time.Time // holds since when there are no troubles; zero: there are
	chance chan *rand.Rand
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
	// ledger is what the state service holds at first.
	ledger map[string]string
	seed   uint64
}

// The times of a cluster.
const (
	reportEvery = 3 * time.Second
	workerLease = 20 * time.Second
	cancelLimit = 40 * time.Second
)

// controller is one node: its settings stay, its processes come and go.
type controller struct {
	platform *settings.Platform
	host     *standin.Host
	cancel   context.CancelFunc
	done     chan struct{}
}

// inCluster runs a scenario on a cluster of its own and then sees to it that all
// that was accepted is served, with the troubles over.
func inCluster(t *testing.T, p plan, scenario func(c *cluster)) {
	t.Parallel()
	for _, name := range []string{"jobs", "pipelines"} {
		t.Run(name, func(t *testing.T) { playCluster(t, p, name == "pipelines", scenario) })
	}
}

// playCluster plays a scenario once; with pipelines, users also submit jobs that wait
// for others all the time.
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
			stop = c.pipelines()
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
	c := &cluster{t: t, calm: make(chan time.Time, 1), chance: make(chan *rand.Rand, 1)}
	c.calm <- time.Time{}
	c.chance <- rand.New(rand.NewPCG(p.seed, 7))
	c.net = standin.NewNet(t)
	c.users = c.net.Host("users")
	c.check = standin.NewChecker(t, standin.Limits{Cancel: cancelLimit, CPUs: p.limits, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	c.state = standin.NewState(t, c.net.Host("state"), "state:1", only("/txn", &c.writes))
	for key, value := range p.ledger {
		c.state.Put(key, value)
	}
	var workers []standin.Node
	zones := []string{"a", "b", "c"}
	for i, zone := range zones { // a node in each
		f := settings.Facts{Nodes: len(zones), Zones: zones, ClockErrorMS: 5,
			Workers:   settings.Workers{ReportS: reportEvery.Seconds(), LeaseS: workerLease.Seconds(), CancelS: cancelLimit.Seconds()},
			State:     settings.StateLimits{RPS: 2 * p.writes, WriteRPS: p.writes, ValueKB: 16, TxnOps: 32, Next: p.next},
			Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 2},
			Resources: settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
		for _, name := range []string{"open", "tight"} {
			f.Teams = append(f.Teams, settings.Team{Name: name, CPUsMax: p.limits[name]})
		}
		name := fmt.Sprintf("n%d", i)
		c.nodes = append(c.nodes, &controller{platform: &settings.Platform{Node: name, Zone: zone,
			Listen: name + ":80", Back: name + ":81", Facts: f, Services: settings.Services{State: "state:1", Cloud: "cloud:1"}}})
		workers = append(workers, standin.Node{Name: name, Addr: name + ":80"})
	}
	for i, n := range c.nodes {
		for k, o := range c.nodes {
			if k != i {
				n.platform.Peers = append(n.platform.Peers, settings.Peer{Node: o.platform.Node, Zone: o.platform.Zone, Addr: o.platform.Back})
			}
		}
	}
	c.cloud = standin.NewCloud(t, c.net.Host("cloud"), "cloud:1", standin.CloudConfig{
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: zones}},
		Boot:  p.boot, ListLag: 2 * time.Second, Most: p.machines,
		Worker: standin.WorkerConfig{Nodes: workers, Report: reportEvery, Lease: workerLease, Fetch: 500 * time.Millisecond,
			Run: p.run, Check: c.check, Trouble: only("/commands", &c.orders)},
		Trouble: only("/machines", &c.hires),
		Host:    func(name string) (outbound.Network, string) { return c.net.Host(name), name + ":9000" },
	})
	// The rules are looked at as long as the test goes on.
	go func() {
		for t.Context().Err() == nil {
			outbound.Pause(t.Context(), 2*time.Second)
			calm := <-c.calm
			c.calm <- calm
			c.check.Look(calm, c.cloud.Rooms())
		}
	}()
	return c
}

// only lets a trouble that may be set befall the requests of one path.
func only(path string, trouble *atomic.Pointer[standin.Troubles]) standin.Troubles {
	return func(from string, r *http.Request) standin.Trouble {
		if f := trouble.Load(); f != nil && r.URL.Path == path && r.Method == http.MethodPost {
			return (*f)(from, r)
		}
		return standin.Trouble{}
	}
}

// share has a share of the requests befallen by a trouble that lasts up to most.
func (c *cluster) share(share float64, fate standin.Fate, least, most time.Duration) *standin.Troubles {
	f := standin.Troubles(func(string, *http.Request) standin.Trouble {
		if c.roll() >= share {
			return standin.Trouble{}
		}
		return standin.Trouble{Fate: fate, For: least + time.Duration(c.roll()*float64(most-least))}
	})
	return &f
}

// roll is a number from 0 to 1.
func (c *cluster) roll() float64 {
	r := <-c.chance
	defer func() { c.chance <- r }()
	return r.Float64()
}

// start starts a node's process.
func (c *cluster) start(i int) {
	n := c.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	n.host, n.cancel, n.done = c.net.Host(n.platform.Node), cancel, make(chan struct{})
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("CLUSTER_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", n.platform.Node)
	}
	go func(host *standin.Host, done chan struct{}) {
		defer close(done)
		if err := Run(ctx, host, n.platform, settings.Defaults(), log); err != nil && !host.IsDown() {
			c.t.Errorf("%s ended: %v", n.platform.Node, err)
		}
	}(n.host, n.done)
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
	if value := c.state.Value(election.Key); value == nil || json.Unmarshal(value, &h) != nil {
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
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Errorf("not within %s: %s", limit, what)
}

// --- users ---

// job is one of n tasks of a CPU each. change may alter it.
func job(ref string, n int, change func(j *wire.Job)) *wire.Job {
	j := &wire.Job{Ref: ref, Class: "c", Team: "open", Kind: "batch", Priority: "standard", Tasks: n, CPUs: 1, MemGB: 1, Image: "i", ImageGB: 0.5, Spot: true, EstimateS: 8}
	if change != nil {
		change(j)
	}
	return j
}

// call sends one request to one node and has the checker look at the answer.
func (c *cluster) call(i int, what standin.Asked, ref string, body any) (code int, status string) {
	var payload []byte
	method, path, limit := http.MethodGet, "/v2/runs/"+ref, 2*time.Second
	switch what {
	case standin.AskedSubmit:
		method, path, limit = http.MethodPost, "/v2/runs", 5*time.Second
		var err error
		if payload, err = json.Marshal(body); err != nil {
			c.t.Error(err)
		}
	case standin.AskedCancel:
		method, path, limit = http.MethodPost, path+"/cancel", 5*time.Second
		payload = []byte("{}")
		c.check.Cancels(ref)
	}
	asked := time.Now()
	c.check.Asks(ref)
	line := outbound.NewLine(c.users, c.nodes[i].platform.Listen)
	defer line.Close()
	if line.Open(c.t.Context(), 500*time.Millisecond) != nil {
		return 0, ""
	}
	code, text, err := line.Do(asked.Add(limit), method, path, payload)
	if err != nil {
		return 0, ""
	}
	var a struct {
		Status string `json:"status"`
		Error  string `json:"error"`
	}
	if json.Unmarshal(text, &a) != nil || code/100 != 2 && a.Error == "" {
		c.t.Errorf("%s %s: %d %s: no reason in the body", method, path, code, text)
	}
	c.check.Answered(what, ref, asked, code, a.Status)
	return code, a.Status
}

// any is some node, as a load balancer would choose one.
func (c *cluster) any() int { return int(c.roll() * float64(len(c.nodes))) }

// times is how often something is done at most within a user's patience.
const times = 60

// until repeats a request at any nodes, as users do, until it gets a final answer.
func (c *cluster) until(what standin.Asked, ref string, body any) (code int, status string) {
	for range times {
		code, status = c.call(c.any(), what, ref, body)
		if code != 0 && code < 429 {
			return code, status
		}
		time.Sleep(time.Second)
	}
	return code, status
}

// look asks at all nodes at once and repeats the submission, three times within
// milliseconds.
func (c *cluster) look(ref string, body any) {
	for range 3 {
		for i := range c.nodes {
			c.asking.Go(func() { c.call(i, standin.AskedStatus, ref, nil) })
			c.asking.Go(func() { c.call(i, standin.AskedSubmit, ref, body) })
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// submit has a user submit a job, look at it from everywhere, and poll until it is
// over.
func (c *cluster) submit(j *wire.Job) {
	c.check.Submits(j, true)
	c.asking.Go(func() {
		code, _ := c.until(standin.AskedSubmit, j.Ref, j)
		if code != 200 && code != 201 {
			return // the user gave up; that it counts, if accepted, the checker knows
		}
		c.look(j.Ref, j)
		for c.t.Context().Err() == nil {
			time.Sleep(5 * time.Second)
			if code, status := c.call(c.any(), standin.AskedStatus, j.Ref, nil); code == 200 && (status == wire.Done || status == wire.Aborted) {
				c.look(j.Ref, j)
				return
			}
		}
	})
}

// accept has a user submit a job until it is accepted.
func (c *cluster) accept(j *wire.Job) bool {
	c.check.Submits(j, true)
	code, _ := c.until(standin.AskedSubmit, j.Ref, j)
	return code == 200 || code == 201
}

// poll has a user ask about a job until it is over.
func (c *cluster) poll(j *wire.Job) {
	c.asking.Go(func() {
		for c.t.Context().Err() == nil {
			time.Sleep(5 * time.Second)
			if code, status := c.call(c.any(), standin.AskedStatus, j.Ref, nil); code == 200 && (status == wire.Done || status == wire.Aborted) {
				c.look(j.Ref, j)
				return
			}
		}
	})
}

// pipelines has users submit pipelines one after the other until the result is
// called: a first stage, two that need it, and a last one, with the deadline and the
// priority, that needs both, and sometimes a job that is over long since. Of some, one
// stage is cancelled; of some, the last is submitted late.
func (c *cluster) pipelines() (stop func()) {
	ended := make(chan struct{})
	var old []string // last stages of earlier pipelines
	stages := func(n int) {
		ref := func(stage int) string { return fmt.Sprintf("job-5%04d%d", n, stage) }
		due := 60.0
		earlier := []string{ref(1), ref(2)}
		if len(old) > 0 && c.roll() < 0.3 {
			earlier = append(earlier, old[int(c.roll()*float64(len(old)))])
		}
		jobs := []*wire.Job{
			job(ref(0), 2, func(j *wire.Job) { j.Priority = "idle" }),
			job(ref(1), 3, func(j *wire.Job) { j.Priority, j.WaitsOn = "idle", []string{ref(0)} }),
			job(ref(2), 1, func(j *wire.Job) { j.Team, j.WaitsOn = "tight", []string{ref(0), ref(0)} }),
			job(ref(3), 2, func(j *wire.Job) { j.Priority, j.WaitsOn, j.DeadlineS = "high", earlier, &due }),
		}
		for i, j := range jobs {
			if i == 3 && c.roll() < 0.2 {
				time.Sleep(time.Duration(c.roll() * float64(30*time.Second)))
			}
			if !c.accept(j) {
				return // the user gives the rest up
			}
			c.poll(j)
		}
		old = append(old, ref(3))
		if c.roll() < 0.4 {
			at := jobs[int(c.roll()*float64(len(jobs)))]
			c.asking.Go(func() {
				time.Sleep(time.Duration(c.roll() * float64(30*time.Second)))
				c.cancel(at)
			})
		}
	}
	c.asking.Go(func() {
		for n := 0; ; n++ {
			stages(n)
			select {
			case <-ended:
				return
			case <-time.After(time.Duration(c.roll() * float64(8*time.Second))):
			}
		}
	})
	return func() { close(ended) }
}

// cancel has a user cancel a job until that is answered, and look at it from
// everywhere.
func (c *cluster) cancel(j *wire.Job) {
	c.asking.Go(func() {
		if code, _ := c.until(standin.AskedCancel, j.Ref, nil); code == 200 {
			c.look(j.Ref, j)
		}
	})
}

// cancelAt is cancel at one node, once; it tells whether that was confirmed.
func (c *cluster) cancelAt(i int, j *wire.Job) bool {
	code, status := c.call(i, standin.AskedCancel, j.Ref, nil)
	if code == 200 && status == wire.Aborted {
		c.look(j.Ref, j)
		return true
	}
	return false
}

// odd has users send what can't be taken and ask about what nobody submitted.
func (c *cluster) odd() {
	c.asking.Go(func() {
		for n, body := range []string{`{"ref":"job-900001"}`, `[]`, `{`, `{"ref":"job-900002","lane":7}`} {
			i := n % len(c.nodes)
			line := outbound.NewLine(c.users, c.nodes[i].platform.Listen)
			if line.Open(c.t.Context(), 500*time.Millisecond) != nil {
				continue
			}
			if code, text, err := line.Do(time.Now().Add(5*time.Second), http.MethodPost, "/v2/runs", []byte(body)); err == nil && code != 400 && code < 429 {
				c.t.Errorf("%s: %d %s", body, code, text)
			}
			line.Close()
		}
		for n, change := range []func(j *wire.Job){
			func(j *wire.Job) { j.WaitsOn = []string{"job-930000"} },
			func(j *wire.Job) { j.WaitsOn = []string{j.Ref} },
			func(j *wire.Job) { j.CPUs = 9 },
			func(j *wire.Job) { j.Team = "nobody" },
			func(j *wire.Job) { j.Types = []string{"other"} },
		} {
			j := job(fmt.Sprintf("job-91000%d", n), 1, change)
			c.check.Submits(j, false)
			if code, _ := c.call(c.any(), standin.AskedSubmit, j.Ref, j); code != 422 && code != 0 && code < 429 {
				c.t.Errorf("a job that can never run: %d", code)
			}
			c.call(c.any(), standin.AskedStatus, j.Ref, nil)
		}
		for i := range c.nodes {
			c.call(i, standin.AskedStatus, "job-920000", nil)
			c.call(i, standin.AskedCancel, "job-920000", nil)
		}
	})
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
	c.await("all jobs over", 6*time.Minute, func() bool { return len(c.check.Open()) == 0 })
	if open := c.check.Open(); len(open) > 0 {
		c.t.Errorf("still open: %v", open)
	}
	c.asking.Wait()
	c.await("all tasks gone", time.Minute, func() bool { on, _ := c.check.On(""); return on == 0 })
	c.await("the ledger tidied up", time.Minute, func() bool {
		return c.state.Count("fin/")+c.state.Count("host/") == 0
	})
	for _, b := range c.check.Broken() {
		c.t.Error(b)
	}
	if n := c.check.LateStarts(); n > 0 && !c.held {
		c.t.Errorf("%d starts after a confirmed cancellation, none of them on its way for long", n)
	}
}

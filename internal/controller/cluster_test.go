package controller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/capability"
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
	t             *testing.T
	net           *fake.Network
	store         *fake.KVStore
	cloud         *fake.Cloud
	checker       *fake.Checker
	controllers   []*controllerProcess
	users         *fake.Users
	operator      settings.Operator
	namePrefix    string // of its hosts' names
	leaderActions *leaderActionChecker
	// The faults of writes to the key-value store, commands, scale-outs, and deletions.
	writeFaults, commandFaults, scaleOutFaults, deleteFaults atomic.Pointer[fake.FaultInjector]
	// commandsDelayed: commands were held up, so starts may come late.
	commandsDelayed bool
	// faultFreeSince holds since when there are no faults; zero: there are.
	faultFreeSince chan time.Time
}

// cellConfig is what one cell of several is made of.
type cellConfig struct {
	name     string
	net      *fake.Network
	checker  *fake.Checker
	operator settings.Operator
	ownsJob  func(jobID string) bool // its users' jobs
}

// clusterConfig is what a cluster is made of. Zero values stand for the usual.
type clusterConfig struct {
	bootTime        time.Duration
	maxMachines     int // the most there may be
	teamLimits      map[string]float64
	runTime         func(task string) time.Duration
	writesPerSecond float64 // the key-value store's rate of writes
	nextLimits      *settings.StoreLimits
	notStarted      int // controllers that are not up yet
	// reportTo, unless nil, are the controllers that workers know; else all.
	reportTo []int
	// standby has the controllers follow the leader.
	standby bool
	// budgets, unless nil, have plans that drain machines carried out within them.
	budgets *rollout.Budgets
	// clockDrift is how far apart clocks run: the key-value store's is fast and the workers' are
	// slow by as much.
	clockDrift float64
	// cell, unless nil, is the cell of several that this cluster is.
	cell        *cellConfig
	oldVersions int // controllers that begin with the version before announcements
	// ledger is what the key-value store holds at first.
	ledger  map[string]string
	seed    uint64
	timings agentTimings
}

// The times of a cluster.
const (
	heartbeatInterval = 3 * time.Second
	agentLease        = 20 * time.Second
	cancelLimit       = 40 * time.Second
)

// agentTimings is the times that workers keep.
type agentTimings struct{ heartbeat, lease, cancel time.Duration }

// defaultTimings is short, so that a test has many rounds of heartbeats.
var defaultTimings = agentTimings{heartbeatInterval, agentLease, cancelLimit}

// rareHeartbeats are the proportions of a large deployment: few heartbeats in a lease, and not
// much time between the lease's end and when a cancelled job's tasks have to be gone.
var rareHeartbeats = agentTimings{heartbeat: 8 * time.Second, lease: 36 * time.Second, cancel: 56 * time.Second}

// controllerProcess is one controller: its settings stay, its processes come and go.
type controllerProcess struct {
	platform *settings.Platform
	level    int // of capabilities that its version knows
	host     *fake.Host
	cancel   context.CancelFunc
	done     chan struct{}
}

// runScenario runs a scenario on a cluster of its own and then checks that all
// that was accepted is served, with the faults over.
func runScenario(t *testing.T, config clusterConfig, scenario func(c *cluster)) {
	t.Parallel()
	for _, name := range []string{"jobs", "pipelines", "standby"} {
		variant := config
		variant.standby = name == "standby"
		t.Run(name, func(t *testing.T) { runScenarioOnce(t, variant, name == "pipelines", scenario) })
	}
}

// runScenarioOnce plays a scenario once; with pipelines, users also submit jobs that wait
// for others all the time. With a standby, controllers take over on what they have followed.
func runScenarioOnce(t *testing.T, config clusterConfig, pipelines bool, scenario func(c *cluster)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, config)
		for i := range len(c.controllers) - config.notStarted {
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
		for i := range c.controllers {
			c.kill(i)
		}
		time.Sleep(5 * time.Second) // what is still being connected gives up
	})
}

// newCluster makes a cluster whose controllers are not started yet.
func newCluster(t *testing.T, config clusterConfig) *cluster {
	t.Helper()
	config.setDefaults()
	c := &cluster{t: t, leaderActions: newLeaderActionChecker(t), faultFreeSince: make(chan time.Time, 1), operator: settings.Defaults()}
	c.faultFreeSince <- time.Time{}
	ownsJob := func(string) bool { return true }
	if config.cell == nil {
		c.net = fake.NewNetwork(t)
		c.checker = newChecker(t, config.timings.cancel, config.teamLimits)
	} else {
		c.net, c.checker, c.operator, c.namePrefix, ownsJob = config.cell.net, config.cell.checker, config.cell.operator, config.cell.name+"-", config.cell.ownsJob
	}
	c.operator.Standby.Follow, c.operator.Standby.SoftState = config.standby, config.standby
	if config.budgets != nil {
		c.operator.Rollouts = settings.Rollouts{Enabled: true, Budgets: *config.budgets}
	}
	c.store = fake.NewKVStore(t, c.net.Host(c.namePrefix+"state"), c.namePrefix+"state:1", faultOnPath("/txn", &c.writeFaults))
	c.store.SetClockDrift(config.clockDrift)
	for key, value := range config.ledger {
		c.store.Put(key, value)
	}
	c.controllers = newControllers(config, c.namePrefix)
	var addresses []string
	for _, process := range c.controllers {
		addresses = append(addresses, process.platform.PublicAddr)
	}
	c.users = fake.NewUsers(t, c.net.Host(c.namePrefix+"users"), addresses, c.checker, config.seed)
	c.cloud = c.newCloud(config)
	go c.checkInvariantsPeriodically(ownsJob)
	return c
}

// setDefaults fills in what a plan leaves open.
func (c *clusterConfig) setDefaults() {
	c.bootTime = cmp.Or(c.bootTime, 5*time.Second)
	c.maxMachines = cmp.Or(c.maxMachines, 12)
	c.writesPerSecond = cmp.Or(c.writesPerSecond, 100)
	c.timings = cmp.Or(c.timings, defaultTimings)
	if c.runTime == nil {
		c.runTime = func(string) time.Duration { return 8 * time.Second }
	}
}

// clusterZones has one controller in each.
var clusterZones = []string{"a", "b", "c"}

// newControllers makes the controllers, one in each zone, which know each other.
func newControllers(config clusterConfig, prefix string) (nodes []*controllerProcess) {
	for i, zone := range clusterZones {
		name := fmt.Sprintf("%sn%d", prefix, i)
		level := capability.CurrentLevel
		if i < config.oldVersions {
			level = 0
		}
		nodes = append(nodes, &controllerProcess{level: level, platform: &settings.Platform{Name: name, Zone: zone,
			PublicAddr: name + ":80", PeerAddr: name + ":81", Facts: config.facts(), Services: settings.Services{Store: prefix + "state:1", Cloud: prefix + "cloud:1"}}})
	}
	for i, process := range nodes {
		for k, other := range nodes {
			if k != i {
				process.platform.Peers = append(process.platform.Peers, settings.Peer{Name: other.platform.Name, Zone: other.platform.Zone, Addr: other.platform.PeerAddr})
			}
		}
	}
	return nodes
}

// facts are the settings that all controllers have in common.
func (c *clusterConfig) facts() settings.Facts {
	facts := settings.Facts{ControllerCount: len(clusterZones), Zones: clusterZones, ClockErrorMS: 5,
		AgentTiming: settings.AgentTiming{HeartbeatS: c.timings.heartbeat.Seconds(), LeaseS: c.timings.lease.Seconds(), CancelS: c.timings.cancel.Seconds()},
		Store:       settings.StoreLimits{RPS: 2 * c.writesPerSecond, WriteRPS: c.writesPerSecond, ValueKB: 16, TxnOps: 32, Next: c.nextLimits},
		Cloud:       settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
	for _, name := range []string{"open", "tight"} {
		facts.Teams = append(facts.Teams, settings.Team{Name: name, CPUsMax: c.teamLimits[name]})
	}
	return facts
}

// newCloud makes the cloud, whose workers know the controllers that the plan names.
func (c *cluster) newCloud(config clusterConfig) *fake.Cloud {
	var known []fake.ControllerAddress
	for i, process := range c.controllers {
		if config.reportTo == nil || slices.Contains(config.reportTo, i) {
			known = append(known, fake.ControllerAddress{Name: process.platform.Name, Addr: process.platform.PublicAddr})
		}
	}
	return fake.NewCloud(c.t, c.net.Host(c.namePrefix+"cloud"), c.namePrefix+"cloud:1", fake.CloudConfig{
		NamePrefix: c.namePrefix + "vm-",
		Types:      []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: clusterZones}},
		BootTime:   config.bootTime, ListLag: 2 * time.Second, MaxMachines: config.maxMachines,
		Agent: fake.AgentConfig{Controllers: known, HeartbeatInterval: config.timings.heartbeat, Lease: config.timings.lease + time.Duration(config.clockDrift*float64(config.timings.lease)), ImageFetchTime: 500 * time.Millisecond,
			RunTime: config.runTime, Checker: c.checker, CommandFaults: faultOnPath("/commands", &c.commandFaults)},
		Faults:  firstFault(faultOnPath("/machines", &c.scaleOutFaults), faultOnPath("/machines/delete", &c.deleteFaults)),
		NewHost: func(name string) (transport.Network, string) { return c.net.Host(name), name + ":9000" },
	})
}

// checkInvariantsPeriodically has the rules checked as long as the test runs.
func (c *cluster) checkInvariantsPeriodically(ownsJob func(jobID string) bool) {
	for c.t.Context().Err() == nil {
		transport.Pause(c.t.Context(), 2*time.Second)
		since := <-c.faultFreeSince
		c.faultFreeSince <- since
		c.checker.CheckInvariantsOfCell(since, c.cloud.FreeCapacity(), ownsJob)
	}
}

func newChecker(t *testing.T, cancel time.Duration, limits map[string]float64) *fake.Checker {
	return fake.NewChecker(t, fake.Limits{CancelDeadline: cancel, TeamCPULimits: limits, MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second,
		RetryAllowed: func(class string) bool { return class == repeatableClass }})
}

func (c *cluster) await(what string, limit time.Duration, ok func() bool) {
	c.t.Helper()
	fake.WaitFor(c.t, what, limit, ok)
}

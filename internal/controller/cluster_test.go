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

// cluster is a whole service with fakes of its environment. It runs on a fake clock and an in-memory
// network, so that minutes of leases and outages take milliseconds. The checker verifies the
// invariants whatever a test does.
type cluster struct {
	t             *testing.T
	net           *fake.Network
	store         *fake.KVStore
	cloud         *fake.Cloud
	checker       *fake.Checker
	controllers   []*controllerProcess
	users         *fake.Users
	operator      settings.Operator
	namePrefix    string // of the hosts' names on the network
	leaderActions *leaderActionChecker
	// The faults of writes to the key-value store, its reads and listings, the leader's watch of
	// the job records, the followers' watches of the leader key, commands to agents, scale-outs and
	// machine deletions; nil: none.
	writeFaults, readFaults, watchFaults, electionFaults, commandFaults, scaleOutFaults, deleteFaults atomic.Pointer[fake.FaultInjector]
	// commandsDelayed is set by tests that delay commands, so that tasks may start after their
	// job's cancellation was confirmed.
	commandsDelayed bool
	// faultFreeSince has a buffer of one, which holds the time of the last fault's end; zero while
	// there are faults.
	faultFreeSince chan time.Time
}

// cellConfig configures a cluster as one cell of several.
type cellConfig struct {
	name     string
	net      *fake.Network
	checker  *fake.Checker
	operator settings.Operator
	ownsJob  func(jobID string) bool // reports whether the cell's users submit the job
}

// clusterConfig configures a cluster. Zero values get defaults.
type clusterConfig struct {
	bootTime        time.Duration
	maxMachines     int // that the cloud provides at a time
	teamLimits      map[string]float64
	runTime         func(task string) time.Duration
	writesPerSecond float64               // that the key-value store accepts
	nextLimits      *settings.StoreLimits // lower limits that the store will have; nil: none announced
	notStarted      int                   // number of controllers that the test starts itself
	// reportTo holds the controllers that agents know; nil: all.
	reportTo []int
	// standby makes the controllers follow the leader as standbys.
	standby bool
	// directStarts allows starts in direct commands.
	directStarts bool
	// budgets, unless nil, enables rollout plans, which drain machines within these budgets.
	budgets *rollout.Budgets
	// clockDrift is the share by which the key-value store's clock runs fast and the agents' clocks
	// run slow.
	clockDrift float64
	// cell is set for a cluster that is one cell of several.
	cell        *cellConfig
	oldVersions int // number of controllers that start with the version that announces no capabilities
	// ledger is the initial content of the key-value store.
	ledger  map[string]string
	seed    uint64
	timings agentTimings
}

// The default timings of agents.
const (
	heartbeatInterval = 3 * time.Second
	agentLease        = 20 * time.Second
	cancelLimit       = 40 * time.Second
)

// agentTimings are the agents' heartbeat interval, their lease, and the time within which the tasks
// of a cancelled job end.
type agentTimings struct{ heartbeat, lease, cancel time.Duration }

// defaultTimings are short, so that a test has many rounds of heartbeats.
var defaultTimings = agentTimings{heartbeatInterval, agentLease, cancelLimit}

// rareHeartbeats has the proportions of a large deployment: few heartbeats per lease, and little
// time between a lease's expiry and the deadline for the tasks of cancelled jobs.
var rareHeartbeats = agentTimings{heartbeat: 8 * time.Second, lease: 36 * time.Second, cancel: 56 * time.Second}

// controllerProcess is one controller: its settings, which stay the same, and its current process.
type controllerProcess struct {
	platform *settings.Platform
	level    int // capability level that its version supports
	// metricsAddress is where the controller serves its metrics; empty: it does not.
	metricsAddress string
	host           *fake.Host
	cancel         context.CancelFunc
	done           chan struct{}
}

// runScenario runs a scenario on three clusters of its own: a plain one, one whose users also submit
// pipelines, and one with standbys. Each run fails unless all accepted jobs are served after the last
// fault.
func runScenario(t *testing.T, config clusterConfig, scenario func(c *cluster)) {
	t.Parallel()
	for _, name := range []string{"jobs", "pipelines", "standby"} {
		variant := config
		variant.standby = name == "standby"
		t.Run(name, func(t *testing.T) { runScenarioOnce(t, variant, name == "pipelines", scenario) })
	}
}

// runScenarioOnce runs a scenario on one cluster. With pipelines, users also submit dependent jobs
// throughout.
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
		time.Sleep(5 * time.Second) // pending connection attempts time out
	})
}

// newCluster creates a cluster whose controllers are not started yet.
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
	c.operator.DirectStarts = config.directStarts
	if config.budgets != nil {
		c.operator.Rollouts = settings.Rollouts{Enabled: true, Budgets: *config.budgets}
	}
	c.store = fake.NewKVStore(t, c.net.Host(c.namePrefix+"state"), c.namePrefix+"state:1",
		fake.FirstFault(faultOnPath("/txn", &c.writeFaults), faultOn(fake.IsRead, &c.readFaults), faultOn(isJobWatch, &c.watchFaults),
			faultOn(isLeaderWatch, &c.electionFaults)))
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

// setDefaults replaces zero values with defaults.
func (c *clusterConfig) setDefaults() {
	c.bootTime = cmp.Or(c.bootTime, 5*time.Second)
	c.maxMachines = cmp.Or(c.maxMachines, 12)
	c.writesPerSecond = cmp.Or(c.writesPerSecond, 100)
	c.timings = cmp.Or(c.timings, defaultTimings)
	if c.runTime == nil {
		c.runTime = func(string) time.Duration { return 8 * time.Second }
	}
}

// clusterZones are the zones of a cluster, with one controller in each.
var clusterZones = []string{"a", "b", "c"}

// newControllers creates the controllers, one in each zone, which are each other's peers.
func newControllers(config clusterConfig, prefix string) (controllers []*controllerProcess) {
	for i, zone := range clusterZones {
		name := fmt.Sprintf("%sn%d", prefix, i)
		level := capability.CurrentLevel
		if i < config.oldVersions {
			level = 0
		}
		controllers = append(controllers, &controllerProcess{level: level, metricsAddress: name + ":82", platform: &settings.Platform{Name: name, Zone: zone,
			PublicAddr: name + ":80", PeerAddr: name + ":81", Facts: config.facts(), Services: settings.Services{Store: prefix + "state:1", Cloud: prefix + "cloud:1"}}})
	}
	for i, process := range controllers {
		for k, other := range controllers {
			if k != i {
				process.platform.Peers = append(process.platform.Peers, settings.Peer{Name: other.platform.Name, Zone: other.platform.Zone, Addr: other.platform.PeerAddr})
			}
		}
	}
	return controllers
}

// facts returns the settings that all controllers share.
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

// newCloud creates the cloud, whose agents know the controllers in reportTo.
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
		Faults:  fake.FirstFault(faultOnPath("/machines", &c.scaleOutFaults), faultOnPath("/machines/delete", &c.deleteFaults)),
		NewHost: func(name string) (transport.Network, string) { return c.net.Host(name), name + ":9000" },
	})
}

// checkInvariantsPeriodically has the checker verify the invariants every two seconds until the test
// ends.
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

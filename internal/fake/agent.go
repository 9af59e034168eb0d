package fake

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// AgentConfig is the configuration that all agents of a cloud share.
type AgentConfig struct {
	Controllers       []ControllerAddress
	HeartbeatInterval time.Duration                   // mean time between heartbeats
	Lease             time.Duration                   // how long tasks are kept without a response to a heartbeat
	ImageFetchTime    time.Duration                   // duration of fetching an image
	RunTime           func(task string) time.Duration // how long a task must run to complete
	Checker           *Checker
	// SlowCheckpoints makes saving a checkpoint take the job's flush_s; otherwise it takes no
	// time.
	SlowCheckpoints bool
	// CommandFaults injects faults into requests to the agents; nil: none.
	CommandFaults FaultInjector
}

// ControllerAddress is a controller's name and the address at which agents reach it.
type ControllerAddress struct{ Name, Addr string }

// agentMachine is the machine on which an agent runs.
type agentMachine struct {
	name    string
	request wire.ScaleOutRequest // the request that created the machine
	size    wire.MachineType
}

// Agent is a fake of a machine and the agent on it.
type Agent struct {
	actor
	agentMachine
	config      AgentConfig
	host        *Host // nil unless the network is a Host
	net         transport.Network
	addr        string
	closeServer func()
	ctx         context.Context
	stop        context.CancelFunc
	random      *rand.Rand

	changeSignal    chan struct{} // of capacity one; a value causes an early heartbeat
	agentEpoch      uint64
	sequence        uint64    // of the last heartbeat
	fencingToken    uint64    // highest token received
	leaseRenewedAt  time.Time // when the last heartbeat with a valid response was sent
	tokenReportedAt time.Time // when a higher token last caused an early heartbeat
	lastTick        time.Time // time up to which tasks have progressed
	tasks           []*agentTask
	knownAttempts   map[uint64]bool      // attempts that were started and not forgotten
	imageReadyAt    map[string]time.Time // end of the fetch of each image

	hung                    chan struct{} // nil unless the machine hangs; closed when it resumes
	inboundCut, outboundCut bool
	duplicateDelay          func() time.Duration // delay of duplicate heartbeats; nil: none are sent
	savedHeartbeat          []byte               // encoded; nil: none
	terminationAt           time.Time            // announced by a termination notice; zero: there is none
}

// agentTickInterval is the interval at which an agent advances its tasks and checks its lease.
const agentTickInterval = 250 * time.Millisecond

// newAgent starts the agent of a machine. The machine's name seeds its random choices.
func newAgent(t testing.TB, network transport.Network, addr string, machine agentMachine, config AgentConfig) *Agent {
	ctx, stop := context.WithCancel(t.Context())
	seed := fnv.New64a()
	seed.Write([]byte(machine.name))
	now := time.Now()
	a := &Agent{
		actor: newActor(t), agentMachine: machine, config: config, net: network, ctx: ctx, stop: stop,
		random:     rand.New(rand.NewPCG(seed.Sum64(), 1)),
		agentEpoch: 1, leaseRenewedAt: now, lastTick: now, changeSignal: make(chan struct{}, 1),
		knownAttempts: map[uint64]bool{}, imageReadyAt: map[string]time.Time{},
	}
	a.host, _ = network.(*Host)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", a.handleCommands)
	mux.HandleFunc("GET /inspect", a.handleInspect)
	a.addr, a.closeServer = startServer(t, network, addr, withFaults(ctx, mux, config.CommandFaults))
	go a.runClock()
	go a.sendHeartbeats()
	return a
}

// Addr returns the address on which the agent accepts commands.
func (a *Agent) Addr() string { return a.addr }

// Name returns the machine's name.
func (a *Agent) Name() string { return a.name }

// Zone returns the machine's zone.
func (a *Agent) Zone() string { return a.request.Zone }

// Kill ends the machine and all tasks on it. It must be called only once.
func (a *Agent) Kill() {
	a.stop()
	a.do(a.endAllTasks)
	if a.host != nil {
		a.host.Kill()
	}
	a.closeServer()
}

// Reboot restarts the machine immediately: its tasks and images are lost, and its agent restarts
// with the first agent epoch and sequence number.
func (a *Agent) Reboot() {
	a.do(func() {
		a.endAllTasks()
		a.agentEpoch, a.sequence, a.fencingToken = 1, 0, 0
		a.leaseRenewedAt, a.tokenReportedAt = time.Now(), time.Time{}
		a.signalChange()
		a.imageReadyAt = map[string]time.Time{}
	})
}

// freeCapacity returns the machine's free capacity. It is valid only if the machine is healthy and
// a controller has recently responded to a heartbeat.
func (a *Agent) freeCapacity() (free FreeCapacity, valid bool) {
	a.do(func() {
		connected := !a.inboundCut && !a.outboundCut && time.Since(a.leaseRenewedAt) < 2*a.config.HeartbeatInterval+time.Second
		valid = a.ctx.Err() == nil && a.hung == nil && connected
		free = FreeCapacity{Type: a.request.Type, Zone: a.request.Zone, Spot: a.request.Spot, CPUs: a.size.CPUs, MemGB: a.size.MemGB}
		for _, t := range a.tasks {
			if t.Status != wire.TaskEnded {
				free.CPUs -= t.job.CPUs
				free.MemGB -= t.job.MemGB
			}
		}
	})
	return free, valid
}

// expireLease checks the lease: if it has expired, all tasks end and a new agent epoch begins.
func (a *Agent) expireLease() {
	if time.Since(a.leaseRenewedAt) > a.config.Lease {
		a.endAllTasks()
		a.agentEpoch++
		a.sequence, a.leaseRenewedAt = 0, time.Now()
		a.signalChange()
	}
}

// runClock calls tick periodically until the machine ends.
func (a *Agent) runClock() {
	tick := time.NewTicker(agentTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			a.do(a.tick)
		case <-a.ctx.Done():
			return
		}
	}
}

// tick checks the lease and advances the tasks.
func (a *Agent) tick() {
	switch {
	case a.ctx.Err() != nil:
	case a.hung == nil:
		a.expireLease()
		a.advanceTasks()
	case time.Since(a.leaseRenewedAt) > a.config.Lease:
		a.endAllTasks() // they can't continue: the lease will have expired when the machine resumes
	}
}

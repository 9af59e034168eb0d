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

// AgentConfig is what all workers of a cloud have in common.
type AgentConfig struct {
	Controllers       []ControllerAddress             // the controllers
	HeartbeatInterval time.Duration                   // between heartbeats
	Lease             time.Duration                   // how long tasks stay without a response to a heartbeat
	ImageFetchTime    time.Duration                   // how long fetching an image takes
	RunTime           func(task string) time.Duration // how long a task runs
	Checker           *Checker
	// SlowCheckpoints makes tasks take flush_s to save a checkpoint; otherwise it is immediate.
	SlowCheckpoints bool
	// CommandFaults injects faults into commands.
	CommandFaults FaultInjector
}

// ControllerAddress is a controller's name and the address at which workers reach it.
type ControllerAddress struct{ Name, Addr string }

// agentMachine is the machine of a worker.
type agentMachine struct {
	name    string
	request wire.ScaleOutRequest // which it was created for
	size    wire.MachineType
}

// Agent is a fake of a machine with its worker agent.
type Agent struct {
	actor
	agentMachine
	config      AgentConfig
	host        *Host // nil unless the network is in memory
	net         transport.Network
	addr        string
	closeServer func()
	ctx         context.Context
	stop        context.CancelFunc
	random      *rand.Rand

	changeSignal    chan struct{} // holds one when something is to be reported at once
	agentEpoch      uint64
	sequence        uint64
	fencingToken    uint64    // the highest seen
	leaseRenewedAt  time.Time // when the last heartbeat with a valid response was sent
	tokenReportedAt time.Time // when a higher token last caused an early heartbeat
	lastTick        time.Time
	tasks           []*agentTask
	knownAttempts   map[uint64]bool
	imageReadyAt    map[string]time.Time

	hung                    chan struct{} // nil unless it hangs; closed when it resumes
	inboundCut, outboundCut bool
	duplicateDelay          func() time.Duration // of duplicate heartbeats; nil: none are sent
	savedHeartbeat          []byte
}

// agentTickInterval is how often a worker advances its tasks and checks its lease.
const agentTickInterval = 250 * time.Millisecond

// newAgent starts the worker of a machine. Its random choices follow from the machine's name.
func newAgent(t testing.TB, n transport.Network, addr string, machine agentMachine, config AgentConfig) *Agent {
	ctx, stop := context.WithCancel(t.Context())
	seed := fnv.New64a()
	seed.Write([]byte(machine.name))
	now := time.Now()
	w := &Agent{
		actor: newActor(t), agentMachine: machine, config: config, net: n, ctx: ctx, stop: stop,
		random:     rand.New(rand.NewPCG(seed.Sum64(), 1)),
		agentEpoch: 1, leaseRenewedAt: now, lastTick: now, changeSignal: make(chan struct{}, 1),
		knownAttempts: map[uint64]bool{}, imageReadyAt: map[string]time.Time{},
	}
	w.host, _ = n.(*Host)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.handleCommands)
	mux.HandleFunc("GET /inspect", w.handleInspect)
	w.addr, w.closeServer = startServer(t, n, addr, withFaults(ctx, mux, config.CommandFaults))
	go w.runClock()
	go w.sendHeartbeats()
	return w
}

// Addr is the address at which it takes commands.
func (w *Agent) Addr() string { return w.addr }

// Name is the machine's name.
func (w *Agent) Name() string { return w.name }

// Zone is the machine's zone.
func (w *Agent) Zone() string { return w.request.Zone }

// Kill ends the machine with everything on it.
func (w *Agent) Kill() {
	w.stop()
	w.do(w.endAllTasks)
	if w.host != nil {
		w.host.Kill()
	}
	w.closeServer()
}

// Reboot restarts the machine at once: everything on it is lost, and its worker starts again with
// the first agent epoch and sequence number.
func (w *Agent) Reboot() {
	w.do(func() {
		w.endAllTasks()
		w.agentEpoch, w.sequence, w.fencingToken = 1, 0, 0
		w.leaseRenewedAt, w.tokenReportedAt = time.Now(), time.Time{}
		w.signalChange()
		w.imageReadyAt = map[string]time.Time{}
	})
}

// freeCapacity is what the machine has free. It is valid if the machine works and has lately been
// in contact with a controller.
func (w *Agent) freeCapacity() (free FreeCapacity, valid bool) {
	w.do(func() {
		connected := !w.inboundCut && !w.outboundCut && time.Since(w.leaseRenewedAt) < 2*w.config.HeartbeatInterval+time.Second
		valid = w.ctx.Err() == nil && w.hung == nil && connected
		free = FreeCapacity{Type: w.request.Type, Zone: w.request.Zone, Spot: w.request.Spot, CPUs: w.size.CPUs, MemGB: w.size.MemGB}
		for _, t := range w.tasks {
			if t.Status != wire.TaskEnded {
				free.CPUs -= t.job.CPUs
				free.MemGB -= t.job.MemGB
			}
		}
	})
	return free, valid
}

// expireLease ends all tasks and begins a new agent epoch if the lease has expired.
func (w *Agent) expireLease() {
	if time.Since(w.leaseRenewedAt) > w.config.Lease {
		w.endAllTasks()
		w.agentEpoch++
		w.sequence, w.leaseRenewedAt = 0, time.Now()
		w.signalChange()
	}
}

// runClock advances the worker with the passing of time.
func (w *Agent) runClock() {
	tick := time.NewTicker(agentTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.do(w.tick)
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *Agent) tick() {
	switch {
	case w.ctx.Err() != nil:
	case w.hung == nil:
		w.expireLease()
		w.advanceTasks()
	case time.Since(w.leaseRenewedAt) > w.config.Lease:
		w.endAllTasks() // it will find its lease expired when it resumes, and not run these
	}
}

package fake

import (
	"cmp"
	"os"
	"path/filepath"
	"testing"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// DeploymentPlan describes a deployment. NewDeployment sets defaults for durations that are zero.
type DeploymentPlan struct {
	Controllers, Machines int
	Teams                 []string
	// TeamCPULimits is the number of CPUs that a team may use at a time; no entry: unlimited.
	TeamCPULimits map[string]float64
	// OperatorSettings is the content of the operators' settings file.
	OperatorSettings string
	// HeartbeatInterval is the interval of the agents' heartbeats. AgentLease is how long an
	// agent keeps its tasks without a response to a heartbeat. CancelDeadline is the time
	// within which the tasks of a cancelled job must end.
	HeartbeatInterval, AgentLease, CancelDeadline time.Duration
	// RunTime returns how long a task must run to complete.
	RunTime func(task string) time.Duration
	// SlowCheckpoints makes saving a checkpoint take the job's flush_s; otherwise it takes no
	// time.
	SlowCheckpoints bool
	// Seed seeds the users' random choices; 0: 1.
	Seed uint64
	// UseRelays inserts a Relay into the connections from controllers and agents to
	// controllers, and from controllers to the key-value store. Deployment.Relays lists them.
	UseRelays bool
	// StoreFaults injects faults into requests to the key-value store, CommandFaults into
	// requests to agents, and CloudFaults into requests to the cloud; nil: none.
	StoreFaults, CommandFaults, CloudFaults FaultInjector
}

// The default durations of a deployment.
const (
	defaultHeartbeatInterval = time.Second
	defaultAgentLease        = 20 * time.Second
	defaultCancelDeadline    = 40 * time.Second
)

// Deployment consists of controllers, which are real processes on the loopback interface, and fakes
// of all other systems.
type Deployment struct {
	Store       *KVStore
	Cloud       *Cloud
	Checker     *Checker
	Users       *Users
	Controllers []*Process
	Platform    *settings.Platform // platform settings of the last controller
	Relays      []ControllerRelays // by controller; nil without DeploymentPlan.UseRelays
}

// ControllerRelays are the relays on the connections of one controller.
type ControllerRelays struct {
	Store  *Relay   // from the controller to the key-value store
	Agents *Relay   // from agents to the controller
	Peers  []*Relay // from the controller to each other controller
}

// NewDeployment starts the fakes of a deployment. The caller starts its controllers.
func NewDeployment(t *testing.T, plan DeploymentPlan) *Deployment {
	t.Helper()
	plan.setDefaults()
	network := transport.TCP{}
	d := &Deployment{Store: NewKVStore(t, network, "127.0.0.1:0", plan.StoreFaults)}
	d.Checker = NewChecker(t, Limits{CancelDeadline: plan.CancelDeadline, TeamCPULimits: plan.TeamCPULimits, MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second})
	addresses := controllerAddresses{public: ReserveAddresses(t, plan.Controllers), peer: ReserveAddresses(t, plan.Controllers)}
	d.Users = NewUsers(t, network, addresses.public, d.Checker, cmp.Or(plan.Seed, 1))
	heartbeatAddresses := addresses.public
	if plan.UseRelays {
		heartbeatAddresses = d.addRelays(t, addresses.public)
	}
	d.Cloud = NewCloud(t, network, "127.0.0.1:0", plan.cloudConfig(heartbeatAddresses, d.Checker))
	d.addControllers(t, &plan, addresses)
	return d
}

func (plan *DeploymentPlan) setDefaults() {
	plan.HeartbeatInterval = cmp.Or(plan.HeartbeatInterval, defaultHeartbeatInterval)
	plan.AgentLease = cmp.Or(plan.AgentLease, defaultAgentLease)
	plan.CancelDeadline = cmp.Or(plan.CancelDeadline, defaultCancelDeadline)
}

// addRelays adds, for each controller, a relay to the key-value store and one to the controller's
// public address. It returns the addresses to which agents send heartbeats.
func (d *Deployment) addRelays(t *testing.T, public []string) (heartbeatAddresses []string) {
	for _, addr := range public {
		relays := ControllerRelays{Store: NewRelay(t, d.Store.Addr()), Agents: NewRelay(t, addr)}
		d.Relays = append(d.Relays, relays)
		heartbeatAddresses = append(heartbeatAddresses, relays.Agents.Addr())
	}
	return heartbeatAddresses
}

// addControllers writes the settings files and adds the controllers, which are not started.
func (d *Deployment) addControllers(t *testing.T, plan *DeploymentPlan, addresses controllerAddresses) {
	t.Helper()
	dir := t.TempDir()
	operatorFile := filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(operatorFile, []byte(plan.OperatorSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	facts := plan.facts()
	for i := range plan.Controllers {
		platform := d.platform(t, i, facts, addresses)
		d.Platform = &platform
		d.Controllers = append(d.Controllers, NewProcess(t, dir, platform, "--settings", operatorFile))
	}
}

// platform returns the platform settings of one controller.
func (d *Deployment) platform(t *testing.T, i int, facts settings.Facts, addresses controllerAddresses) settings.Platform {
	platform := settings.Platform{
		Name: controllerName(i), Zone: "a", PublicAddr: addresses.public[i], PeerAddr: addresses.peer[i], Facts: facts,
		Services: settings.Services{Store: d.Store.Addr(), Cloud: d.Cloud.Addr()},
	}
	if d.Relays != nil {
		platform.Services.Store = d.Relays[i].Store.Addr()
	}
	for other, address := range addresses.peer {
		if other != i {
			platform.Peers = append(platform.Peers, settings.Peer{Name: controllerName(other), Zone: "a", Addr: d.peerAddress(t, i, address)})
		}
	}
	return platform
}

// peerAddress returns the address at which the controller with index from reaches the peer at an
// address. With relays it adds a relay to the peer and returns the relay's address.
func (d *Deployment) peerAddress(t *testing.T, from int, address string) string {
	if d.Relays == nil {
		return address
	}
	relay := NewRelay(t, address)
	d.Relays[from].Peers = append(d.Relays[from].Peers, relay)
	return relay.Addr()
}

// controllerAddresses are the addresses of a deployment's controllers: the public ones for users
// and agents, and those for peers.
type controllerAddresses struct{ public, peer []string }

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

// DeploymentPlan describes a deployment. Times that are zero get defaults.
type DeploymentPlan struct {
	Controllers, Machines int
	Teams                 []string
	// TeamCPULimits bounds the CPUs that a team uses at a time; no entry: unlimited.
	TeamCPULimits map[string]float64
	// OperatorSettings is the text of the operators' settings file.
	OperatorSettings string
	// HeartbeatInterval is that of the workers, AgentLease how long a worker keeps its tasks
	// without a response, and CancelDeadline within which time the tasks of a cancelled job end.
	HeartbeatInterval, AgentLease, CancelDeadline time.Duration
	// RunTime is how long a task runs.
	RunTime func(task string) time.Duration
	// SlowCheckpoints makes tasks take flush_s to save a checkpoint; otherwise it is immediate.
	SlowCheckpoints bool
	// Seed is that of the users' random choices.
	Seed uint64
	// UseRelays puts relays into the connections from controllers and workers to controllers, and
	// from controllers to the key-value store. Deployment.Relays lists them.
	UseRelays bool
	// WriteFaults are injected into transactions of the key-value store, CommandFaults into
	// commands to workers, and CloudFaults into calls of the cloud.
	WriteFaults, CommandFaults, CloudFaults FaultInjector
}

// The default times of a deployment's workers.
const (
	defaultHeartbeatInterval = time.Second
	defaultAgentLease        = 20 * time.Second
	defaultCancelDeadline    = 40 * time.Second
)

// Deployment has controllers as real processes on the loopback interface, and fakes of all other
// systems.
type Deployment struct {
	Store       *KVStore
	Cloud       *Cloud
	Checker     *Checker
	Users       *Users
	Controllers []*Process
	Platform    *settings.Platform // of one controller
	Relays      []ControllerRelays // by controller, with DeploymentPlan.UseRelays
}

// ControllerRelays are the relays around one controller.
type ControllerRelays struct {
	Store  *Relay   // from it to the key-value store
	Agents *Relay   // from workers to it
	Peers  []*Relay // from it to the other controllers
}

// NewDeployment makes a deployment. Its controllers are not started yet.
func NewDeployment(t *testing.T, p DeploymentPlan) *Deployment {
	t.Helper()
	p.setDefaults()
	network := transport.TCP{}
	d := &Deployment{Store: NewKVStore(t, network, "127.0.0.1:0", p.WriteFaults)}
	d.Checker = NewChecker(t, Limits{CancelDeadline: p.CancelDeadline, TeamCPULimits: p.TeamCPULimits, MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second})
	addresses := controllerAddresses{public: ReserveAddresses(t, p.Controllers), peer: ReserveAddresses(t, p.Controllers)}
	d.Users = NewUsers(t, network, addresses.public, d.Checker, cmp.Or(p.Seed, 1))
	heartbeatAddresses := addresses.public
	if p.UseRelays {
		heartbeatAddresses = d.addRelays(t, addresses.public)
	}
	d.Cloud = NewCloud(t, network, "127.0.0.1:0", p.cloudConfig(heartbeatAddresses, d.Checker))
	d.addControllers(t, &p, addresses)
	return d
}

func (p *DeploymentPlan) setDefaults() {
	p.HeartbeatInterval = cmp.Or(p.HeartbeatInterval, defaultHeartbeatInterval)
	p.AgentLease = cmp.Or(p.AgentLease, defaultAgentLease)
	p.CancelDeadline = cmp.Or(p.CancelDeadline, defaultCancelDeadline)
}

// addRelays puts relays before the key-value store and the controllers' public addresses. It
// returns the addresses to which workers send heartbeats.
func (d *Deployment) addRelays(t *testing.T, public []string) (heartbeatAddresses []string) {
	for _, addr := range public {
		relays := ControllerRelays{Store: NewRelay(t, d.Store.Addr()), Agents: NewRelay(t, addr)}
		d.Relays = append(d.Relays, relays)
		heartbeatAddresses = append(heartbeatAddresses, relays.Agents.Addr())
	}
	return heartbeatAddresses
}

// addControllers writes the settings files and adds the controllers.
func (d *Deployment) addControllers(t *testing.T, p *DeploymentPlan, addresses controllerAddresses) {
	t.Helper()
	dir := t.TempDir()
	operator := filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(operator, []byte(p.OperatorSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	facts := p.facts()
	for i := range p.Controllers {
		platform := d.platform(t, i, facts, addresses)
		d.Platform = &platform
		d.Controllers = append(d.Controllers, NewProcess(t, dir, platform, "--settings", operator))
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
	for k, address := range addresses.peer {
		if k != i {
			platform.Peers = append(platform.Peers, settings.Peer{Name: controllerName(k), Zone: "a", Addr: d.peerAddress(t, i, address)})
		}
	}
	return platform
}

// peerAddress is the address at which one controller reaches another: with relays, a new one's.
func (d *Deployment) peerAddress(t *testing.T, from int, address string) string {
	if d.Relays == nil {
		return address
	}
	relay := NewRelay(t, address)
	d.Relays[from].Peers = append(d.Relays[from].Peers, relay)
	return relay.Addr()
}

// controllerAddresses are the addresses of a deployment's controllers for users and workers, and
// for one another.
type controllerAddresses struct{ public, peer []string }

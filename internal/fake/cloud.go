package fake

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// CloudConfig configures a Cloud.
type CloudConfig struct {
	Types       []wire.MachineType
	BootTime    time.Duration // from the scale-out request until a machine runs
	ListLag     time.Duration // from the scale-out request until a machine is listed
	MaxMachines int           // limit on machines at the same time; 0: unlimited
	NamePrefix  string        // prefix of machine names; "": vm-
	Agent       AgentConfig
	// NewHost returns the network that a new machine uses and the address on which it listens.
	NewHost func(name string) (network transport.Network, addr string)
	Faults  FaultInjector // faults of API calls; nil: none
}

// Cloud is a fake of the cloud's API. Each of its machines is simulated by an Agent.
type Cloud struct {
	actor
	t      testing.TB
	addr   string
	config CloudConfig
	// scaleOuts has the names of the machines of each request ID, so that repeated requests are
	// idempotent.
	scaleOuts       map[string][]string
	machines        map[string]*cloudMachine // by name
	machinesCreated int
}

// cloudMachine is the state of one machine.
type cloudMachine struct {
	listed    wire.ListedMachine
	agent     *Agent // nil while it boots
	createdAt time.Time
	deleted   bool // a boot that is in progress does not start the agent
}

// NewCloud starts a cloud at an address. It runs until the test ends.
func NewCloud(t testing.TB, network transport.Network, addr string, config CloudConfig) *Cloud {
	c := &Cloud{actor: newActor(t), t: t, config: config, scaleOuts: map[string][]string{}, machines: map[string]*cloudMachine{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.MachineTypes{Types: config.Types})
	})
	mux.HandleFunc("POST /machines", c.handleScaleOut)
	mux.HandleFunc("POST /machines/delete", c.handleDelete)
	mux.HandleFunc("GET /machines", c.handleList)
	c.addr, _ = startServer(t, network, addr, withFaults(t.Context(), mux, config.Faults))
	return c
}

// Addr returns the address of the cloud's API.
func (c *Cloud) Addr() string { return c.addr }

// Terminate terminates machines and everything that runs on them without notice, as the cloud does
// with spot instances. Unknown names are ignored.
func (c *Cloud) Terminate(names ...string) {
	var agents []*Agent
	c.do(func() {
		for _, name := range names {
			m := c.machines[name]
			if m == nil {
				continue
			}
			m.deleted = true
			if m.agent != nil {
				agents = append(agents, m.agent)
			}
			delete(c.machines, name)
		}
	})
	for _, agent := range agents {
		agent.Kill()
	}
}

// Agents lists the agents of the running machines, sorted by name.
func (c *Cloud) Agents() (agents []*Agent) {
	c.do(func() {
		for _, m := range c.machines {
			if m.agent != nil {
				agents = append(agents, m.agent)
			}
		}
	})
	slices.SortFunc(agents, func(a, b *Agent) int { return strings.Compare(a.name, b.name) })
	return agents
}

// FreeCapacity lists the free capacity of the machines that are healthy and in contact with a
// controller.
func (c *Cloud) FreeCapacity() (free []FreeCapacity) {
	for _, agent := range c.Agents() {
		if capacity, ok := agent.freeCapacity(); ok {
			free = append(free, capacity)
		}
	}
	return free
}

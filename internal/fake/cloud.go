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

// CloudConfig describes a cloud.
type CloudConfig struct {
	Types       []wire.MachineType
	BootTime    time.Duration // from the request until a machine is up
	ListLag     time.Duration // from the request until a machine is listed
	MaxMachines int           // machines at the same time; 0: unlimited
	NamePrefix  string        // of the machines' names; "": vm-
	Agent       AgentConfig
	// NewHost makes the network of a machine, and its address there.
	NewHost func(name string) (n transport.Network, addr string)
	Faults  FaultInjector
}

// Cloud is a fake of the cloud's API. Its machines run fake workers.
type Cloud struct {
	actor
	t               testing.TB
	addr            string
	config          CloudConfig
	scaleOuts       map[string][]string // machines by request ID, so that a repeated request gets the same
	machines        map[string]*cloudMachine
	machinesCreated int
}

type cloudMachine struct {
	listed    wire.ListedMachine
	agent     *Agent // nil while it boots
	createdAt time.Time
	deleted   bool
}

// NewCloud starts a cloud that lives as long as the test.
func NewCloud(t testing.TB, n transport.Network, addr string, config CloudConfig) *Cloud {
	c := &Cloud{actor: newActor(t), t: t, config: config, scaleOuts: map[string][]string{}, machines: map[string]*cloudMachine{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.MachineTypes{Types: config.Types})
	})
	mux.HandleFunc("POST /machines", c.handleScaleOut)
	mux.HandleFunc("POST /machines/delete", c.handleDelete)
	mux.HandleFunc("GET /machines", c.handleList)
	c.addr, _ = startServer(t, n, addr, withFaults(t.Context(), mux, config.Faults))
	return c
}

// Addr is the address of the cloud's API.
func (c *Cloud) Addr() string { return c.addr }

// Terminate terminates machines with everything on them, as the cloud does with spot instances.
func (c *Cloud) Terminate(names ...string) {
	var workers []*Agent
	c.do(func() {
		for _, name := range names {
			m := c.machines[name]
			if m == nil {
				continue
			}
			m.deleted = true
			if m.agent != nil {
				workers = append(workers, m.agent)
			}
			delete(c.machines, name)
		}
	})
	for _, w := range workers {
		w.Kill()
	}
}

// Agents lists the workers of the machines that are up, by name.
func (c *Cloud) Agents() (workers []*Agent) {
	c.do(func() {
		for _, m := range c.machines {
			if m.agent != nil {
				workers = append(workers, m.agent)
			}
		}
	})
	slices.SortFunc(workers, func(a, b *Agent) int { return strings.Compare(a.name, b.name) })
	return workers
}

// FreeCapacity lists the free capacity of the machines that work and are in contact with a controller.
func (c *Cloud) FreeCapacity() (free []FreeCapacity) {
	for _, w := range c.Agents() {
		if capacity, ok := w.freeCapacity(); ok {
			free = append(free, capacity)
		}
	}
	return free
}

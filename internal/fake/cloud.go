package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
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
	Types   []wire.MachineType
	Boot    time.Duration // how long a machine takes to come up
	ListLag time.Duration // how late a machine is listed
	Most    int           // machines at the same time; 0: no bound
	Prefix  string        // of the machines' names; "": vm-
	Worker  WorkerConfig
	// Host makes the network of a machine, and its address there.
	Host    func(name string) (n transport.Network, addr string)
	Trouble Troubles
}

// Cloud stands in for the cloud. Its machines run workers.
type Cloud struct {
	actor
	t        testing.TB
	addr     string
	config   CloudConfig
	hires    map[string][]string
	machines map[string]*rented
	count    int
}

type rented struct {
	listed wire.ListedMachine
	worker *Worker // nil while it boots
	since  time.Time
	gone   bool
}

// NewCloud starts a cloud.
func NewCloud(t testing.TB, n transport.Network, addr string, config CloudConfig) *Cloud {
	c := &Cloud{actor: newActor(t), t: t, config: config, hires: map[string][]string{}, machines: map[string]*rented{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, wire.MachineTypes{Types: config.Types})
	})
	mux.HandleFunc("POST /machines", c.hire)
	mux.HandleFunc("POST /machines/delete", c.remove)
	mux.HandleFunc("GET /machines", c.list)
	c.addr, _ = serve(t, n, addr, troubled(t.Context(), mux, config.Trouble))
	return c
}

// Addr is where it listens.
func (c *Cloud) Addr() string { return c.addr }

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var h wire.ScaleOutRequest
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	at := slices.IndexFunc(c.config.Types, func(t wire.MachineType) bool { return t.Name == h.Type })
	if at < 0 || h.Count < 1 || h.Count > 50 {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such type, or a wrong number"})
		return
	}
	var names []string
	c.do(func() {
		if known, ok := c.hires[h.RequestID]; ok {
			names = known
			return
		}
		for range h.Count {
			if c.config.Most > 0 && len(c.machines) >= c.config.Most {
				break
			}
			names = append(names, c.rent(h, c.config.Types[at]))
		}
		if len(names) > 0 {
			c.hires[h.RequestID] = names
		}
	})
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	answer(w, http.StatusOK, wire.MachineNames{Names: names})
}

// rent has a machine come up.
func (c *Cloud) rent(h wire.ScaleOutRequest, size wire.MachineType) string {
	name := fmt.Sprintf("%s%06d", cmp.Or(c.config.Prefix, "vm-"), c.count)
	c.count++
	n, addr := c.config.Host(name)
	m := &rented{since: time.Now(), listed: wire.ListedMachine{Name: name, Address: addr, CapacityPool: h.CapacityPool, Status: wire.MachineBooting}}
	c.machines[name] = m
	ctx := c.t.Context()
	go func() {
		transport.Pause(ctx, c.config.Boot)
		c.do(func() {
			if m.gone || ctx.Err() != nil {
				return
			}
			m.worker = newWorker(c.t, n, addr, name, h, size, c.config.Worker)
			m.listed.Address, m.listed.Status = m.worker.Addr(), wire.MachineRunning
		})
	}()
	return name
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var m wire.MachineNames
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	c.Take(m.Names...)
	answer(w, http.StatusOK, struct{}{})
}

// Take ends machines with everything on them.
func (c *Cloud) Take(names ...string) {
	var gone []*Worker
	c.do(func() {
		for _, name := range names {
			m := c.machines[name]
			if m == nil {
				continue
			}
			m.gone = true
			if m.worker != nil {
				gone = append(gone, m.worker)
			}
			delete(c.machines, name)
		}
	})
	for _, g := range gone {
		g.Kill()
	}
}

// Workers lists the machines that are up, in the order of their names.
func (c *Cloud) Workers() (up []*Worker) {
	c.do(func() {
		for _, m := range c.machines {
			if m.worker != nil {
				up = append(up, m.worker)
			}
		}
	})
	slices.SortFunc(up, func(a, b *Worker) int { return strings.Compare(a.name, b.name) })
	return up
}

// Name is the machine's, and Zone where it is.
func (w *Worker) Name() string { return w.name }

// Zone is where the machine is.
func (w *Worker) Zone() string { return w.hire.Zone }

// Rooms tells what the machines that work and hear the controllers have free.
func (c *Cloud) Rooms() (rooms []Room) {
	for _, w := range c.Workers() {
		if room, ok := w.hears(); ok {
			rooms = append(rooms, room)
		}
	}
	return rooms
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	c.do(func() {
		for _, m := range c.machines {
			if time.Since(m.since) < c.config.ListLag {
				continue
			}
			l := m.listed
			l.AgeS = time.Since(m.since).Seconds()
			list.Machines = append(list.Machines, l)
		}
	})
	slices.SortFunc(list.Machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	answer(w, http.StatusOK, list)
}

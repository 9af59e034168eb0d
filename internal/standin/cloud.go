package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// Cloud stands in for the cloud. Its machines boot at once and run workers.
type Cloud struct {
	actor
	t        testing.TB
	server   *httptest.Server
	types    []wire.MachineType
	worker   WorkerConfig
	hires    map[string][]string
	machines map[string]*rented
	count    int
}

type rented struct {
	listed wire.ListedMachine
	worker *Worker
	since  time.Time
}

// NewCloud starts a cloud whose machines' workers are made by config.
func NewCloud(t testing.TB, types []wire.MachineType, config WorkerConfig, trouble func(r *http.Request) Trouble) *Cloud {
	c := &Cloud{actor: newActor(t.Context().Done()), t: t, types: types, worker: config, hires: map[string][]string{}, machines: map[string]*rented{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, wire.Flavors{Types: types})
	})
	mux.HandleFunc("POST /machines", c.hire)
	mux.HandleFunc("POST /machines/delete", c.remove)
	mux.HandleFunc("GET /machines", c.list)
	c.server = httptest.NewServer(troubled(mux, trouble))
	t.Cleanup(func() { c.server.CloseClientConnections(); c.server.Close() })
	return c
}

// Addr is where it listens.
func (c *Cloud) Addr() string { return c.server.Listener.Addr().String() }

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var h wire.Hire
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		answer(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	var names []string
	c.do(func() {
		if known, ok := c.hires[h.Request]; ok {
			names = known
			return
		}
		for range h.Count {
			name := fmt.Sprintf("vm-%06d", c.count)
			c.count++
			worker := newWorker(c.t, name, h, c.worker)
			c.machines[name] = &rented{worker: worker, since: time.Now(), listed: wire.ListedMachine{
				Name: name, Address: worker.Addr(), Type: h.Type, Zone: h.Zone, Spot: h.Spot, Status: wire.MachineUp}}
			names = append(names, name)
		}
		c.hires[h.Request] = names
	})
	answer(w, http.StatusOK, wire.Machines{Machines: names})
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var m wire.Machines
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		answer(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	var gone []*Worker
	c.do(func() {
		for _, name := range m.Machines {
			if r := c.machines[name]; r != nil {
				gone = append(gone, r.worker)
				delete(c.machines, name)
			}
		}
	})
	for _, g := range gone {
		g.Kill()
	}
	answer(w, http.StatusOK, struct{}{})
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	c.do(func() {
		for _, m := range c.machines {
			l := m.listed
			l.AgeS = time.Since(m.since).Seconds()
			list.Machines = append(list.Machines, l)
		}
	})
	sort.Slice(list.Machines, func(a, b int) bool { return list.Machines[a].Name < list.Machines[b].Name })
	answer(w, http.StatusOK, list)
}

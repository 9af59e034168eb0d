package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"leadproxy/internal/wire"
)

// cloudPlan says what the cloud has.
type cloudPlan struct {
	types    []wire.MachineType
	capacity map[wire.CapacityPool]int // machines at the same time; no entry: none
	boot     time.Duration
	listLag  time.Duration
}

// cloud is a stand-in of the cloud.
type cloud struct {
	world *world
	plan  cloudPlan
	addr  string

	mutex    sync.Mutex
	answers  map[string][]string // by the name of the request
	machines map[string]*rented
	created  int
	onUp     func(a *agent) // called with each machine that is up
}

// rented is one machine.
type rented struct {
	pool    wire.CapacityPool
	agent   *agent // nil while it boots
	created time.Time
}

// newCloud starts the cloud's API.
func newCloud(w *world, plan cloudPlan) (*cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{world: w, plan: plan, addr: listener.Addr().String(), answers: map[string][]string{}, machines: map[string]*rented{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, wire.MachineTypes{Types: plan.types})
	})
	mux.HandleFunc("POST /machines", c.serveRent)
	mux.HandleFunc("POST /machines/delete", c.serveDelete)
	mux.HandleFunc("GET /machines", c.serveList)
	go http.Serve(listener, mux)
	return c, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if json.NewEncoder(w).Encode(body) != nil {
		return // the caller has closed the connection
	}
}

func (c *cloud) serveRent(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 || request.Count > 50 {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	c.mutex.Lock()
	names := c.rent(request)
	c.mutex.Unlock()
	c.world.rec.add("answer  rental %s of %d %s (spot %v): %v", request.RequestID, request.Count, request.Type, request.Spot, names)
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, wire.MachineNames{Names: names})
}

// rent rents as many machines as the pool has. A repeated request returns the same ones.
func (c *cloud) rent(request wire.ScaleOutRequest) []string {
	if names, known := c.answers[request.RequestID]; known {
		return names
	}
	used := 0
	for _, m := range c.machines {
		if m.pool == request.CapacityPool {
			used++
		}
	}
	var names []string
	for ; used < c.plan.capacity[request.CapacityPool] && len(names) < request.Count; used++ {
		name := fmt.Sprintf("vm-%06d", c.created)
		c.created++
		m := &rented{pool: request.CapacityPool, created: time.Now()}
		c.machines[name] = m
		names = append(names, name)
		time.AfterFunc(c.plan.boot, func() { c.bringUp(name, m) })
	}
	if len(names) > 0 {
		c.answers[request.RequestID] = names
	}
	return names
}

// bringUp starts the agent of a machine that has booted, unless it was deleted meanwhile.
func (c *cloud) bringUp(name string, m *rented) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.machines[name] != m {
		return
	}
	kind := slices.IndexFunc(c.plan.types, func(t wire.MachineType) bool { return t.Name == m.pool.Type })
	a, err := newAgent(c.world, name, m.pool, c.plan.types[kind])
	if err != nil {
		c.world.rec.add("error   machine %s: %v", name, err)
		return
	}
	m.agent = a
	if c.onUp != nil {
		c.onUp(a)
	}
}

func (c *cloud) serveDelete(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Names) > 100 {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	c.world.rec.add("sent    deletion of %v", request.Names)
	for _, name := range request.Names {
		c.mutex.Lock()
		m := c.machines[name]
		delete(c.machines, name)
		c.mutex.Unlock()
		if m != nil && m.agent != nil {
			m.agent.kill()
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *cloud) serveList(w http.ResponseWriter, r *http.Request) {
	list := wire.MachineList{Machines: []wire.ListedMachine{}}
	c.mutex.Lock()
	for name, m := range c.machines {
		if time.Since(m.created) < c.plan.listLag || name <= r.FormValue("from") {
			continue
		}
		listed := wire.ListedMachine{Name: name, CapacityPool: m.pool, Status: wire.MachineBooting, AgeS: time.Since(m.created).Seconds()}
		if m.agent != nil {
			listed.Address, listed.Status = m.agent.addr, wire.MachineRunning
		}
		list.Machines = append(list.Machines, listed)
	}
	c.mutex.Unlock()
	slices.SortFunc(list.Machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, list)
}

// agents returns the agents of the machines that are up.
func (c *cloud) agents() (up []*agent) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.machines {
		if m.agent != nil {
			up = append(up, m.agent)
		}
	}
	return up
}

// rentedSoFar returns how many machines have been rented.
func (c *cloud) rentedSoFar() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.created
}

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// flavor is a machine type as the cloud lists it.
type flavor struct {
	Name        string   `json:"name"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Rate        float64  `json:"rate"`
	MarketPrice float64  `json:"market_price"`
	StartupS    float64  `json:"startup_s"`
	Rooms       []string `json:"rooms"`
}

// pool is what the cloud rents machines from.
type pool struct {
	Flavor  string `json:"flavor"`
	Room    string `json:"room"`
	Loaners bool   `json:"loaners"`
}

// cloud is a stand-in of the cloud.
type cloud struct {
	mu       sync.Mutex
	addr     string
	world    *world
	flavors  []flavor
	capacity map[pool]int // machines that a pool has left
	boot     func(pool) time.Duration
	listLag  time.Duration
	outage   bool
	hires    map[string][]string
	machines []*rented // in the order of their creation
	byName   map[string]*rented
}

// rented is a machine of the cloud.
type rented struct {
	name    string
	pool    pool
	address string
	created time.Time
	upAt    time.Time // zero: booting
	goneAt  time.Time // zero: there
	worker  *worker
}

func newCloud(w *world, flavors []flavor, capacity map[pool]int, listLag time.Duration) *cloud {
	c := &cloud{world: w, flavors: flavors, capacity: capacity, listLag: listLag, hires: map[string][]string{}, byName: map[string]*rented{},
		boot: func(pool) time.Duration { return 1500 * time.Millisecond }}
	listener := listen()
	c.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", c.guard(func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"flavors": c.flavors}) }))
	mux.HandleFunc("POST /machines", c.guard(c.hire))
	mux.HandleFunc("POST /machines/delete", c.guard(c.remove))
	mux.HandleFunc("GET /machines", c.guard(c.list))
	go serve(listener, mux)
	return c
}

func (c *cloud) setOutage(on bool) {
	c.mu.Lock()
	c.outage = on
	c.mu.Unlock()
}

// guard answers 503 during an outage.
func (c *cloud) guard(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		outage := c.outage
		c.mu.Unlock()
		if outage {
			reply(w, 503, map[string]string{"error": "trouble"})
			return
		}
		time.Sleep(20 * time.Millisecond)
		handle(w, r)
	}
}

func (c *cloud) hire(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire   string `json:"hire"`
		Number int    `json:"number"`
		pool
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Number < 1 || request.Number > 50 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, known := c.hires[request.Hire]; known {
		reply(w, 200, map[string]any{"hosts": names})
		return
	}
	names := []string{}
	for len(names) < request.Number && c.capacity[request.pool] > 0 {
		c.capacity[request.pool]--
		names = append(names, c.start(request.pool))
	}
	if len(names) == 0 {
		reply(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	c.hires[request.Hire] = names
	reply(w, 200, map[string]any{"hosts": names})
}

func (c *cloud) start(p pool) string {
	m := &rented{name: fmt.Sprintf("vm-%06d", len(c.machines)+1), pool: p, created: time.Now()}
	listener := listen()
	m.address = listener.Addr().String()
	c.machines, c.byName[m.name] = append(c.machines, m), m
	time.AfterFunc(c.boot(p), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() {
			m.upAt = time.Now()
			m.worker = newWorker(c.world, m, listener)
		}
	})
	return m.name
}

func (c *cloud) remove(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > 100 {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	for _, name := range request.Hosts {
		c.take(name, "returned")
	}
	reply(w, 200, map[string]any{})
}

// take ends a machine and everything on it.
func (c *cloud) take(name, why string) {
	c.mu.Lock()
	m := c.byName[name]
	if m == nil || !m.goneAt.IsZero() {
		c.mu.Unlock()
		return
	}
	m.goneAt = time.Now()
	c.capacity[m.pool]++
	worker := m.worker
	c.mu.Unlock()
	c.world.record("machine %s is gone: %s", name, why)
	if worker != nil {
		worker.end()
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from, asOf := r.FormValue("from"), time.Now().Add(-c.listLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := []any{}
	for _, m := range c.machines {
		if m.name <= from || m.created.After(asOf) || !m.goneAt.IsZero() && m.goneAt.Before(asOf) {
			continue
		}
		status := "booting"
		if !m.upAt.IsZero() && m.upAt.Before(asOf) {
			status = "running"
		}
		hosts = append(hosts, map[string]any{"ref": m.name, "address": m.address, "flavor": m.pool.Flavor, "room": m.pool.Room,
			"loaners": m.pool.Loaners, "status": status, "held_s": asOf.Sub(m.created).Seconds()})
	}
	reply(w, 200, map[string]any{"hosts": hosts, "has_next": false})
}

// workers lists the workers that are up, by name.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.goneAt.IsZero() {
			all = append(all, m.worker)
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].machine.name < all[b].machine.name })
	return all
}

func (c *cloud) flavor(name string) flavor {
	for _, f := range c.flavors {
		if f.Name == name {
			return f
		}
	}
	return flavor{}
}

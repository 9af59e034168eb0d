package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// site holds the settings of a deployment.
type site struct {
	zones                    []string
	reportS, leaseS, cancelS float64
	limits                   siteLimits
	cloudRPS, listLagS       float64
	teams                    []team
	objectives               string
	cpuShare, ramMB          float64
	sockets                  int
	clockErrorMS             float64
	relayPeers, relayStore   bool
	relayWorkers             bool
	logLevel                 string
	settings                 string // of the operators; "": none
	controllers              int
}

type team struct {
	name                         string
	cpus, cpusMax, gpus, gpusMax float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func (s *site) report() time.Duration { return seconds(s.reportS) }
func (s *site) lease() time.Duration  { return seconds(s.leaseS) }
func (s *site) cancel() time.Duration { return seconds(s.cancelS) }

// world is a deployment: the stand-ins, the controllers and the record.
type world struct {
	site    site
	dir     string
	program string
	began   time.Time
	store   *store
	cloud   *cloud
	checker *checker
	nodes   []*node

	mu       sync.Mutex
	out      *os.File
	finished bool
}

// node is one controller.
type node struct {
	name, zone   string
	public, back string
	front        *storeFront
	storeRelay   *relay
	peerRelays   map[string]*relay // by the other controller's name
	workerRelays map[string]*relay // by zone
	config       string
	extra        []string
	process      *exec.Cmd
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out != nil {
		fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished
}

func (w *world) finish() {
	w.mu.Lock()
	w.finished = true
	w.mu.Unlock()
}

// newWorld builds a deployment. Its controllers are not started.
func newWorld(s site, out *os.File, flavors []flavor, capacity map[pool]int) *world {
	dir, err := os.MkdirTemp("", "leadproxy-review-")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	program := os.Getenv("LEADPROXY")
	if program == "" {
		program = "target/leadproxy"
	}
	w := &world{site: s, dir: dir, program: program, began: time.Now(), out: out}
	tempDirs = append(tempDirs, dir)
	w.store = newStore(s.limits)
	w.checker = newChecker(w)
	w.cloud = newCloud(w, flavors, capacity, seconds(s.listLagS))
	for i := range s.controllers {
		n := &node{name: fmt.Sprintf("worker-%d", i), zone: s.zones[i%len(s.zones)], public: freeAddr(), back: freeAddr(), front: newStoreFront(w.store)}
		n.storeRelay = newRelay(n.front.addr)
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		n.peerRelays, n.workerRelays = map[string]*relay{}, map[string]*relay{}
		for _, other := range w.nodes {
			if other != n {
				n.peerRelays[other.name] = newRelay(other.back)
			}
		}
		for _, zone := range s.zones {
			n.workerRelays[zone] = newRelay(n.public)
		}
		w.writeConfig(n)
	}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			w.checker.checkCancelled()
		}
	}()
	return w
}

// freeAddr returns a free loopback address. Its port lies below those that the system gives to
// outgoing connections, so that it stays free while a controller is down.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		listener.Close()
		if !usedAddrs[addr] {
			usedAddrs[addr] = true
			return addr
		}
	}
}

var usedAddrs = map[string]bool{}

// forWorkers returns the address at which a worker reaches the node.
func (n *node) forWorkers(k *worker) string {
	if k.world.site.relayWorkers {
		return n.workerRelays[k.machine.pool.Room].addr
	}
	return n.public
}

func (w *world) nodeIndex(name string) int {
	for i, n := range w.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// writeConfig writes a node's settings file.
func (w *world) writeConfig(n *node) {
	s := &w.site
	var text strings.Builder
	storeAddr := n.front.addr
	if s.relayStore {
		storeAddr = n.storeRelay.addr
	}
	fmt.Fprintf(&text, "host_name = %q\nsite = %q\npublic_addr = %q\nback = %q\n", n.name, n.zone, n.public, n.back)
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		endpoint := other.back
		if s.relayPeers {
			endpoint = n.peerRelays[other.name].addr
		}
		fmt.Fprintf(&text, "\n[[others]]\nhost_name = %q\nsite = %q\nendpoint = %q\n", other.name, other.zone, endpoint)
	}
	fmt.Fprintf(&text, "\n[services]\ncloud = %q\nstate = %q\n", w.cloud.addr, storeAddr)
	zones, _ := json.Marshal(s.zones)
	fmt.Fprintf(&text, "\n[facts]\nnodes = %d\nzones = %s\nclock_error_ms = %.1f\n", len(w.nodes), zones, s.clockErrorMS)
	for _, t := range s.teams {
		fmt.Fprintf(&text, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = %.1f\ngpus_max = %.1f\n", t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
	}
	text.WriteString(s.objectives)
	fmt.Fprintf(&text, "\n[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n", s.reportS, s.leaseS, s.cancelS)
	fmt.Fprintf(&text, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.limits.rps, s.limits.writeRPS, s.limits.valueKB, s.limits.txnOps)
	fmt.Fprintf(&text, "\n[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&text, "\n[facts.resources]\ncpu_share = %.2f\nram_mb = %.1f\nsockets = %d\n", s.cpuShare, s.ramMB, s.sockets)
	n.config = filepath.Join(w.dir, n.name+".toml")
	if err := os.WriteFile(n.config, []byte(text.String()), 0o600); err != nil {
		fail("write the settings: %v", err)
	}
	if s.settings != "" {
		path := filepath.Join(w.dir, "leadproxy.ini")
		if err := os.WriteFile(path, []byte(s.settings), 0o600); err != nil {
			fail("write the settings: %v", err)
		}
		n.extra = []string{"--settings", path}
	}
}

// start starts a controller with the command of the deploy file.
func (w *world) start(n *node) {
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("open a log: %v", err)
	}
	defer log.Close()
	n.process = exec.Command(w.program, append(append([]string{}, n.extra...), "--config", n.config)...)
	n.process.Env = append(os.Environ(), "LOG_LEVEL="+w.site.logLevel)
	n.process.Stderr = log
	if err := n.process.Start(); err != nil {
		fail("start a controller: %v", err)
	}
	addProcess(n.process)
	w.record("%s is started", n.name)
}

// kill ends a controller.
func (w *world) kill(n *node) {
	w.record("%s is killed", n.name)
	n.process.Process.Kill()
	n.process.Wait()
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		w.start(n)
	}
}

// leader returns the controller that holds the key of the leader, or nil.
func (w *world) leader() *node {
	var holder struct {
		Node string `json:"node"`
	}
	if value := w.store.value("leader"); value == nil || json.Unmarshal(value, &holder) != nil {
		return nil
	}
	if i := w.nodeIndex(holder.Node); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

// await waits until a condition holds, and reports whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

var (
	processMu sync.Mutex
	processes []*exec.Cmd
	tempDirs  []string
)

func addProcess(p *exec.Cmd) {
	processMu.Lock()
	processes = append(processes, p)
	processMu.Unlock()
}

// stopAll ends the processes that this one has started, and removes its temporary folders.
func stopAll() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, p := range processes {
		if p.ProcessState == nil {
			p.Process.Kill()
			p.Wait()
		}
	}
	for _, dir := range tempDirs {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Fprintln(os.Stderr, dir)
		}
	}
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a machine's worker.
type worker struct {
	world   *world
	machine *rented
	size    flavor

	mu       sync.Mutex
	ended    bool
	hung     bool
	cut      bool // nothing reaches or leaves the machine
	sick     bool // every task fails
	tenure   uint64
	tick     uint64
	baton    uint64
	renewed  time.Time // when the last answered report was sent
	batonAt  time.Time // when a higher token last counted as a change
	noticeAt time.Time // when the cloud takes the machine; zero: no notice
	pieces   []*piece
	known    map[uint64]bool
	images   map[string]time.Time // when the machine has an image
	node     int                  // the node that it reports to
	early    chan struct{}
	stopped  chan struct{}
	repeats  bool // commands that were answered are executed again later
	loses    bool // responses to commands get lost
}

// piece is one attempt of a task on a machine.
type piece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`
	job    *job
	done   time.Duration // progress
	last   time.Time
	saved  time.Time // end of saving
}

type order struct {
	Verb     string   `json:"verb"`
	Piece    string   `json:"piece"`
	Try      uint64   `json:"try"`
	WindDown *float64 `json:"wind_down_s"`
}

func newWorker(w *world, m *rented, listener net.Listener) *worker {
	k := &worker{world: w, machine: m, size: w.cloud.flavor(m.pool.Flavor), tenure: 1, renewed: time.Now(), known: map[uint64]bool{},
		images: map[string]time.Time{}, node: rand.IntN(len(w.nodes)), early: make(chan struct{}, 1), stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", k.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		if k.reachable(r.Context()) {
			k.mu.Lock()
			body := k.report()
			k.mu.Unlock()
			reply(rw, 200, body)
		}
	})
	go serve(listener, mux)
	go k.run()
	go func() {
		<-k.stopped
		listener.Close()
	}()
	w.record("machine %s is up: %v", m.name, m.pool)
	go k.reportLoop()
	return k
}

// run advances the tasks until the machine is gone.
func (k *worker) run() {
	for range time.Tick(25 * time.Millisecond) {
		k.mu.Lock()
		if k.ended {
			k.mu.Unlock()
			return
		}
		expired := time.Since(k.renewed) > k.world.site.lease()
		if expired {
			k.endAll("the lease has run out")
		}
		if !k.hung {
			if expired {
				k.tenure, k.tick, k.renewed = k.tenure+1, 0, time.Now()
				k.change()
			}
			k.advance()
		}
		k.mu.Unlock()
	}
}

func (k *worker) change() {
	select {
	case k.early <- struct{}{}:
	default:
	}
}

// advance moves all tasks on to the present.
func (k *worker) advance() {
	now := time.Now()
	for _, p := range k.pieces {
		switch p.Status {
		case "fetching":
			if now.After(k.images[p.job.Bundle]) {
				k.runPiece(p)
			}
		case "running":
			p.done += now.Sub(p.last)
			p.last = now
			if (k.sick || p.job.faulty) && p.done > 500*time.Millisecond {
				k.endPiece(p, "error", false)
			} else if p.done >= p.job.run {
				k.endPiece(p, "done", false)
			}
		case "flushing":
			if now.After(p.saved) {
				k.endPiece(p, "stopped", true)
			}
		}
	}
}

func (k *worker) runPiece(p *piece) {
	p.Status, p.last = "running", time.Now()
	p.done = k.world.checker.started(p.Piece, p.Try, k)
	k.change()
}

func (k *worker) endPiece(p *piece, cause string, stored bool) {
	onMachine := p.Status == "running" || p.Status == "flushing"
	if stored {
		k.world.checker.saved(p.Piece, p.done)
	}
	p.Status, p.Cause, p.Stored = "ended", cause, stored
	if onMachine {
		k.world.checker.ended(p.Piece, p.Try, k, cause)
	}
	k.change()
}

func (k *worker) endAll(why string) {
	for _, p := range k.pieces {
		if p.Status == "running" || p.Status == "flushing" {
			k.world.checker.ended(p.Piece, p.Try, k, why)
		}
	}
	k.pieces, k.known = nil, map[uint64]bool{}
}

// end ends the machine.
func (k *worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ended {
		k.ended = true
		k.endAll("the machine is gone")
		close(k.stopped)
	}
}

// report returns the next report.
func (k *worker) report() map[string]any {
	k.tick++
	pieces := make([]piece, 0, len(k.pieces))
	for _, p := range k.pieces {
		pieces = append(pieces, piece{Piece: p.Piece, Try: p.Try, Status: p.Status, Cause: p.Cause, Stored: p.Stored})
	}
	var warning any
	if !k.noticeAt.IsZero() {
		warning = max(0, time.Until(k.noticeAt).Seconds())
	}
	return map[string]any{"host": k.machine.name, "address": k.machine.address, "flavor": k.machine.pool.Flavor, "room": k.machine.pool.Room,
		"loaners": k.machine.pool.Loaners, "tenure": k.tenure, "tick": k.tick, "baton": k.baton, "warning_s": warning, "pieces": pieces}
}

func (k *worker) see(baton uint64) {
	if baton <= k.baton {
		return
	}
	k.baton = baton
	if time.Since(k.batonAt) > k.world.site.lease()/2 {
		k.batonAt = time.Now()
		k.change()
	}
}

// reachable waits while the machine hangs or is cut, which holds a message back.
func (k *worker) reachable(ctx context.Context) bool {
	for {
		k.mu.Lock()
		blocked, ended := k.hung || k.cut, k.ended
		k.mu.Unlock()
		if ended {
			return false
		}
		if !blocked {
			return true
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-k.stopped:
			return false
		}
	}
}

func (k *worker) commands(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var request struct {
		Baton  *uint64 `json:"baton"`
		Tenure *uint64 `json:"tenure"`
		Orders []order `json:"orders"`
	}
	if err != nil || json.Unmarshal(body, &request) != nil || request.Baton == nil || request.Tenure == nil {
		reply(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if !k.reachable(r.Context()) {
		return
	}
	if k.repeats {
		time.AfterFunc(time.Duration(200+rand.IntN(12000))*time.Millisecond, func() { k.executeCommands(*request.Baton, *request.Tenure, request.Orders) })
	}
	status, report := k.executeCommands(*request.Baton, *request.Tenure, request.Orders)
	if k.loses {
		<-r.Context().Done()
		return
	}
	reply(w, status, report)
}

// executeCommands executes commands if token and session match, and returns the answer.
func (k *worker) executeCommands(baton, tenure uint64, orders []order) (int, map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	status := 409
	if baton >= k.baton && tenure == k.tenure && !k.ended {
		status = 200
		k.see(baton)
		k.execute(orders)
	}
	return status, k.report()
}

func (k *worker) execute(orders []order) {
	for _, o := range orders {
		switch o.Verb {
		case "start":
			k.start(o)
		case "stop":
			for _, p := range k.pieces {
				if p.Piece == o.Piece && p.Try == o.Try {
					k.stop(p, o)
				}
			}
		case "forget":
			for i, p := range k.pieces {
				if p.Piece == o.Piece && p.Try == o.Try && p.Status == "ended" {
					k.pieces = append(k.pieces[:i:i], k.pieces[i+1:]...)
					delete(k.known, p.Try)
					k.change()
					break
				}
			}
		}
	}
}

func (k *worker) start(o order) {
	if k.known[o.Try] {
		return
	}
	k.known[o.Try] = true
	p := &piece{Piece: o.Piece, Try: o.Try, Status: "ended", job: k.world.checker.jobOf(o.Piece)}
	k.change()
	p.Cause = k.refusal(p)
	k.pieces = append(k.pieces, p)
	if p.Cause != "" {
		return
	}
	p.Status = "fetching"
	if _, ok := k.images[p.job.Bundle]; !ok {
		k.images[p.job.Bundle] = time.Now().Add(time.Duration(p.job.SizeGB / k.size.FetchGBPerS * float64(time.Second)))
	}
}

// refusal returns why a start is refused, or "".
func (k *worker) refusal(p *piece) string {
	if p.job == nil {
		return "no_such"
	}
	vcpus, gpus, mem := p.job.VCPUs, p.job.GPUs, p.job.MemGB
	for _, other := range k.pieces {
		if other.Status == "ended" {
			continue
		}
		if other.Piece == p.Piece {
			return "in_use"
		}
		vcpus, gpus, mem = vcpus+other.job.VCPUs, gpus+other.job.GPUs, mem+other.job.MemGB
	}
	if vcpus > k.size.VCPUs+1e-6 || gpus > k.size.GPUs+1e-6 || mem > k.size.MemGB+1e-6 {
		return "no_room"
	}
	return ""
}

func (k *worker) stop(p *piece, o order) {
	windDown := 0.0
	if o.WindDown != nil {
		windDown = *o.WindDown
	}
	switch {
	case p.Status == "ended", p.Status == "flushing" && windDown > 0:
	case p.Status == "running" && p.job.SnapshotS > 0 && windDown >= p.job.FlushS:
		p.Status, p.saved = "flushing", time.Now().Add(time.Duration(p.job.FlushS*float64(time.Second)))
		k.change()
	default:
		k.endPiece(p, "stopped", false)
	}
}

// reportLoop reports to one node at a time until the machine is gone.
func (k *worker) reportLoop() {
	site := &k.world.site
	next := time.Now()
	for {
		last := time.Now()
		if wait := time.Until(next); wait > 0 {
			select {
			case <-time.After(wait):
			case <-k.early:
				time.Sleep(time.Until(last.Add(500 * time.Millisecond)))
			case <-k.stopped:
				return
			}
		}
		if !k.reachable(context.Background()) {
			return
		}
		sent := time.Now()
		accepted, boss := k.send(sent)
		switch {
		case accepted:
			next = sent.Add(time.Duration(float64(site.report()) * (0.75 + rand.Float64()/2)))
		case boss >= 0 && boss != k.node:
			k.node, next = boss, time.Now().Add(time.Duration(rand.Float64()*float64(500*time.Millisecond)))
		default:
			k.node, next = (k.node+1)%len(k.world.nodes), time.Now().Add(time.Second)
		}
	}
}

// send sends one report. boss is the node that a 421 names; -1: none.
func (k *worker) send(sent time.Time) (accepted bool, boss int) {
	k.mu.Lock()
	select {
	case <-k.early:
	default:
	}
	tenure := k.tenure
	body, err := json.Marshal(k.report())
	k.mu.Unlock()
	if err != nil {
		return false, -1
	}
	status, text := post(k.world.nodes[k.node].forWorkers(k), "/v1/report", body, 4*time.Second)
	if !k.reachable(context.Background()) || time.Since(sent) > 4*time.Second {
		return false, -1
	}
	if status == 421 {
		var answer struct {
			Boss string `json:"boss"`
		}
		json.Unmarshal(text, &answer)
		return false, k.world.nodeIndex(answer.Boss)
	}
	var answer struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
	}
	if status != 200 || json.Unmarshal(text, &answer) != nil {
		return false, -1
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || answer.Baton < k.baton || tenure != k.tenure || time.Since(k.renewed) > k.world.site.lease() {
		return true, -1 // dropped
	}
	k.see(answer.Baton)
	k.renewed = sent
	k.execute(answer.Orders)
	return true, -1
}

// set changes a fault of the machine.
func (k *worker) set(change func()) {
	k.mu.Lock()
	change()
	k.mu.Unlock()
}

// post sends a JSON body and returns the status, 0 without a response.
func post(addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	return call(http.MethodPost, addr, path, body, timeout)
}

func call(method, addr, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

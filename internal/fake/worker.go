package fake

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// WorkerConfig is what all workers of a cloud share.
type WorkerConfig struct {
	Nodes  []Node // the controllers
	Report time.Duration
	Lease  time.Duration
	Fetch  time.Duration                   // how long an image takes
	Run    func(task string) time.Duration // how long a task runs
	Check  *Checker
	// Saving has tasks take flush_s to save their progress; else they have saved it at once.
	Saving bool
	// Trouble befalls direct commands.
	Trouble Troubles
}

// Node is a controller as workers know it.
type Node struct{ Name, Addr string }

// Worker stands in for one machine with its worker.
type Worker struct {
	actor
	name   string
	hire   wire.ScaleOutRequest
	size   wire.MachineType
	config WorkerConfig
	host   *Host // nil on the machine's own network
	net    transport.Network
	addr   string
	hangUp func()
	ctx    context.Context
	cancel context.CancelFunc
	chance *rand.Rand

	changed             bool          // since the last report
	news                chan struct{} // tells of a change; holds one
	session, seq, token uint64
	renewed             time.Time // when the last answered report was sent
	tokenTold           time.Time // when a higher token last counted as a change
	ticked              time.Time
	tasks               []*workerTask
	known               map[uint64]bool
	images              map[string]time.Time // when each is there

	hung                    chan struct{} // while it hangs; closed when it goes on
	inboundCut, outboundCut bool
	copyAfter               func() time.Duration // late copies of reports; nil: none
	kept                    []byte               // a copy of the last report
}

// workerTicks is the worker's own pace.
const workerTicks = 250 * time.Millisecond

func newWorker(t testing.TB, n transport.Network, addr, name string, hire wire.ScaleOutRequest, size wire.MachineType, config WorkerConfig) *Worker {
	ctx, cancel := context.WithCancel(t.Context())
	seed := fnv.New64a()
	seed.Write([]byte(name))
	now := time.Now()
	w := &Worker{actor: newActor(t), name: name, hire: hire, size: size, config: config, net: n, ctx: ctx, cancel: cancel,
		chance: rand.New(rand.NewPCG(seed.Sum64(), 1)), session: 1, renewed: now, ticked: now, news: make(chan struct{}, 1),
		known: map[uint64]bool{}, images: map[string]time.Time{}}
	w.host, _ = n.(*Host)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		if !w.reachable(r.Context()) {
			return
		}
		var report wire.Heartbeat
		w.do(func() { report = w.report() })
		answer(rw, http.StatusOK, report)
	})
	w.addr, w.hangUp = serve(t, n, addr, troubled(ctx, mux, config.Trouble))
	go w.pace()
	go w.reports()
	return w
}

// Addr is where it takes direct commands.
func (w *Worker) Addr() string { return w.addr }

// Kill ends the machine with everything on it.
func (w *Worker) Kill() {
	w.cancel()
	w.do(w.clear)
	if w.host != nil {
		w.host.Kill()
	}
	w.hangUp()
}

// Hang stops the machine in its tracks, or has it go on.
func (w *Worker) Hang(on bool) {
	w.do(func() {
		switch {
		case on && w.hung == nil:
			w.advance()
			w.hung = make(chan struct{})
		case !on && w.hung != nil:
			close(w.hung)
			w.hung = nil
			w.ticked = time.Now()
			w.expire()
		}
	})
}

// Reboot has the machine end and be back at once: everything on it is gone, and its
// worker counts from the beginning.
func (w *Worker) Reboot() {
	w.do(func() {
		w.clear()
		w.session, w.seq, w.token, w.renewed, w.tokenTold = 1, 0, 0, time.Now(), time.Time{}
		w.change()
		w.images = map[string]time.Time{}
	})
}

// CutInbound has the machine's reports arrive while answers and commands to it are lost.
func (w *Worker) CutInbound(on bool) { w.do(func() { w.inboundCut = on }) }

// CutOutbound has the machine reach no controller while commands still reach it.
func (w *Worker) CutOutbound(on bool) { w.do(func() { w.outboundCut = on }) }

// DuplicateReports has a copy of each report arrive again, as late as after tells. nil ends
// that.
func (w *Worker) DuplicateReports(after func() time.Duration) { w.do(func() { w.copyAfter = after }) }

// SaveReport keeps a copy of the latest report; ReplayReport brings it to all controllers.
func (w *Worker) SaveReport() { w.do(func() { w.kept = w.encode(w.report()) }) }

// ReplayReport brings the copy that was kept to all controllers.
func (w *Worker) ReplayReport() {
	var body []byte
	w.do(func() { body = w.kept })
	if body == nil {
		return
	}
	for _, n := range w.config.Nodes {
		go w.post(n.Addr, body)
	}
}

// Hears tells whether the machine works and has been answered lately.
func (w *Worker) hears() (room Room, ok bool) {
	w.do(func() {
		ok = w.ctx.Err() == nil && w.hung == nil && !w.inboundCut && !w.outboundCut && time.Since(w.renewed) < 2*w.config.Report+time.Second
		room = Room{Type: w.hire.Type, Zone: w.hire.Zone, Spot: w.hire.Spot, CPUs: w.size.CPUs, MemGB: w.size.MemGB}
		for _, t := range w.tasks {
			if t.Status != wire.TaskEnded {
				room.CPUs -= t.job.CPUs
				room.MemGB -= t.job.MemGB
			}
		}
	})
	return room, ok
}

// reachable waits while the machine hangs and tells whether what was sent to it
// arrives.
func (w *Worker) reachable(ctx context.Context) bool {
	for {
		var hung chan struct{}
		var inboundCut bool
		w.do(func() { hung, inboundCut = w.hung, w.inboundCut })
		switch {
		case inboundCut:
			<-ctx.Done()
			return false
		case hung == nil:
			return w.ctx.Err() == nil
		}
		select {
		case <-hung:
		case <-w.ctx.Done():
			return false
		}
	}
}

// expire begins a new session if the lease is over.
func (w *Worker) expire() {
	if time.Since(w.renewed) > w.config.Lease {
		w.clear()
		w.session++
		w.seq, w.renewed = 0, time.Now()
		w.change()
	}
}

// pace has time do its work on the machine.
func (w *Worker) pace() {
	tick := time.NewTicker(workerTicks)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.do(func() {
				switch {
				case w.ctx.Err() != nil:
				case w.hung == nil:
					w.expire()
					w.advance()
				case time.Since(w.renewed) > w.config.Lease:
					w.clear() // whatever it does when it goes on, it won't run these
				}
			})
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *Worker) commands(rw http.ResponseWriter, r *http.Request) {
	var c wire.CommandRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(rw, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	if !w.reachable(r.Context()) {
		return
	}
	transport.Pause(w.ctx, time.Millisecond)
	status := http.StatusOK
	var report wire.Heartbeat
	w.do(func() {
		if w.ctx.Err() != nil || c.FencingToken < w.token || c.AgentEpoch != w.session {
			status = http.StatusConflict
		} else {
			w.hearToken(c.FencingToken)
			w.execute(c.Commands)
		}
		report = w.report()
	})
	answer(rw, status, report)
}

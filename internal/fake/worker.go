package fake

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/outbound"
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
	// Trouble befalls direct commands.
	Trouble Troubles
}

// Node is a controller as workers know it.
type Node struct{ Name, Addr string }

// Worker stands in for one machine with its worker.
type Worker struct {
	actor
	name   string
	hire   wire.Hire
	size   wire.MachineType
	config WorkerConfig
	host   *Host // nil on the machine's own network
	net    outbound.Network
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

type workerTask struct {
	wire.TaskReport
	job   *wire.Job
	ran   time.Duration
	saved time.Time // when its progress will be saved
}

// workerTicks is the worker's own pace.
const workerTicks = 250 * time.Millisecond

func newWorker(t testing.TB, n outbound.Network, addr, name string, hire wire.Hire, size wire.MachineType, config WorkerConfig) *Worker {
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
		var report wire.Report
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

// clear ends all tasks at once, as the end of the lease does.
func (w *Worker) clear() {
	for _, t := range w.tasks {
		if t.there() {
			w.config.Check.Ends(t.Task, w.name, false)
		}
	}
	w.tasks, w.known = nil, map[uint64]bool{}
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

// advance has tasks run on.
func (w *Worker) advance() {
	now := time.Now()
	past := now.Sub(w.ticked)
	w.ticked = now
	for _, t := range w.tasks {
		switch t.Status {
		case wire.TaskFetching:
			if !now.Before(w.images[t.job.Image]) {
				w.begin(t)
			}
		case wire.TaskRunning:
			if t.ran += past; t.ran >= w.config.Run(t.Task) {
				w.complete(t)
			}
		case wire.TaskSaving:
			if !now.Before(t.saved) {
				w.stopped(t, true)
			}
		}
	}
}

func (w *Worker) begin(t *workerTask) {
	t.Status, t.ran = wire.TaskRunning, w.config.Check.Progress(t.Task)
	w.change()
	w.config.Check.Begins(t.Task, w.name, w.hire.Type, w.hire.Zone, w.hire.Spot)
}

func (w *Worker) complete(t *workerTask) {
	t.Status, t.Why = wire.TaskEnded, wire.WhyDone
	w.change()
	w.config.Check.Ends(t.Task, w.name, true)
}

func (w *Worker) report() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.name, Address: w.Addr(), Type: w.hire.Type, Zone: w.hire.Zone, Spot: w.hire.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.TaskReport{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

func (w *Worker) encode(r wire.Report) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a report of our own making
	}
	return body
}

// execute carries out orders, on the actor.
func (w *Worker) execute(orders []wire.Order) {
	for _, o := range orders {
		switch o.Verb {
		case wire.Start:
			w.start(o)
		case wire.Stop:
			for _, t := range w.tasks {
				if t.Task == o.Task && t.Attempt == o.Attempt {
					w.stop(t, o)
				}
			}
		case wire.Forget:
			w.tasks = slices.DeleteFunc(w.tasks, func(t *workerTask) bool {
				forget := t.Task == o.Task && t.Attempt == o.Attempt && t.Status == wire.TaskEnded
				if forget {
					delete(w.known, o.Attempt)
					w.change()
				}
				return forget
			})
		}
	}
}

// stop has a task end, once it has saved its progress if the order leaves it the time.
func (w *Worker) stop(t *workerTask, o wire.Order) {
	grace := 0.0
	if o.GraceS != nil {
		grace = *o.GraceS
	}
	switch {
	case t.Status == wire.TaskEnded, t.Status == wire.TaskSaving && grace > 0:
	case t.Status == wire.TaskRunning && t.job.CheckpointS > 0 && grace >= t.job.SaveS:
		t.Status, t.saved = wire.TaskSaving, time.Now().Add(time.Duration(t.job.SaveS*float64(time.Second)))
		w.change()
		w.advance()
	default:
		w.stopped(t, false)
	}
}

// stopped ends a task that was told to stop.
func (w *Worker) stopped(t *workerTask, saved bool) {
	if t.there() {
		w.config.Check.Ends(t.Task, w.name, false)
	}
	if saved {
		w.config.Check.Saves(t.Task, t.ran)
	}
	t.Status, t.Why, t.Saved = wire.TaskEnded, wire.WhyStopped, saved
	w.change()
}

// there tells whether a task counts as on its machine.
func (t *workerTask) there() bool { return t.Status == wire.TaskRunning || t.Status == wire.TaskSaving }

func (w *Worker) start(o wire.Order) {
	if w.known[o.Attempt] {
		return
	}
	w.known[o.Attempt] = true
	w.change()
	t := &workerTask{TaskReport: wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskEnded}}
	w.tasks = append(w.tasks, t)
	ref, _, _ := wire.SplitTask(o.Task)
	if t.job = w.config.Check.Job(ref); t.job == nil {
		t.Why = wire.WhyNoSuch
		return
	}
	cpus, mem := t.job.CPUs, t.job.MemGB
	for _, other := range w.tasks {
		if other == t || other.Status == wire.TaskEnded {
			continue
		}
		if other.Task == o.Task {
			t.Why = wire.WhyInUse
			return
		}
		cpus += other.job.CPUs
		mem += other.job.MemGB
	}
	if cpus > w.size.CPUs || mem > w.size.MemGB {
		t.Why = wire.WhyNoRoom
		return
	}
	t.Status = wire.TaskFetching
	if at, ok := w.images[t.job.Image]; !ok {
		w.images[t.job.Image] = time.Now().Add(w.config.Fetch)
	} else if !time.Now().Before(at) {
		w.begin(t)
	}
}

func (w *Worker) commands(rw http.ResponseWriter, r *http.Request) {
	var c wire.Commands
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(rw, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	if !w.reachable(r.Context()) {
		return
	}
	outbound.Pause(w.ctx, time.Millisecond)
	status := http.StatusOK
	var report wire.Report
	w.do(func() {
		if w.ctx.Err() != nil || c.Token < w.token || c.Session != w.session {
			status = http.StatusConflict
		} else {
			w.hearToken(c.Token)
			w.execute(c.Orders)
		}
		report = w.report()
	})
	answer(rw, status, report)
}

// hearToken notes the highest token. It counts as a change at most once per half a lease.
func (w *Worker) hearToken(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	if time.Since(w.tokenTold) >= w.config.Lease/2 {
		w.tokenTold = time.Now()
		w.change()
	}
}

// The times of reporting, by the protocol.
const (
	minReportInterval = 500 * time.Millisecond
	nextNode          = time.Second
	patience          = 4 * time.Second
)

// change notes that something is to be reported, on the actor.
func (w *Worker) change() {
	w.changed = true
	select {
	case w.news <- struct{}{}:
	default:
	}
}

// awaitReport waits until the next report is due: a while after the last one, or
// sooner when something has changed.
func (w *Worker) awaitReport(last time.Time, every time.Duration) {
	regular := time.NewTimer(time.Until(last.Add(every)))
	defer regular.Stop()
	select {
	case <-regular.C:
	case <-w.news:
		outbound.Pause(w.ctx, time.Until(last.Add(minReportInterval)))
	case <-w.ctx.Done():
	}
}

// reports tells the controllers, moving on as the protocol says.
func (w *Worker) reports() {
	at := w.chance.IntN(len(w.config.Nodes))
	var last time.Time
	for w.ctx.Err() == nil {
		every := time.Duration(float64(w.config.Report) * (0.75 + w.chance.Float64()/2))
		w.awaitReport(last, every)
		var hung chan struct{}
		var outboundCut bool
		w.do(func() { hung, outboundCut = w.hung, w.outboundCut })
		if hung != nil {
			select {
			case <-hung:
			case <-w.ctx.Done():
			}
			continue
		}
		boss, ok := "", false
		last = time.Now()
		if !outboundCut {
			boss, ok = w.tell(w.config.Nodes[at].Addr, last)
		}
		if ok {
			continue
		}
		wait := nextNode
		next := (at + 1) % len(w.config.Nodes)
		if i := slices.IndexFunc(w.config.Nodes, func(n Node) bool { return n.Name == boss }); i >= 0 && i != at {
			next, wait = i, time.Duration(w.chance.Int64N(int64(minReportInterval)))
		}
		at, last = next, time.Time{}
		outbound.Pause(w.ctx, wait)
	}
}

// post sends a report and returns what came back.
func (w *Worker) post(addr string, body []byte) (status int, text []byte, err error) {
	line := outbound.NewConn(w.net, addr)
	defer line.Close()
	end := time.Now().Add(patience)
	if err := line.Open(w.ctx, patience); err != nil {
		return 0, nil, err
	}
	return line.Do(end, http.MethodPost, "/v1/report", body)
}

// tell sends a report to a controller. It returns whom to go to if the answer
// names somebody, and whether to stay.
func (w *Worker) tell(addr string, sent time.Time) (boss string, ok bool) {
	var report wire.Report
	var body []byte
	var copyAfter func() time.Duration
	w.do(func() {
		report = w.report()
		w.changed, copyAfter = false, w.copyAfter
		select {
		case <-w.news:
		default:
		}
		body = w.encode(report)
	})
	if copyAfter != nil {
		after := copyAfter()
		go func() {
			outbound.Pause(w.ctx, after)
			if w.ctx.Err() == nil {
				w.post(addr, body)
			}
		}()
	}
	status, text, err := w.post(addr, body)
	var hung chan struct{}
	var inboundCut bool
	w.do(func() { hung, inboundCut = w.hung, w.inboundCut })
	if inboundCut {
		outbound.Pause(w.ctx, max(0, patience-time.Since(sent)))
		return "", false
	}
	if hung != nil {
		select {
		case <-hung:
		case <-w.ctx.Done():
		}
	}
	if err != nil || time.Since(sent) > patience {
		return "", false
	}
	if status != http.StatusOK {
		var e wire.Elsewhere
		if status != http.StatusMisdirectedRequest || json.Unmarshal(text, &e) != nil {
			return "", false
		}
		return e.Leader, false
	}
	var a wire.ReportAnswer
	if json.Unmarshal(text, &a) != nil {
		return "", false
	}
	w.do(func() {
		w.expire()
		if w.ctx.Err() != nil || a.Token < w.token || report.Session != w.session {
			return // it is dropped
		}
		w.hearToken(a.Token)
		w.renewed = sent
		w.config.Check.Renewed(w.name, sent, report.Tasks, a.Orders)
		w.execute(a.Orders)
	})
	return "", true
}

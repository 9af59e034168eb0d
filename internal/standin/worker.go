package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"leadproxy/internal/outbound"
	"leadproxy/internal/wire"
)

// WorkerConfig is what all workers of a cloud share.
type WorkerConfig struct {
	Nodes   map[string]string // addresses of the controllers by name
	Report  time.Duration
	Lease   time.Duration
	Run     time.Duration // how long each task runs
	Endless string        // the job whose tasks run for ever
	Record  *Record
	Trouble func(r *http.Request) Trouble // of direct commands
}

// Record is the truth about which tasks ran where.
type Record struct {
	actor
	on       map[string]string // task -> machine it is on
	finished map[string]int
	Twice    []string
	Late     []string // started after their job's cancellation was due
	barred   map[string]bool
}

// NewRecord starts an empty record.
func NewRecord(t testing.TB) *Record {
	return &Record{actor: newActor(t.Context().Done()), on: map[string]string{}, finished: map[string]int{}, barred: map[string]bool{}}
}

func (r *Record) begin(task, machine string) {
	r.do(func() {
		if r.on[task] != "" {
			r.Twice = append(r.Twice, task+" on "+machine+" while on "+r.on[task])
		}
		if ref, _, _ := wire.SplitTask(task); r.barred[ref] {
			r.Late = append(r.Late, task)
		}
		r.on[task] = machine
	})
}

func (r *Record) end(task, machine string, completed bool) {
	r.do(func() {
		if r.on[task] == machine {
			delete(r.on, task)
		}
		if completed {
			r.finished[task]++
		}
	})
}

// Bar notes that no task of a job may start any more.
func (r *Record) Bar(ref string) { r.do(func() { r.barred[ref] = true }) }

// Look reads the record.
func (r *Record) Look() (running, finished int, twice, late []string) {
	r.do(func() { running, finished, twice, late = len(r.on), len(r.finished), r.Twice, r.Late })
	return
}

// Worker stands in for one machine's worker.
type Worker struct {
	actor
	name    string
	hire    wire.Hire
	config  WorkerConfig
	server  *httptest.Server
	cancel  context.CancelFunc
	changed chan struct{}

	session, seq, token uint64
	renewed             time.Time
	tasks               []wire.TaskReport
	known               map[uint64]bool
	stops               map[uint64]context.CancelFunc
}

func newWorker(t testing.TB, name string, hire wire.Hire, config WorkerConfig) *Worker {
	ctx, cancel := context.WithCancel(t.Context())
	w := &Worker{actor: newActor(t.Context().Done()), name: name, hire: hire, config: config, cancel: cancel, session: 1, renewed: time.Now(),
		changed: make(chan struct{}, 1), known: map[uint64]bool{}, stops: map[uint64]context.CancelFunc{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", func(rw http.ResponseWriter, r *http.Request) { w.commands(ctx, rw, r) })
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		var report wire.Report
		w.do(func() { report = w.report() })
		answer(rw, http.StatusOK, report)
	})
	w.server = httptest.NewServer(troubled(mux, config.Trouble))
	go w.reports(ctx)
	return w
}

// Addr is where it takes direct commands.
func (w *Worker) Addr() string { return w.server.Listener.Addr().String() }

// Kill ends the machine with everything on it.
func (w *Worker) Kill() {
	w.cancel()
	w.do(func() { w.clear() })
	w.server.CloseClientConnections()
}

// clear ends all tasks at once, as the end of the lease does.
func (w *Worker) clear() {
	for _, stop := range w.stops {
		stop()
	}
	for _, t := range w.tasks {
		if t.Status != wire.TaskEnded {
			w.config.Record.end(t.Task, w.name, false)
		}
	}
	w.tasks, w.known, w.stops = nil, map[uint64]bool{}, map[uint64]context.CancelFunc{}
}

func (w *Worker) report() wire.Report {
	w.seq++
	return wire.Report{Machine: w.name, Address: w.Addr(), Type: w.hire.Type, Zone: w.hire.Zone, Spot: w.hire.Spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: append([]wire.TaskReport{}, w.tasks...)}
}

func (w *Worker) touch() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// execute carries out orders, on the actor.
func (w *Worker) execute(ctx context.Context, orders []wire.Order) {
	for _, o := range orders {
		switch o.Verb {
		case wire.Start:
			w.start(ctx, o)
		case wire.Stop:
			for i := range w.tasks {
				if t := &w.tasks[i]; t.Task == o.Task && t.Attempt == o.Attempt && t.Status != wire.TaskEnded {
					w.stops[o.Attempt]()
					w.config.Record.end(t.Task, w.name, false)
					t.Status, t.Why = wire.TaskEnded, wire.WhyStopped
				}
			}
		case wire.Forget:
			for i, t := range w.tasks {
				if t.Attempt == o.Attempt && t.Status == wire.TaskEnded {
					w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
					delete(w.known, o.Attempt)
					break
				}
			}
		}
	}
	if len(orders) > 0 {
		w.touch()
	}
}

func (w *Worker) start(ctx context.Context, o wire.Order) {
	if w.known[o.Attempt] {
		return
	}
	w.known[o.Attempt] = true
	for _, t := range w.tasks {
		if t.Task == o.Task && t.Status != wire.TaskEnded {
			w.tasks = append(w.tasks, wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskEnded, Why: wire.WhyInUse})
			return
		}
	}
	w.tasks = append(w.tasks, wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskRunning})
	w.config.Record.begin(o.Task, w.name)
	ctx, w.stops[o.Attempt] = context.WithCancel(ctx)
	if ref, _, _ := wire.SplitTask(o.Task); ref == w.config.Endless {
		return
	}
	go func() {
		select {
		case <-time.After(w.config.Run):
		case <-ctx.Done():
			return
		}
		w.do(func() {
			if ctx.Err() != nil {
				return
			}
			for i := range w.tasks {
				if t := &w.tasks[i]; t.Attempt == o.Attempt && t.Status == wire.TaskRunning {
					t.Status, t.Why = wire.TaskEnded, wire.WhyDone
					w.config.Record.end(t.Task, w.name, true)
				}
			}
		})
		w.touch()
	}()
}

func (w *Worker) commands(ctx context.Context, rw http.ResponseWriter, r *http.Request) {
	var c wire.Commands
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(rw, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	status := http.StatusOK
	var report wire.Report
	w.do(func() {
		if ctx.Err() != nil || c.Token < w.token || c.Session != w.session {
			status = http.StatusConflict
		} else {
			w.token = c.Token
			w.execute(ctx, c.Orders)
		}
		report = w.report()
	})
	answer(rw, status, report)
}

// reports tells the controllers, moving on as the protocol says.
func (w *Worker) reports(ctx context.Context) {
	var names []string
	for n := range w.config.Nodes {
		names = append(names, n)
	}
	at := 0
	client := &http.Client{Timeout: 2 * time.Second}
	for ctx.Err() == nil {
		var report wire.Report
		w.do(func() {
			if time.Since(w.renewed) > w.config.Lease {
				w.clear()
				w.session++
				w.seq, w.renewed = 0, time.Now()
			}
			report = w.report()
		})
		sent := time.Now()
		next, ok := w.tell(ctx, client, w.config.Nodes[names[at]], report, sent)
		if !ok {
			at = (at + 1) % len(names)
			for i, n := range names {
				if n == next {
					at = i
				}
			}
			outbound.Pause(ctx, 100*time.Millisecond)
			continue
		}
		select {
		case <-w.changed:
			outbound.Pause(ctx, 50*time.Millisecond)
		case <-time.After(w.config.Report):
		case <-ctx.Done():
		}
	}
}

func (w *Worker) tell(ctx context.Context, client *http.Client, addr string, report wire.Report, sent time.Time) (next string, ok bool) {
	body, err := json.Marshal(report)
	if err != nil {
		return "", false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", false
	}
	if resp.StatusCode != http.StatusOK {
		var e wire.Elsewhere
		if json.Unmarshal(text, &e) != nil {
			return "", false
		}
		return e.Leader, false
	}
	var a wire.ReportAnswer
	if json.Unmarshal(text, &a) != nil {
		return "", false
	}
	w.do(func() {
		if ctx.Err() != nil || a.Token < w.token || report.Session != w.session {
			return
		}
		if a.Token > w.token {
			w.touch()
		}
		w.token, w.renewed = a.Token, sent
		w.execute(ctx, a.Orders)
	})
	return "", true
}

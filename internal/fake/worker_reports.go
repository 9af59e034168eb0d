package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

func (w *Worker) report() wire.Heartbeat {
	w.seq++
	r := wire.Heartbeat{Machine: w.name, Address: w.Addr(), CapacityPool: w.hire.CapacityPool,
		AgentEpoch: w.session, Sequence: w.seq, FencingToken: w.token, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

func (w *Worker) encode(r wire.Heartbeat) []byte {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a report of our own making
	}
	return body
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
		transport.Pause(w.ctx, time.Until(last.Add(minReportInterval)))
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
		transport.Pause(w.ctx, wait)
	}
}

// post sends a report and returns what came back.
func (w *Worker) post(addr string, body []byte) (status int, text []byte, err error) {
	line := transport.NewConn(w.net, addr)
	defer line.Close()
	end := time.Now().Add(patience)
	if err := line.Open(w.ctx, patience); err != nil {
		return 0, nil, err
	}
	response, err := line.Do(end, transport.Request{Method: http.MethodPost, Path: "/v1/report", Body: body})
	return response.Status, response.Body, err
}

// tell sends a report to a controller. It returns whom to go to if the answer
// names somebody, and whether to stay.
func (w *Worker) tell(addr string, sent time.Time) (boss string, ok bool) {
	var report wire.Heartbeat
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
			transport.Pause(w.ctx, after)
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
		transport.Pause(w.ctx, max(0, patience-time.Since(sent)))
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
		var e wire.Redirect
		if status != http.StatusMisdirectedRequest || json.Unmarshal(text, &e) != nil {
			return "", false
		}
		return e.Leader, false
	}
	var a wire.HeartbeatResponse
	if json.Unmarshal(text, &a) != nil {
		return "", false
	}
	w.do(func() {
		w.expire()
		if w.ctx.Err() != nil || a.FencingToken < w.token || report.AgentEpoch != w.session {
			return // it is dropped
		}
		w.hearToken(a.FencingToken)
		w.renewed = sent
		w.config.Check.Renewed(w.name, sent, report.Tasks, a.Commands)
		w.execute(a.Commands)
	})
	return "", true
}

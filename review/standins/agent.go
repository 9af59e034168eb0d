package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"leadproxy/internal/wire"
)

// timing holds the times of agents, as in the settings.
type timing struct{ report, lease, cancel time.Duration }

// The times of an agent's heartbeats, as the protocol defines them.
const (
	minReportGap    = 500 * time.Millisecond
	nextNodeDelay   = time.Second
	responseTimeout = 4 * time.Second
	agentTick       = 50 * time.Millisecond
)

// noticeTime is how long after its notice a spot machine is taken.
const noticeTime = 25 * time.Second

// task is one attempt on a machine.
type task struct {
	wire.TaskStatus
	job     *wire.Job
	readyAt time.Time // when its image is there
	endsAt  time.Time // when it completes
}

// onMachine reports whether the task has its image and has not ended.
func (t *task) onMachine() bool {
	return t.Status == wire.TaskRunning || t.Status == wire.TaskCheckpointing
}

// agent is a machine and the agent on it.
type agent struct {
	world *world
	name  string
	pool  wire.CapacityPool
	kind  wire.MachineType
	addr  string
	ended chan struct{}

	mutex     sync.Mutex
	dead      bool
	sick      bool // every task that starts fails
	epoch     uint64
	sequence  uint64
	token     uint64
	renewed   time.Time // when the last answered heartbeat was sent
	tokenSent time.Time // when a higher token last caused an early heartbeat
	changed   bool
	tasks     []*task
	known     map[uint64]bool
	images    map[string]time.Time
	warnedAt  time.Time         // when the termination notice came; zero: there is none
	starts    map[uint64][]byte // by attempt: the direct command that started it, as it was carried out
	server    *http.Server
}

// newAgent starts the agent of a machine that is up.
func newAgent(w *world, name string, pool wire.CapacityPool, kind wire.MachineType) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{world: w, name: name, pool: pool, kind: kind, addr: listener.Addr().String(), ended: make(chan struct{}),
		epoch: 1, renewed: time.Now(), known: map[uint64]bool{}, starts: map[uint64][]byte{}, images: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", a.serveCommands)
	mux.HandleFunc("GET /inspect", a.serveInspect)
	a.server = &http.Server{Handler: mux}
	go a.server.Serve(listener)
	go a.run()
	go a.sendReports()
	w.rec.add("run     machine %s is up (%s, spot %v)", name, pool.Type, pool.Spot)
	return a, nil
}

// kill ends the machine and everything on it.
func (a *agent) kill() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.dead {
		return
	}
	a.dead = true
	a.dropTasks("machine gone")
	close(a.ended)
	a.server.Close()
}

// setSick sets whether every task that starts on the machine fails.
func (a *agent) setSick(on bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sick = on
	a.world.rec.add("trouble machine %s sick: %v", a.name, on)
}

// dropTasks ends all tasks at once.
func (a *agent) dropTasks(why string) {
	for _, t := range a.tasks {
		if t.onMachine() {
			a.world.jobs.ended(t.Task, a.name, why)
		}
	}
	if len(a.tasks) > 0 {
		a.world.rec.add("run     machine %s drops %d tasks: %s", a.name, len(a.tasks), why)
	}
	a.tasks, a.known = nil, map[uint64]bool{}
}

// run advances the tasks and checks the lease until the machine ends.
func (a *agent) run() {
	ticker := time.NewTicker(agentTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.mutex.Lock()
			if !a.dead {
				a.expireLease()
				a.advance()
			}
			a.mutex.Unlock()
		case <-a.ended:
			return
		}
	}
}

// expireLease begins a new session if the lease has run out.
func (a *agent) expireLease() {
	if time.Since(a.renewed) > a.world.timing.lease {
		a.dropTasks("lease expired")
		a.epoch++
		a.sequence, a.renewed, a.changed = 0, time.Now(), true
	}
}

// advance starts tasks whose image is there and ends those that are complete.
func (a *agent) advance() {
	now := time.Now()
	for _, t := range a.tasks {
		switch {
		case t.Status == wire.TaskFetching && !now.Before(t.readyAt):
			t.Status, t.endsAt, a.changed = wire.TaskRunning, now.Add(a.world.runTime(t.job)), true
			a.world.jobs.started(t.Task, a.name)
			if a.sick {
				a.finish(t, wire.ExitError)
			} else if a.world.jobs.isComplete(t.Task) {
				a.finish(t, wire.ExitDone)
			}
		case t.Status == wire.TaskRunning && !now.Before(t.endsAt):
			a.finish(t, wire.ExitDone)
		case t.Status == wire.TaskCheckpointing && !now.Before(t.endsAt):
			t.CheckpointSaved = true
			a.finish(t, wire.ExitStopped)
		}
	}
}

// finish ends a task.
func (a *agent) finish(t *task, reason string) {
	if t.onMachine() {
		a.world.jobs.ended(t.Task, a.name, reason)
	}
	t.Status, t.ExitReason, a.changed = wire.TaskEnded, reason, true
}

// execute carries out commands in order.
func (a *agent) execute(commands []wire.Command) {
	for _, command := range commands {
		index := slices.IndexFunc(a.tasks, func(t *task) bool { return t.Task == command.Task && t.Attempt == command.Attempt })
		switch {
		case command.Verb == wire.VerbStart:
			a.start(command)
		case index < 0:
		case command.Verb == wire.VerbStop:
			a.stop(a.tasks[index], command)
		case command.Verb == wire.VerbForget && a.tasks[index].Status == wire.TaskEnded:
			a.tasks = slices.Delete(a.tasks, index, index+1)
			delete(a.known, command.Attempt)
			a.changed = true
		}
	}
}

// stop stops a task, which saves its progress first if it can.
func (a *agent) stop(t *task, command wire.Command) {
	grace := 0.0
	if command.GracePeriodS != nil {
		grace = *command.GracePeriodS
	}
	switch {
	case t.Status == wire.TaskEnded, t.Status == wire.TaskCheckpointing && grace > 0:
	case t.Status == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointDurationS:
		a.world.rec.add("run     %s on %s is told to stop and saves", t.Task, a.name)
		t.Status, t.endsAt, a.changed = wire.TaskCheckpointing, time.Now().Add(time.Duration(t.job.CheckpointDurationS*float64(time.Second))), true
	default:
		a.finish(t, wire.ExitStopped)
	}
}

// warn gives the machine a termination notice.
func (a *agent) warn() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.warnedAt, a.changed = time.Now(), true
	a.world.rec.add("run     machine %s is told that it will be taken in %.0f s", a.name, noticeTime.Seconds())
}

// start starts an attempt, unless it is known already.
func (a *agent) start(command wire.Command) {
	if a.known[command.Attempt] {
		return
	}
	a.known[command.Attempt], a.changed = true, true
	t := &task{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskEnded}}
	t.job = a.world.jobs.find(wire.JobIDOfTask(command.Task))
	t.ExitReason = a.refusal(t)
	a.tasks = append(a.tasks, t)
	if t.ExitReason != "" {
		a.world.rec.add("run     %s refused on %s: %s", command.Task, a.name, t.ExitReason)
		return
	}
	t.Status = wire.TaskFetching
	if _, known := a.images[t.job.Image]; !known {
		fetch := time.Duration(t.job.ImageGB / a.kind.FetchGBPerS * float64(time.Second))
		a.images[t.job.Image] = time.Now().Add(fetch)
	}
	t.readyAt = a.images[t.job.Image]
}

// refusal returns why a new attempt is refused, or "".
func (a *agent) refusal(t *task) string {
	if t.job == nil {
		return wire.ExitNoSuchTask
	}
	cpus, memory := t.job.CPUs, t.job.MemGB
	for _, other := range a.tasks {
		if other.Status == wire.TaskEnded {
			continue
		}
		if other.Task == t.Task {
			return wire.ExitInUse
		}
		cpus, memory = cpus+other.job.CPUs, memory+other.job.MemGB
	}
	const rounding = 1e-6
	if cpus > a.kind.CPUs+rounding || memory > a.kind.MemGB+rounding {
		return wire.ExitNoCapacity
	}
	return ""
}

// report returns the next heartbeat.
func (a *agent) report() wire.Heartbeat {
	a.sequence++
	report := wire.Heartbeat{Machine: a.name, Address: a.addr, CapacityPool: a.pool, AgentEpoch: a.epoch, Sequence: a.sequence, FencingToken: a.token, Tasks: []wire.TaskStatus{}}
	if !a.warnedAt.IsZero() {
		left := max(0, (noticeTime - time.Since(a.warnedAt)).Seconds())
		report.TerminationNoticeS = &left
	}
	for _, t := range a.tasks {
		report.Tasks = append(report.Tasks, t.TaskStatus)
	}
	return report
}

// raise records a token.
func (a *agent) raise(token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if time.Since(a.tokenSent) >= a.world.timing.lease/2 {
		a.tokenSent, a.changed = time.Now(), true
	}
}

func (a *agent) serveCommands(w http.ResponseWriter, r *http.Request) {
	var request wire.CommandRequest
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mutex.Lock()
	a.expireLease()
	status := http.StatusConflict
	if request.FencingToken >= a.token && request.AgentEpoch == a.epoch {
		status = http.StatusOK
		a.raise(request.FencingToken)
		a.execute(request.Commands)
		for _, command := range request.Commands {
			if command.Verb == wire.VerbStart {
				a.starts[command.Attempt] = body
			}
		}
	}
	a.world.rec.add("answer  command to %s: %d to %s", a.name, status, body)
	answer := encodeReport(a.report())
	a.mutex.Unlock()
	w.WriteHeader(status)
	w.Write(answer)
}

func (a *agent) serveInspect(w http.ResponseWriter, _ *http.Request) {
	a.mutex.Lock()
	answer := encodeReport(a.report())
	a.mutex.Unlock()
	w.Write(answer)
}

// sendReports sends heartbeats until the machine ends.
func (a *agent) sendReports() {
	client := &http.Client{Timeout: responseTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	current := rand.IntN(len(a.world.controllers))
	var last time.Time
	for a.awaitReport(last) {
		last = time.Now()
		accepted, boss := a.sendReport(client, a.world.controllers[current])
		if accepted {
			continue
		}
		named := slices.IndexFunc(a.world.controllers, func(c *controller) bool { return c.name == boss })
		delay := nextNodeDelay
		if named >= 0 && named != current {
			current, delay = named, time.Duration(rand.Int64N(int64(minReportGap)))
		} else {
			current = (current + 1) % len(a.world.controllers)
		}
		client.CloseIdleConnections()
		time.Sleep(delay)
		last = time.Time{}
	}
}

// awaitReport waits until the next heartbeat is due and reports false once the machine has ended.
func (a *agent) awaitReport(last time.Time) bool {
	interval := time.Duration(float64(a.world.timing.report) * (0.75 + rand.Float64()/2))
	for {
		select {
		case <-a.ended:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		a.mutex.Lock()
		changed := a.changed
		a.mutex.Unlock()
		if since := time.Since(last); since >= interval || changed && since >= minReportGap {
			return true
		}
	}
}

// sendReport sends one heartbeat and carries out the response.
func (a *agent) sendReport(client *http.Client, to *controller) (accepted bool, boss string) {
	a.mutex.Lock()
	a.changed = false
	report := a.report()
	body := encodeReport(report)
	a.mutex.Unlock()
	sent := time.Now()
	response, err := client.Post("http://"+to.public+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		return false, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return false, ""
	}
	switch response.StatusCode {
	case http.StatusOK:
		return a.apply(report, sent, answer), ""
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if json.Unmarshal(answer, &redirect) != nil {
			return false, ""
		}
		return false, redirect.Leader
	}
	a.world.rec.add("answer  report of %s with %d tasks and %d bytes to %s: %d %s", a.name, len(report.Tasks), len(body), to.name, response.StatusCode, bytes.TrimSpace(answer))
	return false, ""
}

// apply renews the lease and executes the commands of a response, unless it must be dropped.
func (a *agent) apply(report wire.Heartbeat, sent time.Time, answer []byte) bool {
	var response wire.HeartbeatResponse
	if json.Unmarshal(answer, &response) != nil {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.dead {
		return false
	}
	a.expireLease()
	if response.FencingToken < a.token || report.AgentEpoch != a.epoch {
		return true
	}
	a.raise(response.FencingToken)
	a.renewed = sent
	a.execute(response.Commands)
	return true
}

// room reports whether the machine is in contact with a controller and has room for a task of the job.
func (a *agent) room(job *wire.Job) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	inContact := !a.dead && time.Since(a.renewed) < 2*a.world.timing.report+time.Second
	allowed := job.Spot || !a.pool.Spot
	return inContact && allowed && a.refusal(&task{job: job}) == ""
}

func encodeReport(report wire.Heartbeat) []byte {
	body, err := json.Marshal(report)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return body
}

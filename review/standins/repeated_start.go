package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"leadproxy/internal/wire"
)

// The steps of the case repeated-start.
const (
	noticeAfter = 500 * time.Millisecond // from the start of the task until its machine gets a notice
	killAfter   = 300 * time.Millisecond // from the second start until all controllers end
	backAfter   = 6 * time.Second        // from then until they are started again, as the brief has it
	copyAfter   = 700 * time.Millisecond // from then until the copy arrives
	judgeAfter  = 8 * time.Second        // from then until the verdict
)

// runRepeatedStart has a task move from a spot machine with a notice to another machine. Then all
// controllers end and are started again, and a copy of the request that started the task on the first
// machine, which was carried out, arrives there late.
func runRepeatedStart(root, record string) int {
	spot := wire.CapacityPool{Type: "caja-node", Zone: "lima-norte", Spot: true}
	w, err := newWorld(root, record, cloudPlan{
		types:    []wire.MachineType{{Name: "caja-node", CPUs: 16, MemGB: 32, CacheGB: 40, FetchGBPerS: 1, Price: 0.69, SpotPrice: 0.25, BootS: 2, Zones: []string{"lima-norte"}}},
		capacity: map[wire.CapacityPool]int{spot: 9}, boot: 2 * time.Second, listLag: 4 * time.Second,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	if !w.start() || !w.warmUp() {
		return exitNotRun
	}
	first, second := w.moveTask()
	if first == nil || second == "" {
		return exitNotRun
	}
	if w.trouble {
		w.restartAndRepeat(first)
	}
	return w.judgeOnce()
}

// warmUp has a job run on two machines, so that both are up and have the image, and waits until it is
// done.
func (w *world) warmUp() bool {
	job := w.newJob("job-000001", 16, 2, 2)
	if !w.submit(job) {
		return false
	}
	return w.await(30*time.Second, func() bool { _, done := w.jobs.count(job.ID); return done == job.Tasks })
}

// newJob returns a job whose tasks can save their progress.
func (w *world) newJob(id string, cpus float64, tasks int, seconds float64) *wire.Job {
	return &wire.Job{ID: id, Class: "statement-run", Team: "contabilidad", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: cpus, MemGB: 8.2,
		Image: "img-01", ImageGB: 0.5, Spot: true, EstimatedRunS: seconds, CheckpointIntervalS: 20, CheckpointDurationS: 1}
}

// moveTask submits a job of one task and, once a direct command has started it, gives its machine a
// notice. It returns that machine's agent and the name of the machine on which the task starts next.
// The job is submitted just after the machine has seen a new token.
func (w *world) moveTask() (first *agent, second string) {
	for i := range 3 {
		w.awaitNewToken()
		// A short task that can't save keeps its machine from being returned before it is taken.
		short := w.newJob(fmt.Sprintf("job-00002%d", i), 2, 1, 15)
		short.CheckpointIntervalS = 0
		job := w.newJob(fmt.Sprintf("job-00001%d", i), 8, 1, 12)
		if !w.submit(short) || !w.submit(job) {
			return nil, ""
		}
		name := job.ID + "/0"
		if !w.await(10*time.Second, func() bool { return w.jobs.machineOf(name) != "" }) {
			return nil, ""
		}
		first = w.agentNamed(w.jobs.machineOf(name))
		together := w.jobs.machineOf(name) == w.jobs.machineOf(short.ID+"/0")
		if first == nil || first.directStart(name) == nil || !together {
			w.rec.add("run     %s was started in a response, or alone: another job is tried", name)
			w.await(40*time.Second, func() bool { return w.jobs.isComplete(name) })
			continue
		}
		w.moved = name
		time.Sleep(noticeAfter)
		first.warn()
		w.await(15*time.Second, func() bool {
			second = w.jobs.machineOf(name)
			return second != "" && second != first.name
		})
		if first.accepts(first.directStart(name)) {
			return first, second
		}
		w.rec.add("run     the machine has seen a higher token by now, another job is tried")
		w.await(40*time.Second, func() bool { return w.jobs.isComplete(name) })
	}
	return nil, ""
}

// accepts reports whether the agent would carry out a direct command now, by its token and session.
func (a *agent) accepts(body []byte) bool {
	var request wire.CommandRequest
	if json.Unmarshal(body, &request) != nil {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return !a.dead && request.FencingToken >= a.token && request.AgentEpoch == a.epoch
}

// awaitNewToken waits until the machine that is used first has seen a new token.
func (w *world) awaitNewToken() {
	a := w.agentNamed("vm-000000")
	if a == nil {
		return
	}
	token := a.highestToken()
	w.await(15*time.Second, func() bool { return a.highestToken() > token })
}

// restartAndRepeat ends all controllers, starts them again, and has the copy arrive.
func (w *world) restartAndRepeat(first *agent) {
	time.Sleep(killAfter)
	for _, c := range w.controllers {
		w.rec.add("trouble controller %s ends", c.name)
		c.kill()
	}
	time.Sleep(backAfter)
	for _, c := range w.controllers {
		w.rec.add("trouble controller %s is started again", c.name)
		if err := c.start(); err != nil {
			w.rec.add("error   %v", err)
		}
	}
	time.Sleep(copyAfter)
	w.repeat(first)
}

// repeat sends the copy of the request that started the moved task on its first machine.
func (w *world) repeat(first *agent) {
	body := first.directStart(w.moved)
	w.rec.add("trouble a copy of the command arrives at %s: %s", first.name, body)
	response, err := http.Post("http://"+first.addr+"/commands", "application/json", bytes.NewReader(body))
	if err != nil {
		w.rec.add("error   %v", err)
		return
	}
	response.Body.Close()
	w.rec.add("trouble the copy was answered with %d", response.StatusCode)
}

// judgeOnce judges whether the moved task has been on two machines, a few seconds after the last step.
func (w *world) judgeOnce() int {
	time.Sleep(judgeAfter)
	if twice := w.jobs.startedTwice(); len(twice) > 0 {
		w.rec.add("verdict broken: %v started on one machine while on another", twice)
		return exitBroken
	}
	w.rec.add("verdict held: no task started on one machine while on another")
	return exitHeld
}

// agentNamed returns the agent of a machine that is up, or nil.
func (w *world) agentNamed(name string) *agent {
	for _, a := range w.cloud.agents() {
		if a.name == name {
			return a
		}
	}
	return nil
}

// highestToken returns the highest token that the agent has seen.
func (a *agent) highestToken() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.token
}

// directStart returns the body of the direct command that has started a task, or nil.
func (a *agent) directStart(name string) []byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, body := range a.starts {
		if bytes.Contains(body, []byte(`"`+name+`"`)) {
			return body
		}
	}
	return nil
}

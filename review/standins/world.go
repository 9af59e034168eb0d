package main

import (
	"context"
	"os"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// world is a small deployment: three controllers and the stand-ins around them.
type world struct {
	rec         *recorder
	dir         string
	timing      timing
	trouble     bool // false: the same without the disruption
	shim        *testShim
	store       *fake.KVStore
	cloud       *cloud
	jobs        *jobLog
	controllers []*controller
	runTime     func(job *wire.Job) time.Duration
	moved       string // the task that moves, in the case repeated-start
}

// siteTiming holds the times of the site andina-pagos.
var siteTiming = timing{report: 3 * time.Second, lease: 26 * time.Second, cancel: 51 * time.Second}

// newWorld starts the stand-ins and then the controllers, and waits until these are healthy.
func newWorld(root, record string, plan cloudPlan) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "leadproxy-review-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, timing: siteTiming, trouble: os.Getenv("TROUBLE") != "0", jobs: newJobLog(rec),
		runTime: func(job *wire.Job) time.Duration { return time.Duration(job.EstimatedRunS * float64(time.Second)) }}
	w.shim = &testShim{ctx: context.Background()}
	w.store = fake.NewKVStore(w.shim, transport.TCP{}, "127.0.0.1:0", nil)
	if w.cloud, err = newCloud(w, plan); err != nil {
		return nil, err
	}
	stores := []string{w.store.Addr(), w.store.Addr(), w.store.Addr()}
	if w.controllers, err = newControllers(dir, root, w.cloud.addr, stores, w.timing); err != nil {
		return nil, err
	}
	return w, nil
}

// start starts the controllers and reports whether they are healthy.
func (w *world) start() bool {
	for _, c := range w.controllers {
		if err := c.start(); err != nil {
			w.rec.add("error   %s: %v", c.name, err)
			return false
		}
		w.rec.add("run     controller %s on %s", c.name, c.public)
	}
	for _, c := range w.controllers {
		if !c.awaitHealthy(15 * time.Second) {
			w.rec.add("error   %s is not healthy", c.name)
			return false
		}
	}
	return true
}

// stop ends everything that was started. The folder with the logs is removed unless KEEP is set.
func (w *world) stop() {
	for _, c := range w.controllers {
		c.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// await waits until a condition holds and reports whether it does in time.
func (w *world) await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	w.rec.add("error   a step of the case did not happen in time")
	return false
}

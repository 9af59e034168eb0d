package main

import (
	"fmt"
	"os"
	"time"

	"leadproxy/internal/wire"
)

// The bounds of the case sick-machine.
const (
	sickFor = 5 * time.Second  // the pages have 115 and 120 s
	maxWait = 90 * time.Second // "no job is left waiting for 90 s while a machine that fits has room"
	watched = 117 * time.Second
	// busyMachines is the number of machines that another job keeps busy.
	busyMachines = 2
)

// runSickMachine submits a job that keeps two machines busy, and then a small one, for which a third
// machine is rented. That machine fails every task for a few seconds. After that, the small job must
// not be left waiting for 90 s while the machine has room. The cloud has ordinary machines only.
func runSickMachine(root, record string) int {
	pool := wire.CapacityPool{Type: "caja-node", Zone: "lima-norte"}
	w, err := newWorld(root, record, cloudPlan{
		types:    []wire.MachineType{{Name: "caja-node", CPUs: 16, MemGB: 32, CacheGB: 40, FetchGBPerS: 1, Price: 0.69, SpotPrice: 0.25, BootS: 2, Zones: []string{"lima-norte"}}},
		capacity: map[wire.CapacityPool]int{pool: 6}, boot: 2 * time.Second, listLag: 4 * time.Second,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	wellSince := make(chan time.Time, 1)
	up := make(chan *agent, 10)
	w.cloud.onUp = func(a *agent) {
		up <- a
		if len(up) != busyMachines+1 {
			return
		}
		if !w.trouble {
			wellSince <- time.Now()
			return
		}
		a.setSick(true)
		time.AfterFunc(sickFor, func() {
			a.setSick(false)
			wellSince <- time.Now()
		})
	}
	if !w.start() {
		return exitNotRun
	}
	due := 200.0
	busy := &wire.Job{ID: "job-000001", Class: "settle-window", Team: "contabilidad", Kind: "batch", Priority: "high", Tasks: busyMachines,
		CPUs: 16, MemGB: 28, Image: "img-01", ImageGB: 0.5, Spot: true, EstimatedRunS: 150, DeadlineS: &due}
	if !w.submit(busy) || !w.await(20*time.Second, func() bool { running, _ := w.jobs.count(busy.ID); return running == busyMachines }) {
		return exitNotRun
	}
	soon := 60.0
	small := &wire.Job{ID: "job-000002", Class: "fraud-score", Team: "contabilidad", Kind: "batch", Priority: "high", Tasks: 3,
		CPUs: 2, MemGB: 2.5, Image: "img-02", ImageGB: 0.5, Spot: true, EstimatedRunS: 4, DeadlineS: &soon}
	if !w.submit(small) {
		return exitNotRun
	}
	return w.judgeWaiting(small, wellSince)
}

// judgeWaiting polls a job until it is done, or until it has waited for 90 s, after the last trouble,
// while a machine that fits had room.
func (w *world) judgeWaiting(job *wire.Job, wellSince <-chan time.Time) int {
	var over, waitingSince time.Time // zero: not yet
	lastPoll := time.Now()
	for w.rec.elapsed() < watched {
		time.Sleep(100 * time.Millisecond)
		select {
		case over = <-wellSince:
		default:
		}
		if time.Since(lastPoll) >= pollInterval {
			lastPoll = time.Now()
			if _, state := w.query(int(w.rec.elapsed()/pollInterval), job.ID); state == wire.JobDone {
				w.rec.add("verdict held: the job is done")
				return exitHeld
			}
		}
		if over.IsZero() || !w.waitsBesideRoom(job) {
			waitingSince = time.Time{}
			continue
		}
		if waitingSince.IsZero() {
			waitingSince = time.Now()
		}
		if time.Since(waitingSince) > maxWait {
			w.rec.add("verdict broken: the job has waited for %.0f s while a machine that fits had room", time.Since(waitingSince).Seconds())
			return exitBroken
		}
	}
	if over.IsZero() {
		return exitNotRun
	}
	w.rec.add("verdict held: the job never waited for so long")
	return exitHeld
}

// waitsBesideRoom reports whether a task of the job waits while a machine that fits has room for it.
func (w *world) waitsBesideRoom(job *wire.Job) bool {
	running, done := w.jobs.count(job.ID)
	if running+done >= job.Tasks {
		return false
	}
	for _, a := range w.cloud.agents() {
		if a.room(job) {
			return true
		}
	}
	return false
}

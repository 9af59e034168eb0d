package main

import (
	"fmt"
	"os"
	"time"

	"leadproxy/internal/wire"
)

// startWithin is how long the case waits for the first start. Machines boot in two seconds.
const startWithin = 110 * time.Second

// runNoEstimate submits a job whose owner estimates its run time of 40 ms as 0.0 s, to a deployment
// without machines. The cloud has machines that fit.
func runNoEstimate(root, record string) int {
	spot := wire.CapacityPool{Type: "caja-node", Zone: "lima-norte", Spot: true}
	ordinary := wire.CapacityPool{Type: "caja-node", Zone: "lima-norte"}
	w, err := newWorld(root, record, cloudPlan{
		types:    []wire.MachineType{{Name: "caja-node", CPUs: 16, MemGB: 32, CacheGB: 40, FetchGBPerS: 1, Price: 0.69, SpotPrice: 0.25, BootS: 2, Zones: []string{"lima-norte"}}},
		capacity: map[wire.CapacityPool]int{spot: 9, ordinary: 6}, boot: 2 * time.Second, listLag: 4 * time.Second,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	w.runTime = func(*wire.Job) time.Duration { return 40 * time.Millisecond }
	if !w.start() {
		return exitNotRun
	}
	guess := 0.1
	if w.trouble {
		guess = 0 // 40 ms with one decimal
	}
	w.rec.add("trouble the owner's estimate is %v s", guess)
	job := &wire.Job{ID: "job-000001", Class: "fraud-score", Team: "contabilidad", Kind: "batch", Priority: "high", Tasks: 3,
		CPUs: 2, MemGB: 2.5, Image: "img-02", ImageGB: 0.5, Spot: true, EstimatedRunS: guess}
	if !w.submit(job) {
		return exitNotRun
	}
	for i := 0; w.rec.elapsed() < startWithin; i++ {
		time.Sleep(pollInterval)
		if _, state := w.query(i, job.ID); state == wire.JobDone {
			w.rec.add("verdict held: the job is done")
			return exitHeld
		}
	}
	if running, done := w.jobs.count(job.ID); running+done > 0 {
		w.rec.add("verdict held: tasks were started")
		return exitHeld
	}
	w.rec.add("verdict broken: the job was accepted, the cloud was asked for %d machines, and no task was started", w.cloud.rentedSoFar())
	return exitBroken
}

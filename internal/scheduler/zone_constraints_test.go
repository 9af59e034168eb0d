package scheduler

import (
	"slices"
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// zoneConstraints are the constraints under which a job's next task may not be in zone a or b because of
// its first one, which runs in zone a.
var zoneConstraints = []struct {
	name    string
	change  func(j *wire.Job)
	allowed string // the zone of the next task
}{
	{"gang", func(j *wire.Job) { j.Gang = true }, "a"},
	{"spread", func(j *wire.Job) { j.Spread = true }, "b"},
}

// newZoneHarness returns a harness in which the first of a job's tasks runs on vm-1, a full machine in
// zone a, and the others wait.
func newZoneHarness(t *testing.T, tasks int, change func(j *wire.Job)) (*harness, []wire.TaskStatus) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	j := newTestJob("job-1", tasks, 4)
	j.EstimatedRunS = 1000
	change(j)
	h.submit(j)
	running := []wire.TaskStatus{newTaskStatus(h.startCommands()[0], wire.TaskRunning, "")}
	h.completeCommands(CommandExecuted)
	h.acknowledge("vm-1", running...)
	return h, running
}

// heartbeatInZone sends a heartbeat of a machine without tasks in a zone.
func (h *harness) heartbeatInZone(name, zone string, token uint64) {
	heartbeat := h.newHeartbeat(name, token)
	heartbeat.Zone = zone
	h.sendHeartbeat(heartbeat)
}

// TestMachinesAreRentedInZonesOfTheNextTask guards against a machine that is rented for a task which
// may not start there, because of the zones of its job's other tasks.
func TestMachinesAreRentedInZonesOfTheNextTask(t *testing.T) {
	for _, test := range zoneConstraints {
		t.Run(test.name, func(t *testing.T) {
			h, running := newZoneHarness(t, 2, test.change)
			allowed := 0
			for range 20 {
				h.waitReporting(time.Second, "vm-1", running...)
				for _, request := range h.scaleOuts {
					if request.Zone == test.allowed {
						allowed++
					} else {
						t.Errorf("a machine is rented in zone %s", request.Zone)
					}
					h.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{ScaleOut: &request}, Err: autoscaler.ErrNoCapacity}})
				}
				h.scaleOuts = nil
			}
			h.want("requests in the allowed zone", allowed > 0, true)
		})
	}
}

// TestIdleMachineInAnotherZoneIsReturned guards against an idle machine that is kept for a waiting task
// which may not start there, because of the zones of its job's other tasks.
func TestIdleMachineInAnotherZoneIsReturned(t *testing.T) {
	for _, test := range zoneConstraints {
		t.Run(test.name, func(t *testing.T) {
			h, running := newZoneHarness(t, 2, test.change)
			h.core.cfg.Operator.MaxMachines = 2
			otherZone := map[string]string{"a": "b", "b": "a"}[test.allowed]
			h.heartbeatInZone("vm-2", otherZone, 0)
			for end := h.now + 2*h.core.cfg.Operator.IdleReturn + minRental; h.now < end; {
				h.heartbeatInZone("vm-2", otherZone, h.core.machines.find("vm-2").agent.FencingToken())
				h.waitReporting(2*time.Second, "vm-1", running...)
			}
			h.want("the idle machine is returned", slices.Contains(h.deletedMachines, "vm-2"), true)
			h.want("the busy machine is returned", slices.Contains(h.deletedMachines, "vm-1"), false)
		})
	}
}

// TestCapacityElsewhereKeepsToConstraints guards against a drain that counts a machine as room for a task
// which may not start there.
func TestCapacityElsewhereKeepsToConstraints(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness, j *job, other *machine)
		fits   bool
	}{
		{"no constraint", func(*harness, *job, *machine) {}, true},
		{"type", func(_ *harness, j *job, _ *machine) { j.spec.Types = []string{"m8"} }, false},
		{"a spread job with its other task in the zone", func(h *harness, j *job, other *machine) {
			j.spec.Spread, j.progress.total = true, 2
			h.core.placement.adjustZoneCount(j, h.core.machines.find("vm-1").zone, 1)
			h.core.placement.adjustZoneCount(j, other.zone, 1)
		}, false},
		{"a gang with another task in the old zone", func(h *harness, j *job, _ *machine) {
			j.spec.Gang = true
			h.core.placement.adjustZoneCount(j, h.core.machines.find("vm-1").zone, 2)
		}, false},
		{"a gang's only task", func(h *harness, j *job, _ *machine) {
			j.spec.Gang = true
			h.core.placement.adjustZoneCount(j, h.core.machines.find("vm-1").zone, 1)
		}, true},
		{"reserved for another job", func(_ *harness, _ *job, other *machine) { other.capacity.reserved = true }, false},
		{"avoided", func(h *harness, j *job, other *machine) {
			j.retry.failedOn = map[int32]time.Duration{other.index: h.now + failureAvoidance}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, _ := newZoneHarness(t, 1, func(*wire.Job) {})
			h.heartbeatInZone("vm-2", "b", 0)
			h.heartbeatInZone("vm-2", "b", termToken)
			from, other, j := h.core.machines.find("vm-1"), h.core.machines.find("vm-2"), h.core.jobs.list[0]
			test.change(h, j, other)
			h.want("fits elsewhere", h.core.planViews.hasCapacityElsewhere(from, j), test.fits)
		})
	}
}

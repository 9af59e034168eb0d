package scheduler

import (
	"testing"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// bringUpOfType brings up a spot machine of a type in zone a.
func (h *harness) bringUpOfType(name, typ string) {
	for _, token := range []uint64{0, termToken} {
		h.heartbeatOfType(name, typ, token)
	}
}

// heartbeatOfType sends a heartbeat of a machine of a type.
func (h *harness) heartbeatOfType(name, typ string, token uint64, tasks ...wire.TaskStatus) {
	heartbeat := h.newHeartbeat(name, token, tasks...)
	heartbeat.Type = typ
	h.sendHeartbeat(heartbeat)
}

// runOnWholeMachine has a task of a job take a whole machine of type m4, and returns its start.
func (h *harness) runOnWholeMachine(name, jobID string) wire.Command {
	h.submit(newTestJob(jobID, 1, 4))
	start := h.startCommands()[0]
	h.completeCommands(CommandExecuted)
	h.acknowledge(name, newTaskStatus(start, wire.TaskRunning, ""))
	return start
}

// awaitOverdue lets time pass until all waiting jobs have waited for agedAfter, while a machine reports
// its tasks, and places them once more.
func (h *harness) awaitOverdue(name string, tasks ...wire.TaskStatus) {
	h.waitReporting(agedAfter, name, tasks...)
	h.core.placement.markNeeded()
	h.acknowledge(name, tasks...)
}

// TestReservationKeepsToTypes guards against a machine that is reserved for a job which does not allow
// its type, because a machine type became known while the job waited. Once the job's own type has a
// machine, the job starts there.
func TestReservationKeepsToTypes(t *testing.T) {
	h := newHarnessWithoutTypes(t, 0, testConfig(settings.Defaults(), settings.Team{Name: "t"}), ledger.Snapshot{})
	h.learnTypes(testMachineType("m4", 4))
	h.bringUp("vm-1")
	running := newTaskStatus(h.runOnWholeMachine("vm-1", "job-1"), wire.TaskRunning, "")
	waiting := newTestJob("job-2", 1, 4)
	waiting.Types = []string{"m8"}
	h.submit(waiting)
	h.awaitOverdue("vm-1", running)
	h.waitReporting(reservationInterval, "vm-1", running)
	h.learnTypes(testMachineType("m2", 2))
	h.want("jobs with a reservation", len(h.core.placement.reservingJobs), 0)
	running.Status, running.ExitReason = wire.TaskEnded, wire.ExitDone
	h.acknowledge("vm-1", running)
	h.want("starts on a type that is not allowed", h.startCommands(), []wire.Command(nil))

	h.learnTypes(testMachineType("m8", 8))
	h.bringUpOfType("vm-2", "m8")
	h.want("starts on the allowed type", len(h.startCommands()), 1)
	h.want("jobs with a reservation", len(h.core.placement.reservingJobs), 0)
}

// TestReservationEndsWhenStartIsRefused guards against a machine that stays reserved for a job which
// may no longer start there, and against a start on it. A job whose team is at its limit keeps it.
func TestReservationEndsWhenStartIsRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness, j *job, m *machine)
		kept   bool
		starts int
	}{
		{"nothing has changed", func(*harness, *job, *machine) {}, true, 1},
		{"the type is not allowed", func(_ *harness, j *job, _ *machine) { j.spec.Types = []string{"m8"} }, false, 0},
		{"the zone is not allowed", func(_ *harness, j *job, _ *machine) { j.request.zone = 17 }, false, 0},
		{"spot machines are not allowed", func(_ *harness, j *job, _ *machine) { j.spec.Spot = false }, false, 0},
		{"the job avoids the machine", func(h *harness, j *job, m *machine) {
			j.retry.failedOn = map[int32]time.Duration{m.index: h.now + failureAvoidance}
		}, false, 0},
		{"a gang's other task is in another zone", func(h *harness, j *job, _ *machine) {
			j.spec.Gang = true
			h.core.placement.adjustZoneCount(j, h.core.machines.zones.intern("b"), 1)
		}, false, 0},
		{"half of the spread tasks are in the zone", func(h *harness, j *job, m *machine) {
			j.spec.Spread = true
			h.core.placement.adjustZoneCount(j, m.zone, 1)
		}, false, 0},
		{"the machine is cordoned", func(_ *harness, _ *job, m *machine) { m.eviction.cordoned = true }, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			start := h.runOnWholeMachine("vm-1", "job-1")
			running := newTaskStatus(start, wire.TaskRunning, "")
			h.submit(newTestJob("job-2", 1, 4))
			h.awaitOverdue("vm-1", running)
			j, m := h.core.jobs.list[h.core.jobs.indexByID["job-2"]], h.core.machines.find("vm-1")
			h.want("reserved", j.placement.reservedMachine == m, true)
			test.change(h, j, m)
			h.core.placement.markNeeded()
			h.acknowledge("vm-1", running)
			h.want("the reservation is kept", j.placement.reservedMachine == m, test.kept)
			h.acknowledge("vm-1", newTaskStatus(start, wire.TaskEnded, wire.ExitDone))
			h.want("starts", len(h.startCommands()), test.starts)
		})
	}
}

// TestPlannedStartIsDroppedWhenRefused guards against a start that was decided before its host was
// durable and that is no longer allowed when it is.
func TestPlannedStartIsDroppedWhenRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(h *harness, j *job, m *machine)
		starts int
	}{
		{"nothing has changed", func(*harness, *job, *machine) {}, 1},
		{"the type is not allowed", func(_ *harness, j *job, _ *machine) { j.spec.Types = []string{"m8"} }, 0},
		{"spot machines are not allowed", func(_ *harness, j *job, _ *machine) { j.spec.Spot = false }, 0},
		{"a gang's other task is in another zone", func(h *harness, j *job, _ *machine) {
			j.spec.Gang = true
			h.core.placement.adjustZoneCount(j, h.core.machines.zones.intern("b"), 1)
		}, 0},
		{"the job avoids the machine", func(h *harness, j *job, m *machine) {
			j.retry.failedOn = map[int32]time.Duration{m.index: h.now + failureAvoidance}
		}, 0},
		{"the team is beyond its limit", func(h *harness, j *job, _ *machine) {
			h.core.teams.Team(j.request.team).Allocate(j.request.size)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 4})
			h.bringUp("vm-1")
			h.holdWrites = true
			h.submit(newTestJob("job-1", 1, 4))
			j, m := h.core.jobs.list[0], h.core.machines.find("vm-1")
			h.want("planned tasks", j.progress.allocated, 1)
			test.change(h, j, m)
			h.releaseWrites()
			h.want("starts", len(h.startCommands()), test.starts)
			h.want("allocated tasks", j.progress.allocated, test.starts)
		})
	}
}

// TestUnknownTypeSuitsOnlyJobsWithoutTypes guards against a machine whose type is not known yet counting as
// one of any type.
func TestUnknownTypeSuitsOnlyJobsWithoutTypes(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	unknown := autoscaler.CapacityPool{Type: -1, Spot: true}
	j := &job{spec: newTestJob("job-1", 1, 1), request: request{zone: anyZone}}
	h.want("without types", h.core.types.allowsPool(j, unknown), true)
	j.spec.Types = []string{"m4"}
	h.want("with types", h.core.types.allowsPool(j, unknown), false)
}

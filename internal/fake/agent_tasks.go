package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// agentTask is the state of one attempt of a task on its machine.
type agentTask struct {
	wire.TaskStatus
	job              *wire.Job
	progress         time.Duration // run time so far, with that of the checkpoint it resumed from
	checkpointDoneAt time.Time     // when saving the checkpoint will be complete
}

// countsAsRunning reports whether a task is running, with its start recorded and its end not yet. A
// task that saves a checkpoint is still running.
func (t *agentTask) countsAsRunning() bool {
	return t.Status == wire.TaskRunning || t.Status == wire.TaskCheckpointing
}

// endAllTasks ends and removes all tasks immediately, as when the lease expires.
func (a *Agent) endAllTasks() {
	for _, t := range a.tasks {
		if t.countsAsRunning() {
			a.config.Checker.RecordTaskEnd(t.Task, a.name, false)
		}
	}
	a.tasks, a.knownAttempts = nil, map[uint64]bool{}
}

// advanceTasks advances all tasks by the time that has elapsed since the last call.
func (a *Agent) advanceTasks() {
	now := time.Now()
	elapsed := now.Sub(a.lastTick)
	a.lastTick = now
	for _, t := range a.tasks {
		switch t.Status {
		case wire.TaskFetching:
			if !now.Before(a.imageReadyAt[t.job.Image]) {
				a.runTask(t)
			}
		case wire.TaskRunning:
			if t.progress += elapsed; t.progress >= a.config.RunTime(t.Task) {
				a.completeTask(t)
			}
		case wire.TaskCheckpointing:
			if !now.Before(t.checkpointDoneAt) {
				a.endStoppedTask(t, checkpointSaved)
			}
		}
	}
}

// startTask starts an attempt. It is idempotent: it ignores an attempt that is known already. An
// attempt that can't run ends immediately with a reason. Otherwise it runs once its image has been
// fetched.
func (a *Agent) startTask(command wire.Command) {
	if a.knownAttempts[command.Attempt] {
		return
	}
	a.knownAttempts[command.Attempt] = true
	a.signalChange()
	t := &agentTask{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskEnded}}
	a.tasks = append(a.tasks, t)
	t.job = a.config.Checker.Job(wire.JobIDOfTask(command.Task))
	if t.ExitReason = a.rejectionReason(t); t.ExitReason != "" {
		return
	}
	t.Status = wire.TaskFetching
	if readyAt, ok := a.imageReadyAt[t.job.Image]; !ok {
		a.imageReadyAt[t.job.Image] = time.Now().Add(a.config.ImageFetchTime)
	} else if !time.Now().Before(readyAt) {
		a.runTask(t)
	}
}

// rejectionReason returns the exit reason of a new attempt that can't run, or "" if it can.
func (a *Agent) rejectionReason(t *agentTask) string {
	if t.job == nil {
		return wire.ExitNoSuchTask
	}
	cpus, memory := t.job.CPUs, t.job.MemGB
	for _, other := range a.tasks {
		if other == t || other.Status == wire.TaskEnded {
			continue
		}
		if other.Task == t.Task {
			return wire.ExitInUse
		}
		cpus += other.job.CPUs
		memory += other.job.MemGB
	}
	if cpus > a.size.CPUs || memory > a.size.MemGB {
		return wire.ExitNoCapacity
	}
	return ""
}

// runTask makes a task run from its checkpoint, if it has one.
func (a *Agent) runTask(t *agentTask) {
	t.Status, t.progress = wire.TaskRunning, a.config.Checker.CheckpointedProgress(t.Task)
	a.signalChange()
	a.config.Checker.RecordTaskStart(t.Task, Location{
		Machine: a.name, MachineType: a.request.Type, Zone: a.request.Zone, Spot: a.request.Spot,
	})
}

func (a *Agent) completeTask(t *agentTask) {
	t.Status, t.ExitReason = wire.TaskEnded, wire.ExitDone
	a.signalChange()
	a.config.Checker.RecordTaskEnd(t.Task, a.name, true)
}

func (a *Agent) failTask(t *agentTask) {
	t.Status, t.ExitReason = wire.TaskEnded, wire.ExitError
	a.signalChange()
	a.config.Checker.RecordTaskEnd(t.Task, a.name, false)
}

// stopTask ends a task. A running task saves a checkpoint first if its job has checkpoints and the
// command's grace period (0 if absent) is long enough for one. A checkpoint that is being saved is
// aborted only if the grace period is 0.
func (a *Agent) stopTask(t *agentTask, command wire.Command) {
	grace := 0.0
	if command.GracePeriodS != nil {
		grace = *command.GracePeriodS
	}
	switch {
	case t.Status == wire.TaskEnded, t.Status == wire.TaskCheckpointing && grace > 0:
	case t.Status == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointDurationS:
		t.Status, t.checkpointDoneAt = wire.TaskCheckpointing, time.Now()
		if a.config.SlowCheckpoints {
			t.checkpointDoneAt = t.checkpointDoneAt.Add(time.Duration(t.job.CheckpointDurationS * float64(time.Second)))
		}
		a.signalChange()
		a.advanceTasks()
	default:
		a.endStoppedTask(t, noCheckpoint)
	}
}

// checkpointOutcome reports whether a stopped task has saved a checkpoint of its progress.
type checkpointOutcome bool

const (
	noCheckpoint    checkpointOutcome = false
	checkpointSaved checkpointOutcome = true
)

// endStoppedTask ends a task after a stop command and records its checkpoint, if it saved one.
func (a *Agent) endStoppedTask(t *agentTask, outcome checkpointOutcome) {
	if t.countsAsRunning() {
		a.config.Checker.RecordTaskEnd(t.Task, a.name, false)
	}
	if outcome == checkpointSaved {
		a.config.Checker.RecordCheckpoint(t.Task, t.progress)
	}
	t.Status, t.ExitReason, t.CheckpointSaved = wire.TaskEnded, wire.ExitStopped, outcome == checkpointSaved
	a.signalChange()
}

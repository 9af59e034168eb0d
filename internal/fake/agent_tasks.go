package fake

import (
	"time"

	"leadproxy/internal/wire"
)

// agentTask is one attempt of a task on a machine, as its worker knows it.
type agentTask struct {
	wire.TaskStatus
	job              *wire.Job
	progress         time.Duration
	checkpointDoneAt time.Time // when its checkpoint will be saved
}

// countsAsRunning reports whether a task counts as running on its machine.
func (t *agentTask) countsAsRunning() bool {
	return t.Status == wire.TaskRunning || t.Status == wire.TaskCheckpointing
}

// endAllTasks ends all tasks at once, as an expired lease does.
func (w *Agent) endAllTasks() {
	for _, t := range w.tasks {
		if t.countsAsRunning() {
			w.config.Checker.RecordTaskEnd(t.Task, w.name, false)
		}
	}
	w.tasks, w.knownAttempts = nil, map[uint64]bool{}
}

// advanceTasks lets tasks progress by the time that has passed.
func (w *Agent) advanceTasks() {
	now := time.Now()
	elapsed := now.Sub(w.lastTick)
	w.lastTick = now
	for _, t := range w.tasks {
		switch t.Status {
		case wire.TaskFetching:
			if !now.Before(w.imageReadyAt[t.job.Image]) {
				w.runTask(t)
			}
		case wire.TaskRunning:
			if t.progress += elapsed; t.progress >= w.config.RunTime(t.Task) {
				w.completeTask(t)
			}
		case wire.TaskCheckpointing:
			if !now.Before(t.checkpointDoneAt) {
				w.endStoppedTask(t, checkpointSaved)
			}
		}
	}
}

// startTask begins an attempt, unless it is known already (idempotent command).
func (w *Agent) startTask(command wire.Command) {
	if w.knownAttempts[command.Attempt] {
		return
	}
	w.knownAttempts[command.Attempt] = true
	w.signalChange()
	t := &agentTask{TaskStatus: wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskEnded}}
	w.tasks = append(w.tasks, t)
	t.job = w.config.Checker.Job(wire.JobIDOfTask(command.Task))
	if t.ExitReason = w.rejectionReason(t); t.ExitReason != "" {
		return
	}
	t.Status = wire.TaskFetching
	if readyAt, ok := w.imageReadyAt[t.job.Image]; !ok {
		w.imageReadyAt[t.job.Image] = time.Now().Add(w.config.ImageFetchTime)
	} else if !time.Now().Before(readyAt) {
		w.runTask(t)
	}
}

// rejectionReason is the reason why a new attempt can't run; "": it can.
func (w *Agent) rejectionReason(t *agentTask) string {
	if t.job == nil {
		return wire.ExitNoSuchTask
	}
	cpus, memory := t.job.CPUs, t.job.MemGB
	for _, other := range w.tasks {
		if other == t || other.Status == wire.TaskEnded {
			continue
		}
		if other.Task == t.Task {
			return wire.ExitInUse
		}
		cpus += other.job.CPUs
		memory += other.job.MemGB
	}
	if cpus > w.size.CPUs || memory > w.size.MemGB {
		return wire.ExitNoCapacity
	}
	return ""
}

func (w *Agent) runTask(t *agentTask) {
	t.Status, t.progress = wire.TaskRunning, w.config.Checker.CheckpointedProgress(t.Task)
	w.signalChange()
	w.config.Checker.RecordTaskStart(t.Task, Location{
		Machine: w.name, MachineType: w.request.Type, Zone: w.request.Zone, Spot: w.request.Spot,
	})
}

func (w *Agent) completeTask(t *agentTask) {
	t.Status, t.ExitReason = wire.TaskEnded, wire.ExitDone
	w.signalChange()
	w.config.Checker.RecordTaskEnd(t.Task, w.name, true)
}

// stopTask ends a task, after a checkpoint if the command's grace period is long enough for it.
func (w *Agent) stopTask(t *agentTask, command wire.Command) {
	grace := 0.0
	if command.GracePeriodS != nil {
		grace = *command.GracePeriodS
	}
	switch {
	case t.Status == wire.TaskEnded, t.Status == wire.TaskCheckpointing && grace > 0:
	case t.Status == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointDurationS:
		t.Status, t.checkpointDoneAt = wire.TaskCheckpointing, time.Now()
		if w.config.SlowCheckpoints {
			t.checkpointDoneAt = t.checkpointDoneAt.Add(time.Duration(t.job.CheckpointDurationS * float64(time.Second)))
		}
		w.signalChange()
		w.advanceTasks()
	default:
		w.endStoppedTask(t, noCheckpoint)
	}
}

// checkpointOutcome says whether a stopped task has saved its progress.
type checkpointOutcome bool

const (
	noCheckpoint    checkpointOutcome = false
	checkpointSaved checkpointOutcome = true
)

// endStoppedTask ends a task that was told to stop.
func (w *Agent) endStoppedTask(t *agentTask, outcome checkpointOutcome) {
	if t.countsAsRunning() {
		w.config.Checker.RecordTaskEnd(t.Task, w.name, false)
	}
	if outcome == checkpointSaved {
		w.config.Checker.RecordCheckpoint(t.Task, t.progress)
	}
	t.Status, t.ExitReason, t.CheckpointSaved = wire.TaskEnded, wire.ExitStopped, outcome == checkpointSaved
	w.signalChange()
}

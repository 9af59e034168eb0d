package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// workerTask is one attempt on a machine, as its worker knows it.
type workerTask struct {
	wire.TaskStatus
	job   *wire.Job
	ran   time.Duration
	saved time.Time // when its progress will be saved
}

// clear ends all tasks at once, as the end of the lease does.
func (w *Worker) clear() {
	for _, t := range w.tasks {
		if t.there() {
			w.config.Check.Ends(t.Task, w.name, false)
		}
	}
	w.tasks, w.known = nil, map[uint64]bool{}
}

// advance has tasks run on.
func (w *Worker) advance() {
	now := time.Now()
	past := now.Sub(w.ticked)
	w.ticked = now
	for _, t := range w.tasks {
		switch t.Status {
		case wire.TaskFetching:
			if !now.Before(w.images[t.job.Image]) {
				w.begin(t)
			}
		case wire.TaskRunning:
			if t.ran += past; t.ran >= w.config.Run(t.Task) {
				w.complete(t)
			}
		case wire.TaskCheckpointing:
			if !now.Before(t.saved) {
				w.stopped(t, true)
			}
		}
	}
}

func (w *Worker) begin(t *workerTask) {
	t.Status, t.ran = wire.TaskRunning, w.config.Check.Progress(t.Task)
	w.change()
	w.config.Check.Begins(t.Task, w.name, w.hire.Type, w.hire.Zone, w.hire.Spot)
}

func (w *Worker) complete(t *workerTask) {
	t.Status, t.ExitReason = wire.TaskEnded, wire.ExitDone
	w.change()
	w.config.Check.Ends(t.Task, w.name, true)
}

// execute carries out orders, on the actor.
func (w *Worker) execute(orders []wire.Command) {
	for _, o := range orders {
		switch o.Verb {
		case wire.VerbStart:
			w.start(o)
		case wire.VerbStop:
			for _, t := range w.tasks {
				if t.Task == o.Task && t.Attempt == o.Attempt {
					w.stop(t, o)
				}
			}
		case wire.VerbForget:
			w.tasks = slices.DeleteFunc(w.tasks, func(t *workerTask) bool {
				forget := t.Task == o.Task && t.Attempt == o.Attempt && t.Status == wire.TaskEnded
				if forget {
					delete(w.known, o.Attempt)
					w.change()
				}
				return forget
			})
		}
	}
}

// stop has a task end, once it has saved its progress if the order leaves it the time.
func (w *Worker) stop(t *workerTask, o wire.Command) {
	grace := 0.0
	if o.GracePeriodS != nil {
		grace = *o.GracePeriodS
	}
	switch {
	case t.Status == wire.TaskEnded, t.Status == wire.TaskCheckpointing && grace > 0:
	case t.Status == wire.TaskRunning && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointDurationS:
		t.Status, t.saved = wire.TaskCheckpointing, time.Now()
		if w.config.Saving {
			t.saved = t.saved.Add(time.Duration(t.job.CheckpointDurationS * float64(time.Second)))
		}
		w.change()
		w.advance()
	default:
		w.stopped(t, false)
	}
}

// stopped ends a task that was told to stop.
func (w *Worker) stopped(t *workerTask, saved bool) {
	if t.there() {
		w.config.Check.Ends(t.Task, w.name, false)
	}
	if saved {
		w.config.Check.Saves(t.Task, t.ran)
	}
	t.Status, t.ExitReason, t.CheckpointSaved = wire.TaskEnded, wire.ExitStopped, saved
	w.change()
}

// there tells whether a task counts as on its machine.
func (t *workerTask) there() bool {
	return t.Status == wire.TaskRunning || t.Status == wire.TaskCheckpointing
}

func (w *Worker) start(o wire.Command) {
	if w.known[o.Attempt] {
		return
	}
	w.known[o.Attempt] = true
	w.change()
	t := &workerTask{TaskStatus: wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskEnded}}
	w.tasks = append(w.tasks, t)
	ref := wire.JobIDOfTask(o.Task)
	if t.job = w.config.Check.Job(ref); t.job == nil {
		t.ExitReason = wire.ExitNoSuchTask
		return
	}
	cpus, mem := t.job.CPUs, t.job.MemGB
	for _, other := range w.tasks {
		if other == t || other.Status == wire.TaskEnded {
			continue
		}
		if other.Task == o.Task {
			t.ExitReason = wire.ExitInUse
			return
		}
		cpus += other.job.CPUs
		mem += other.job.MemGB
	}
	if cpus > w.size.CPUs || mem > w.size.MemGB {
		t.ExitReason = wire.ExitNoRoom
		return
	}
	t.Status = wire.TaskFetching
	if at, ok := w.images[t.job.Image]; !ok {
		w.images[t.job.Image] = time.Now().Add(w.config.Fetch)
	} else if !time.Now().Before(at) {
		w.begin(t)
	}
}

package scheduler

// taskState is the state of one task of a job.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAllocated
	taskDone    // completed, but not durable yet
	taskDurable // completed, and recorded in the ledger
)

type task struct{ state taskState }

// progress is the state of a job's tasks.
type progress struct {
	tasks       []task
	waiting     []int32 // indices of waiting tasks; the last one is placed next
	total       int
	done        int
	allocated   int  // allocations, also those kept until a task of an ended job has stopped
	startedOnce bool // some task has been reported running or is done
}

// initTasks allocates the states of a job's tasks, all waiting.
func (p *progress) initTasks(tasks int) {
	p.total = tasks
	p.tasks = make([]task, tasks)
}

// rebuildWaiting lists the waiting tasks, so that the lowest index is placed first.
func (p *progress) rebuildWaiting() {
	p.waiting = make([]int32, 0, max(0, len(p.tasks)-p.done))
	for i := len(p.tasks) - 1; i >= 0; i-- {
		if p.tasks[i].state == taskWaiting {
			p.waiting = append(p.waiting, int32(i))
		}
	}
}

// popWaiting removes and returns the waiting task that is placed next.
func (p *progress) popWaiting() int32 {
	last := len(p.waiting) - 1
	taskIndex := p.waiting[last]
	p.waiting = p.waiting[:last]
	return taskIndex
}

// removeWaiting removes a task from the waiting ones.
func (p *progress) removeWaiting(taskIndex int32) {
	for i, waiting := range p.waiting {
		if waiting == taskIndex {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// clearWaiting removes all waiting tasks, once the job has ended.
func (p *progress) clearWaiting() { p.waiting = nil }

// requeue returns an allocated task to the waiting ones. It reports whether the task was allocated.
func (p *progress) requeue(taskIndex int32) bool {
	if p.tasks[taskIndex].state != taskAllocated {
		return false
	}
	p.tasks[taskIndex].state = taskWaiting
	p.waiting = append(p.waiting, taskIndex)
	return true
}

// addAllocation counts a new allocation. The task becomes allocated only if it is to run, not if its
// job has ended.
func (p *progress) addAllocation(taskIndex int32, purpose allocationPurpose) {
	if purpose == purposeRun {
		p.tasks[taskIndex].state = taskAllocated
	}
	p.allocated++
}

// removeAllocation counts the release of an allocation.
func (p *progress) removeAllocation() { p.allocated-- }

// markStarted records that some task has been reported running.
func (p *progress) markStarted() { p.startedOnce = true }

// markTaskDone records that a task has completed.
func (p *progress) markTaskDone(taskIndex int32) {
	if p.tasks[taskIndex].state == taskWaiting {
		p.removeWaiting(taskIndex)
	}
	p.tasks[taskIndex].state = taskDone
	p.done++
	p.startedOnce = true
}

// markTaskDurable records that the ledger holds the completion of a task. It does nothing once the
// job is cleaned up.
func (p *progress) markTaskDurable(taskIndex int32) {
	if p.tasks != nil && p.tasks[taskIndex].state == taskDone {
		p.tasks[taskIndex].state = taskDurable
	}
}

// markAllDone counts all tasks as done.
func (p *progress) markAllDone() { p.done = p.total }

// restoreFinished marks a task that the ledger lists as completed. It reports false for a task that
// was marked before or is out of range.
func (p *progress) restoreFinished(taskIndex int) bool {
	if taskIndex >= len(p.tasks) || p.tasks[taskIndex].state == taskDurable {
		return false
	}
	p.tasks[taskIndex].state = taskDurable
	return true
}

// restore completes the state of the tasks once all finished ones have been restored from the
// ledger.
func (p *progress) restore(finished int, hasHosts bool) {
	p.done = max(p.done, finished)
	p.rebuildWaiting()
	p.startedOnce = p.done > 0 || hasHosts
}

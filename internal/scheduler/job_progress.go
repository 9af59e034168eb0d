package scheduler

// The states of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskAllocated
	taskDone    // its end is decided here
	taskDurable // its end is in the ledger
)

type task struct{ state taskState }

// progress is the state of a job's tasks.
type progress struct {
	tasks       []task
	waiting     []int32 // indices of waiting tasks, the last one is placed first
	total       int
	done        int
	allocated   int
	startedOnce bool // some task of it has been seen running, or is done
}

// initTasks makes room for the states of a job's tasks.
func (p *progress) initTasks(tasks int) {
	p.total = tasks
	p.tasks = make([]task, tasks)
}

// rebuildWaiting lists the waiting tasks, the lowest number to be placed first.
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
	n := p.waiting[last]
	p.waiting = p.waiting[:last]
	return n
}

// removeWaiting removes a task from the waiting ones.
func (p *progress) removeWaiting(n int32) {
	for k, w := range p.waiting {
		if w == n {
			p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
			return
		}
	}
}

// clearWaiting has none wait any more.
func (p *progress) clearWaiting() { p.waiting = nil }

// requeue has an allocated task wait again, and tells whether it was allocated.
func (p *progress) requeue(n int32) bool {
	if p.tasks[n].state != taskAllocated {
		return false
	}
	p.tasks[n].state = taskWaiting
	p.waiting = append(p.waiting, n)
	return true
}

// addAllocation counts an allocation. The task's state stays if its job has ended.
func (p *progress) addAllocation(n int32, purpose allocationPurpose) {
	if purpose == purposeRun {
		p.tasks[n].state = taskAllocated
	}
	p.allocated++
}

// removeAllocation counts the end of an allocation.
func (p *progress) removeAllocation() { p.allocated-- }

// markStarted notes that some task has been seen running.
func (p *progress) markStarted() { p.startedOnce = true }

// markTaskDone notes that a task has completed.
func (p *progress) markTaskDone(n int32) {
	if p.tasks[n].state == taskWaiting {
		p.removeWaiting(n)
	}
	p.tasks[n].state = taskDone
	p.done++
	p.startedOnce = true
}

// markTaskDurable notes that the end of a task is in the ledger.
func (p *progress) markTaskDurable(n int32) {
	if p.tasks != nil && p.tasks[n].state == taskDone {
		p.tasks[n].state = taskDurable
	}
}

// markAllDone counts all tasks as done.
func (p *progress) markAllDone() { p.done = p.total }

// restoreFinished notes that a task's end is in the ledger, and tells whether that is new.
func (p *progress) restoreFinished(n int) bool {
	if n >= len(p.tasks) || p.tasks[n].state == taskDurable {
		return false
	}
	p.tasks[n].state = taskDurable
	return true
}

// restore completes what is known of the tasks by the ledger.
func (p *progress) restore(finished int, hasHosts bool) {
	p.done = max(p.done, finished)
	p.rebuildWaiting()
	p.startedOnce = p.done > 0 || hasHosts
}

package main

import (
	"strings"
	"sync"
	"time"

	"leadproxy/internal/wire"
)

// jobLog knows the jobs that users have uploaded, where their tasks are and which have completed.
type jobLog struct {
	rec   *recorder
	mutex sync.Mutex
	jobs  map[string]*wire.Job
	on    map[string]string    // by task: the machine that it is on
	done  map[string]time.Time // by task: when it first completed
	twice []string             // tasks that started on one machine while they were on another
	loud  bool                 // each start and end is recorded
}

func newJobLog(rec *recorder) *jobLog {
	return &jobLog{rec: rec, jobs: map[string]*wire.Job{}, on: map[string]string{}, done: map[string]time.Time{}, loud: true}
}

func (l *jobLog) upload(job *wire.Job) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.jobs[job.ID] = job
}

func (l *jobLog) find(id string) *wire.Job {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.jobs[id]
}

// started records that a task is on a machine from now on.
func (l *jobLog) started(task, machine string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if other, running := l.on[task]; running && other != machine {
		l.twice = append(l.twice, task)
		l.rec.add("run     %s starts on %s WHILE IT IS ON %s", task, machine, other)
	}
	l.on[task] = machine
	if l.loud {
		l.rec.add("run     %s starts on %s", task, machine)
	}
}

// ended records that a task is no longer on a machine.
func (l *jobLog) ended(task, machine, reason string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.on[task] == machine {
		delete(l.on, task)
	}
	if _, known := l.done[task]; reason == wire.ExitDone && !known {
		l.done[task] = time.Now()
	}
	if l.loud {
		l.rec.add("run     %s ends on %s: %s", task, machine, reason)
	}
}

func (l *jobLog) isComplete(task string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, known := l.done[task]
	return known
}

// count returns how many tasks of a job are on machines and how many have completed.
func (l *jobLog) count(id string) (running, done int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for task := range l.on {
		if strings.HasPrefix(task, id+"/") {
			running++
		}
	}
	for task := range l.done {
		if strings.HasPrefix(task, id+"/") {
			done++
		}
	}
	return running, done
}

// machineOf returns the machine that a task is on, or "".
func (l *jobLog) machineOf(task string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.on[task]
}

// startedTwice returns the tasks that started on one machine while they were on another.
func (l *jobLog) startedTwice() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.twice
}

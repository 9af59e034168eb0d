package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is a job as its user submits it.
type job struct {
	Ref       string   `json:"ref"`
	Lane      string   `json:"lane"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Urgency   string   `json:"urgency"`
	Pieces    int      `json:"pieces"`
	VCPUs     float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"mem_gb"`
	Bundle    string   `json:"bundle"`
	SizeGB    float64  `json:"size_gb"`
	Flavors   []string `json:"flavors"`
	Room      *string  `json:"room"`
	Together  bool     `json:"together"`
	Spread    bool     `json:"spread"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guess_s"`
	SnapshotS float64  `json:"snapshot_s"`
	FlushS    float64  `json:"flush_s"`
	DueS      *float64 `json:"due_s"`

	run    time.Duration // how long each task really runs
	faulty bool          // it was submitted with a mistake: each task fails on every machine
}

// checker judges what users, workers and the platform see by the rules of the protocol.
type checker struct {
	world    *world
	mu       sync.Mutex
	jobs     map[string]*jobState
	on       map[string]onMachine // tasks that are on a machine
	progress map[string]time.Duration
	broken   map[string]int
}

type onMachine struct {
	worker *worker
	try    uint64
	since  time.Time
}

type jobState struct {
	job       *job
	accepted  bool
	asked     bool // its user has asked to cancel it
	final     string
	cancelled time.Time // when its user was told that it is cancelled
	done      map[string]bool
	overdue   bool
}

func newChecker(w *world) *checker {
	return &checker{world: w, jobs: map[string]*jobState{}, on: map[string]onMachine{}, progress: map[string]time.Duration{}, broken: map[string]int{}}
}

// breaks records that a rule is broken.
func (c *checker) breaks(rule, format string, args ...any) {
	c.broken[rule]++
	c.world.record("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// brokenRules returns how often each rule was broken.
func (c *checker) brokenRules() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range c.broken {
		counts[rule] = n
	}
	return counts
}

func (c *checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.Ref] = &jobState{job: j, done: map[string]bool{}}
}

// jobOf returns the job of a task, or nil.
func (c *checker) jobOf(piece string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref, number, _ := strings.Cut(piece, "/")
	n, err := strconv.Atoi(number)
	if s := c.jobs[ref]; s != nil && err == nil && n < s.job.Pieces {
		return s.job
	}
	return nil
}

// started records that a task is on a machine, and returns its saved progress.
func (c *checker) started(piece string, try uint64, k *worker) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref, _, _ := strings.Cut(piece, "/")
	s := c.jobs[ref]
	c.world.record("start %s try %d on %s %v", piece, try, k.machine.name, k.machine.pool)
	if other, there := c.on[piece]; there {
		c.breaks("ran_twice", "%s starts on %s while it is on %s", piece, k.machine.name, other.worker.machine.name)
	}
	c.checkPlace(s, piece, k)
	if !s.cancelled.IsZero() && time.Since(s.cancelled) > c.world.site.cancel() {
		c.breaks("ran_cancelled", "%s starts %.1f s after its user was told", piece, time.Since(s.cancelled).Seconds())
	}
	c.on[piece] = onMachine{k, try, time.Now()}
	c.checkQuota(s.job.Owner)
	return c.progress[piece]
}

// checkPlace checks whether a job allows a task on a machine, given its other tasks.
func (c *checker) checkPlace(s *jobState, piece string, k *worker) {
	j, p := s.job, k.machine.pool
	allowed := j.Flavors == nil
	for _, f := range j.Flavors {
		allowed = allowed || f == p.Flavor
	}
	if !allowed || j.Room != nil && *j.Room != p.Room || p.Loaners && !j.Loaners {
		c.breaks("wrong_place", "%s starts on %s, %v; its job allows flavors %v, room %s, loaners %v", piece, k.machine.name, p, j.Flavors, textOf(j.Room), j.Loaners)
	}
	inRoom := 1
	for other, on := range c.on {
		if other == piece || !strings.HasPrefix(other, j.Ref+"/") {
			continue
		}
		if on.worker.machine.pool.Room == p.Room {
			inRoom++
		} else if j.Together {
			c.breaks("wrong_place", "%s of a job whose tasks must be together starts in %s while %s is in %s", piece, p.Room, other, on.worker.machine.pool.Room)
		}
	}
	if j.Spread && inRoom > (j.Pieces+1)/2 {
		c.breaks("wrong_place", "%s is number %d of %d in %s, and its job must be spread", piece, inRoom, j.Pieces, p.Room)
	}
}

func textOf(s *string) string {
	if s == nil {
		return "any"
	}
	return *s
}

func (c *checker) checkQuota(owner string) {
	vcpus, gpus := 0.0, 0.0
	for piece := range c.on {
		ref, _, _ := strings.Cut(piece, "/")
		if j := c.jobs[ref].job; j.Owner == owner {
			vcpus, gpus = vcpus+j.VCPUs, gpus+j.GPUs
		}
	}
	for _, t := range c.world.site.teams {
		if t.name == owner && (t.cpusMax > 0 && vcpus > t.cpusMax+1e-6 || t.gpusMax > 0 && gpus > t.gpusMax+1e-6) {
			c.breaks("quota", "team %s uses %v cores and %v GPUs", owner, vcpus, gpus)
		}
	}
}

// ended records that a task is no longer on a machine.
func (c *checker) ended(piece string, try uint64, k *worker, why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ref, _, _ := strings.Cut(piece, "/")
	s := c.jobs[ref]
	c.world.record("end %s try %d on %s: %s", piece, try, k.machine.name, why)
	if on := c.on[piece]; on.worker == k && on.try == try {
		delete(c.on, piece)
	}
	if why == "done" {
		s.done[piece] = true
	}
}

func (c *checker) saved(piece string, progress time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress[piece] = progress
}

// checkCancelled checks that no task of a cancelled job is on a machine for too long.
func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for piece, on := range c.on {
		ref, _, _ := strings.Cut(piece, "/")
		s := c.jobs[ref]
		if !s.cancelled.IsZero() && !s.overdue && time.Since(s.cancelled) > c.world.site.cancel() {
			s.overdue = true
			c.breaks("ran_cancelled", "%s is on %s %.1f s after its user was told", piece, on.worker.machine.name, time.Since(s.cancelled).Seconds())
		}
	}
}

// answered judges an answer to a user: 200 or 201 with a status, 404, 400 or 422. known tells whether
// the job was known to be accepted when the request was sent.
func (c *checker) answered(ref, request string, status int, state string, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[ref]
	if s == nil {
		if status == 200 {
			c.breaks("invented", "%s of %s, which nobody submitted, gets 200 %s", request, ref, state)
		}
		return
	}
	switch {
	case known && (status == 404 || request == "submission" && (status == 400 || status == 422)):
		c.breaks("forgotten", "%s of %s, which was accepted, gets %d", request, ref, status)
		return
	case status != 200 && status != 201:
		return
	}
	if request != "cancellation" {
		s.accepted = true
	}
	if s.final != "" && state != s.final {
		c.breaks("went_back", "%s of %s gets %s, and it was called %s before", request, ref, state, s.final)
	}
	switch state {
	case "done":
		if len(s.done) < s.job.Pieces {
			c.breaks("not_done", "%s is called done, and %d of %d tasks are", ref, len(s.done), s.job.Pieces)
		}
		s.final = state
	case "aborted":
		if !s.asked {
			c.breaks("went_back", "%s is called cancelled, and its user did not cancel it", ref)
		}
		if s.cancelled.IsZero() {
			s.cancelled = time.Now()
		}
		s.final = state
	}
}

// finalOf returns the last state that a job's user was told, if it is a final one.
func (c *checker) finalOf(ref string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[ref].final
}

// unfinished lists the jobs that were accepted and neither done nor cancelled.
func (c *checker) unfinished() (refs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ref, s := range c.jobs {
		if s.accepted && s.final == "" {
			refs = append(refs, ref)
		}
	}
	return refs
}

// onMachines returns how many tasks are on a machine.
func (c *checker) onMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.on)
}

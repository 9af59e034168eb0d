package fake

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

// history is what a service does in a test of the checker.
type history struct{ *Checker }

func (h history) submit(ref string, tasks int, change func(j *wire.Job)) {
	j := &wire.Job{ID: ref, Team: "t", Tasks: tasks, CPUs: 2, MemGB: 1, Spot: true}
	if change != nil {
		change(j)
	}
	h.Submits(j, true)
	h.answer(AskedSubmit, ref, 201, wire.JobQueued)
}

// answer is given to a question asked a second before.
func (h history) answer(what Asked, ref string, code int, status string) {
	h.Asks(ref)
	if what == AskedCancel {
		h.Cancels(ref)
	}
	asked := time.Now()
	time.Sleep(time.Second)
	h.Answered(what, ref, asked, code, status)
}

func (h history) run(task, machine string) {
	h.Begins(task, machine, "m", "a", true)
	time.Sleep(time.Second)
	h.Ends(task, machine, true)
}

// TestChecker: each history breaks the rule that is named, and no other; the ones
// without a name break none.
func TestChecker(t *testing.T) {
	zone := "b"
	cases := []struct {
		name, breaks string
		play         func(h history)
	}{
		{"all is well", "", func(h history) {
			h.submit("job-1", 2, nil)
			h.run("job-1/0", "m1")
			h.run("job-1/1", "m2")
			h.answer(AskedStatus, "job-1", 200, wire.JobDone)
			h.answer(AskedSubmit, "job-1", 200, wire.JobDone)
			h.answer(AskedStatus, "job-9", 404, "")
		}},
		{"a task ends on one machine and starts on another", "", func(h history) {
			h.submit("job-1", 1, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.Ends("job-1/0", "m1", false)
			h.run("job-1/0", "m2")
		}},
		{"a task on two machines", "ran_twice", func(h history) {
			h.submit("job-1", 1, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.Begins("job-1/0", "m2", "m", "a", true)
		}},
		{"more than the limit", "quota", func(h history) {
			h.submit("job-1", 3, nil)
			for _, task := range []string{"job-1/0", "job-1/1", "job-1/2"} {
				h.Begins(task, "m1", "m", "a", true)
			}
		}},
		{"a wrong zone", "wrong_place", func(h history) {
			h.submit("job-1", 1, func(j *wire.Job) { j.Zone = &zone })
			h.run("job-1/0", "m1")
		}},
		{"a wrong type", "wrong_place", func(h history) {
			h.submit("job-1", 1, func(j *wire.Job) { j.Types = []string{"other"} })
			h.run("job-1/0", "m1")
		}},
		{"a spot machine", "wrong_place", func(h history) {
			h.submit("job-1", 1, func(j *wire.Job) { j.Spot = false })
			h.run("job-1/0", "m1")
		}},
		{"not together", "wrong_place", func(h history) {
			h.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.Begins("job-1/1", "m2", "m", "b", true)
		}},
		{"together, one after the other", "", func(h history) {
			h.submit("job-1", 2, func(j *wire.Job) { j.Gang = true })
			h.run("job-1/0", "m1")
			h.Begins("job-1/1", "m2", "m", "b", true)
		}},
		{"not spread", "wrong_place", func(h history) {
			h.submit("job-1", 2, func(j *wire.Job) { j.Spread = true })
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.Begins("job-1/1", "m2", "m", "a", true)
		}},
		{"goes on after the cancellation", "ran_cancelled", func(h history) {
			h.submit("job-1", 1, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			h.Look(time.Time{}, nil)
		}},
		{"a lease renewed without the stop of a cancelled task", "renewed_without_stop", func(h history) {
			h.submit("job-1", 1, nil)
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			h.Renewed("m1", time.Now(), []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}}, nil)
		}},
		{"a lease renewed with the stops of cancelled tasks, and of reports from before", "", func(h history) {
			h.submit("job-1", 1, nil)
			before := time.Now()
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			tasks := []wire.TaskStatus{{Task: "job-1/0", Attempt: 1, Status: wire.TaskRunning}, {Task: "job-1/0", Attempt: 2, Status: wire.TaskEnded}}
			h.Renewed("m1", before, tasks, nil)
			h.Renewed("m1", time.Now(), tasks, []wire.Command{{Verb: wire.VerbStop, Task: "job-1/0", Attempt: 1}})
		}},
		{"ends late after the cancellation", "ran_cancelled", func(h history) {
			h.submit("job-1", 1, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.answer(AskedStatus, "job-1", 200, wire.JobQueued)
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			h.Ends("job-1/0", "m1", false)
		}},
		{"ends in time after the cancellation", "", func(h history) {
			h.submit("job-1", 1, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(39 * time.Second)
			h.Ends("job-1/0", "m1", false)
		}},
		{"starts long after the cancellation", "ran_cancelled", func(h history) {
			h.submit("job-1", 1, nil)
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			h.Begins("job-1/0", "m1", "m", "a", true)
		}},
		{"an accepted job gets 404", "forgotten", func(h history) {
			h.submit("job-1", 1, nil)
			h.answer(AskedStatus, "job-1", 404, "")
		}},
		{"its repetition gets 422", "forgotten", func(h history) {
			h.submit("job-1", 1, nil)
			h.answer(AskedSubmit, "job-1", 422, "")
		}},
		{"no question is answered", "forgotten", func(h history) {
			h.submit("job-1", 1, nil)
			calm := time.Now()
			for range 17 {
				h.Asks("job-1")
				time.Sleep(5 * time.Second)
				h.Look(calm, nil)
			}
		}},
		{"a question now and then is answered", "", func(h history) {
			h.submit("job-1", 1, nil)
			calm := time.Now()
			for k := range 30 {
				h.Asks("job-1")
				if k%14 == 13 {
					h.answer(AskedStatus, "job-1", 200, wire.JobQueued)
				}
				time.Sleep(5 * time.Second)
				h.Look(calm, nil)
			}
		}},
		{"nobody submitted it", "invented", func(h history) { h.answer(AskedStatus, "job-1", 200, wire.JobQueued) }},
		{"nobody submitted what starts", "invented", func(h history) { h.Begins("job-1/0", "m1", "m", "a", true) }},
		{"done too early", "not_done", func(h history) {
			h.submit("job-1", 2, nil)
			h.run("job-1/0", "m1")
			h.answer(AskedStatus, "job-1", 200, wire.JobDone)
		}},
		{"queued after done", "went_back", func(h history) {
			h.submit("job-1", 1, nil)
			h.run("job-1/0", "m1")
			h.answer(AskedStatus, "job-1", 200, wire.JobDone)
			h.answer(AskedSubmit, "job-1", 200, wire.JobQueued)
		}},
		{"aborted after done", "went_back", func(h history) {
			h.submit("job-1", 1, nil)
			h.run("job-1/0", "m1")
			h.Cancels("job-1")
			h.answer(AskedStatus, "job-1", 200, wire.JobDone)
			asked := time.Now().Add(-time.Hour)
			h.Answered(AskedStatus, "job-1", asked, 200, wire.JobCancelled)
		}},
		{"cancelled by nobody", "went_back", func(h history) {
			h.submit("job-1", 1, nil)
			h.answer(AskedStatus, "job-1", 200, wire.JobCancelled)
		}},
		{"an answer that was on its way", "", func(h history) {
			h.submit("job-1", 1, nil)
			asked := time.Now()
			h.run("job-1/0", "m1")
			h.answer(AskedStatus, "job-1", 200, wire.JobDone)
			h.Answered(AskedStatus, "job-1", asked, 200, wire.JobRunning)
		}},
		{"accepted though it can't run", "accepted_unfit", func(h history) {
			h.Submits(&wire.Job{ID: "job-1", Tasks: 1}, false)
			h.answer(AskedSubmit, "job-1", 201, wire.JobQueued)
		}},
		{"refused though it can run", "refused_fit", func(h history) {
			h.Submits(&wire.Job{ID: "job-1", Tasks: 1}, true)
			h.answer(AskedSubmit, "job-1", 422, "")
		}},
		{"starts before what it needs is done", "too_early", func(h history) {
			h.submit("job-1", 2, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.run("job-1/0", "m1")
			h.run("job-2/0", "m1")
		}},
		{"starts before what it needs through another is done", "too_early", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 0, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.submit("job-3", 1, func(j *wire.Job) { j.DependsOn = []string{"job-2"} })
			h.run("job-3/0", "m1")
		}},
		{"starts when what it needs is done", "", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.run("job-1/0", "m1")
			h.run("job-2/0", "m1")
		}},
		{"queued long after what it needs was cancelled", "orphaned", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.submit("job-3", 1, func(j *wire.Job) { j.DependsOn = []string{"job-2"} })
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			time.Sleep(41 * time.Second)
			h.answer(AskedStatus, "job-3", 200, wire.JobQueued)
		}},
		{"cancelled with what it needs", "", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.answer(AskedCancel, "job-1", 200, wire.JobCancelled)
			h.answer(AskedStatus, "job-2", 200, wire.JobQueued)
			h.answer(AskedStatus, "job-2", 200, wire.JobCancelled)
		}},
		{"cancelled with what needs it", "went_back", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			h.answer(AskedCancel, "job-2", 200, wire.JobCancelled)
			h.answer(AskedStatus, "job-1", 200, wire.JobCancelled)
		}},
		{"waits for others although there is room", "", func(h history) {
			h.submit("job-1", 1, func(j *wire.Job) { j.Zone = &zone })
			h.submit("job-2", 1, func(j *wire.Job) { j.DependsOn = []string{"job-1"} })
			calm := time.Now()
			for range 30 {
				h.Look(calm, []Room{{Type: "m", Zone: "a", CPUs: 2, MemGB: 2}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"waits although there is room", "left_waiting", func(h history) {
			h.submit("job-1", 1, nil)
			calm := time.Now()
			for range 11 {
				h.Look(calm, []Room{{Type: "m", Zone: "a", CPUs: 2, MemGB: 2}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"waits since there is no room", "", func(h history) {
			h.submit("job-1", 1, nil)
			h.submit("job-2", 1, func(j *wire.Job) { j.Zone = &zone })
			h.submit("job-3", 1, func(j *wire.Job) { j.Spot = false })
			calm := time.Now()
			for range 30 {
				h.Look(calm, []Room{{Type: "m", Zone: "a", CPUs: 1, MemGB: 2, Spot: true}, {Type: "m", Zone: "a", CPUs: 2, Spot: true}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"waits since its team is at its limit", "", func(h history) {
			h.submit("job-1", 3, nil)
			h.Begins("job-1/0", "m1", "m", "a", true)
			h.Begins("job-1/1", "m1", "m", "a", true)
			calm := time.Now()
			for range 30 {
				h.Look(calm, []Room{{Type: "m", Zone: "a", CPUs: 20, MemGB: 20}})
				time.Sleep(10 * time.Second)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := history{NewChecker(t, Limits{Cancel: 40 * time.Second, CPUs: map[string]float64{"t": 5}, Waiting: 90 * time.Second, Silent: 75 * time.Second})}
				c.play(h)
				broken := h.Broken()
				switch {
				case c.breaks == "" && len(broken) > 0:
					t.Errorf("breaks %v", broken)
				case c.breaks != "" && len(broken) == 0:
					t.Errorf("breaks nothing, want %s", c.breaks)
				}
				for _, b := range broken {
					if !strings.HasPrefix(b, c.breaks+":") {
						t.Errorf("breaks %s, want %s", b, c.breaks)
					}
				}
			})
		})
	}
}

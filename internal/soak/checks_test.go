package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/fake"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
)

// checkInvariants periodically checks, until the test ends, the invariants that the passing of time
// alone can violate.
func (r *run) checkInvariants() {
	for r.t.Context().Err() == nil {
		transport.Pause(r.t.Context(), checkInterval)
		faultFreeSince := <-r.faultFreeSince
		r.faultFreeSince <- faultFreeSince
		r.deployment.Checker.CheckInvariants(faultFreeSince, r.deployment.Cloud.FreeCapacity())
	}
}

// finish stops the users and ends all faults. It then expects that all accepted jobs end, that no
// task is left on a machine, that the ledger is cleaned up, and that no invariant was violated.
func (r *run) finish() {
	close(r.usersStopped)
	for _, controller := range r.deployment.Controllers {
		r.resume(controller)
	}
	<-r.faultFreeSince
	r.faultFreeSince <- time.Now()
	checker, store := r.deployment.Checker, r.deployment.Store
	fake.WaitFor(r.t, "all jobs have ended", 5*time.Minute, func() bool { return len(checker.OpenJobs()) == 0 })
	if open := checker.OpenJobs(); len(open) > 0 {
		r.t.Errorf("jobs that have not ended: %v", open)
	} else {
		r.deployment.Users.Wait()
		fake.WaitFor(r.t, "no tasks are left on machines", time.Minute, func() bool { on, _ := checker.TaskCounts(""); return on == 0 })
		fake.WaitFor(r.t, "the ledger is cleaned up", time.Minute, func() bool { return store.Count("fin/")+store.Count("host/") == 0 })
	}
	for _, violation := range checker.Violations() {
		r.t.Error(violation)
	}
	r.checkLogs()
	runs := checker.TaskRuns()
	r.t.Logf("seed %d: %d task runs on machines, %d tasks completed, %d jobs, %d task starts after a confirmed cancellation",
		r.plan.seed, len(runs), len(fake.Completions(runs)), store.Count("job/"), checker.LateStarts())
}

// checkLogs fails the test for each line of the controllers' logs that reports a panic, an overdue
// task of a cancelled job, or a start that was not allowed.
func (r *run) checkLogs() {
	for _, controller := range r.deployment.Controllers {
		for _, line := range strings.Split(controller.Log(), "\n") {
			if strings.Contains(line, scheduler.MessageCancelledTaskOverdue) || strings.Contains(line, dispatch.MessageForbiddenStart) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				r.t.Errorf("%s: %s", controller.Platform.Name, line)
			}
		}
	}
}

// keepArtifacts saves the controllers' logs, the ledger and the schedule with all violations of a
// failed run.
func (r *run) keepArtifacts() {
	dir := fake.KeepLogs(r.t, r.deployment.Controllers)
	ledger, err := json.MarshalIndent(r.deployment.Store.Entries(), "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "ledger.json"), ledger, 0o600)
	}
	if err == nil {
		text := fmt.Sprintf("%+v\n%s\n%s\n", r.plan, r.schedule, strings.Join(r.deployment.Checker.Violations(), "\n"))
		err = os.WriteFile(filepath.Join(dir, "schedule.txt"), []byte(text), 0o600)
	}
	if err != nil {
		r.t.Error(err)
	}
}

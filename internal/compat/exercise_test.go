//go:build upgrade

package compat

import (
	"fmt"
	"net/http"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// exerciseControllers takes controllers of one version through most situations: jobs that end and
// jobs that are cancelled, machines that are lost or unreachable, writes of unknown outcome, an
// outage, and a leader that is killed.
func (d *deployment) exerciseControllers(program string) {
	d.t.Helper()
	d.startAll(program)
	d.submitVariedJobs()
	d.await("tasks on machines", 20*time.Second, func() bool { on, _ := d.checker.TaskCounts(""); return on > 0 })
	lostResponses := fake.FaultInjector(func(string, *http.Request) fake.InjectedFault { return fake.InjectedFault{Kind: fake.ResponseLost} })
	d.writeFaultInjector.Store(&lostResponses)
	time.Sleep(2 * time.Second)
	d.writeFaultInjector.Store(nil)
	d.users.Submit(fake.NewJob("job-000050", 20, nil))
	d.await("more tasks on machines", 20*time.Second, func() bool { on, _ := d.checker.TaskCounts("job-000050"); return on > 4 })
	d.disruptMachines()
	d.store.SetOutage(true)
	time.Sleep(5 * time.Second)
	d.store.SetOutage(false)
	time.Sleep(3 * time.Second)
	if leader := d.leaderIndex(); leader >= 0 {
		d.replace(leader, program, time.Second)
	}
	d.awaitJobsAndCheck()
}

// submitVariedJobs has users submit jobs with all kinds of constraints, and cancel some.
func (d *deployment) submitVariedJobs() {
	for k := range 12 {
		zone := "a"
		j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+4*(k%3), func(j *wire.Job) {
			switch k % 4 {
			case 1:
				j.Zone, j.Team, j.Priority = &zone, "tight", "high"
			case 2:
				deadline := 30.0
				j.Spread, j.DeadlineS, j.Types = true, &deadline, []string{"m8"}
			case 3:
				j.Gang, j.Spot = true, false
			}
		})
		d.users.Submit(j)
		if k%4 == 1 {
			d.users.Cancel(j)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// disruptMachines makes a third of the machines hang and another third unable to reach
// controllers, for two leases.
func (d *deployment) disruptMachines() {
	for i, w := range d.cloud.Agents() {
		switch i % 3 {
		case 0:
			w.SetHung(true)
		case 1:
			w.SetOutboundCut(true)
		}
	}
	time.Sleep(2 * agentLease)
	for _, w := range d.cloud.Agents() {
		w.SetHung(false)
		w.SetOutboundCut(false)
	}
}

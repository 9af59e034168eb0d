//go:build upgrade

package compat

import (
	"fmt"
	"net/http"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// exerciseControllers runs controllers of one version in situations that make them use every family of
// keys and every peer method: completed and cancelled jobs, lost and unreachable machines, writes of
// unknown outcome, an outage of the key-value store, and a killed leader.
func (d *deployment) exerciseControllers(program string) {
	d.t.Helper()
	d.startAll(program)
	d.submitVariedJobs()
	d.await("tasks run on machines", 20*time.Second, func() bool { running, _ := d.checker.TaskCounts(""); return running > 0 })
	lostResponses := fake.FaultInjector(func(string, *http.Request) fake.InjectedFault { return fake.InjectedFault{Kind: fake.ResponseLost} })
	d.writeFaultInjector.Store(&lostResponses)
	time.Sleep(2 * time.Second)
	d.writeFaultInjector.Store(nil)
	d.users.Submit(fake.NewJob("job-000050", 20, nil))
	d.await("more than 4 tasks of job-000050 run on machines", 20*time.Second, func() bool { running, _ := d.checker.TaskCounts("job-000050"); return running > 4 })
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

// submitVariedJobs makes users submit jobs with various constraints, and cancel some of them.
func (d *deployment) submitVariedJobs() {
	for i := range 12 {
		zone := "a"
		j := fake.NewJob(fmt.Sprintf("job-%06d", i), 1+4*(i%3), func(j *wire.Job) {
			switch i % 4 {
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
		if i%4 == 1 {
			d.users.Cancel(j)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// disruptMachines makes a third of the machines hang and cuts another third off from the controllers,
// for two lease durations.
func (d *deployment) disruptMachines() {
	for i, agent := range d.cloud.Agents() {
		switch i % 3 {
		case 0:
			agent.SetHung(true)
		case 1:
			agent.SetOutboundCut(true)
		}
	}
	time.Sleep(2 * agentLease)
	for _, agent := range d.cloud.Agents() {
		agent.SetHung(false)
		agent.SetOutboundCut(false)
	}
}

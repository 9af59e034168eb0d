package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// run is one run: a deployment, its users and the faults that are injected. One goroutine injects
// the faults; users have others.
type run struct {
	t              *testing.T
	plan           plan
	program        string
	schedule       schedule
	deployment     *fake.Deployment
	random         *rand.Rand
	writeFaults    *messageFaults
	commandFaults  *messageFaults
	cloudFaults    *messageFaults
	cancellable    chan []*wire.Job // holds the jobs that run until they are cancelled
	faultFreeSince chan time.Time   // holds since when there are no faults; zero: there are
	usersStopped   chan struct{}    // closed when users submit no more
}

// runPlan carries out a plan and reports all violations.
func runPlan(t *testing.T, program string, p plan) {
	t.Helper()
	r := newRun(t, program, p)
	r.deployment = r.newDeployment()
	t.Logf("seed %d, %d machines, %v, standby %v:\n%s", p.seed, p.machines, p.times, p.standby, r.schedule)
	for _, controller := range r.deployment.Controllers {
		controller.LogLevel = "info"
		controller.Start(program)
	}
	t.Cleanup(func() {
		if t.Failed() {
			r.keepArtifacts()
		}
	})
	go r.checkInvariants()
	r.startUsers()
	r.injectFaults()
	r.finish()
}

func newRun(t *testing.T, program string, p plan) *run {
	r := &run{
		t: t, plan: p, program: program, random: rand.New(rand.NewPCG(p.seed, 3)),
		schedule:      newSchedule(p.seed, controllerCount, p.times, p.faultDuration),
		writeFaults:   newMessageFaults("/txn", p.seed),
		commandFaults: newMessageFaults("/commands", p.seed),
		cloudFaults:   newMessageFaults("", p.seed),
		cancellable:   make(chan []*wire.Job, 1), faultFreeSince: make(chan time.Time, 1), usersStopped: make(chan struct{}),
	}
	r.cancellable <- nil
	r.faultFreeSince <- time.Time{}
	return r
}

func (r *run) newDeployment() *fake.Deployment {
	p := &r.plan
	operatorSettings := ""
	if p.standby {
		operatorSettings = "[standby]\nfollow = yes\nhints = yes\n"
	}
	return fake.NewDeployment(r.t, fake.DeploymentPlan{
		Controllers: controllerCount, Machines: p.machines, Teams: []string{"open", "tight"},
		TeamCPULimits: map[string]float64{"tight": tightTeamCPUs}, OperatorSettings: operatorSettings,
		HeartbeatInterval: p.times.heartbeatInterval, AgentLease: p.times.lease, CancelDeadline: p.times.cancelDeadline,
		RunTime: p.runTime, SlowCheckpoints: true, Seed: p.seed, UseRelays: true,
		WriteFaults: r.writeFaults.inject, CommandFaults: r.commandFaults.inject, CloudFaults: r.cloudFaults.inject,
	})
}

// action is what happens at a time of a run.
type action struct {
	at      time.Duration
	perform func()
}

// timeline is the actions that are still to be performed, by time.
type timeline struct{ actions []action }

func (l *timeline) add(at time.Duration, perform func()) {
	i, _ := slices.BinarySearchFunc(l.actions, at, func(a action, at time.Duration) int { return cmp.Compare(a.at, at) })
	l.actions = slices.Insert(l.actions, i, action{at, perform})
}

// injectFaults lets the faults of the schedule begin and end.
func (r *run) injectFaults() {
	start := time.Now()
	var pending timeline
	for _, f := range r.schedule {
		pending.add(f.start, func() {
			end := r.beginFault(f)
			pending.add(f.start+f.duration, end)
		})
		if f.kind == killLeaders {
			r.scheduleLeaderKills(f, &pending)
		}
	}
	for len(pending.actions) > 0 {
		next := pending.actions[0]
		pending.actions = pending.actions[1:]
		time.Sleep(time.Until(start.Add(next.at)))
		next.perform()
	}
	time.Sleep(time.Until(start.Add(r.plan.faultDuration)))
}

// scheduleLeaderKills lets further leaders be killed one after the other, each of which is restarted
// soon.
func (r *run) scheduleLeaderKills(f scheduledFault, pending *timeline) {
	const (
		kills    = 4
		downtime = time.Second
	)
	interval := 4*time.Second + time.Duration(f.share*float64(r.plan.times.heartbeatInterval))
	for k := 1; k < kills; k++ {
		at := f.start + time.Duration(k)*interval
		if at >= r.plan.faultDuration {
			return
		}
		pending.add(at, func() {
			end := r.beginProcessFault(scheduledFault{kind: killController, target: currentLeader})
			pending.add(at+downtime, end)
		})
	}
}

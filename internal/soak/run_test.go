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

// run is one run of a plan: a deployment, its users and the faults that are injected. The test's
// goroutine injects the faults; users run on other goroutines.
type run struct {
	t              *testing.T
	plan           plan
	program        string
	schedule       schedule
	deployment     *fake.Deployment
	random         *rand.Rand
	writeFaults    *messageFaults
	readFaults     *messageFaults
	watchFaults    *messageFaults
	commandFaults  *messageFaults
	repeatFaults   *messageFaults // of commands that commandFaults leaves alone
	cloudFaults    *messageFaults
	cancellable    chan []*wire.Job // holds the jobs that run until they are cancelled
	faultFreeSince chan time.Time   // holds the time since which there have been no faults; zero: there may be faults
	usersStopped   chan struct{}    // closed to stop users from submitting jobs
}

// runPlan runs a plan and fails the test if an invariant is violated. It keeps the logs of a failed
// run.
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

// newRun returns a run whose deployment is not created yet.
func newRun(t *testing.T, program string, p plan) *run {
	r := &run{
		t: t, plan: p, program: program, random: rand.New(rand.NewPCG(p.seed, 3)),
		schedule:      newSchedule(p.seed, controllerCount, p.times, p.faultDuration),
		writeFaults:   newMessageFaults(isPost("/txn"), p.seed),
		readFaults:    newMessageFaults(fake.IsRead, p.seed),
		watchFaults:   newMessageFaults(isWatch, p.seed),
		commandFaults: newMessageFaults(isPost("/commands"), p.seed),
		repeatFaults:  newMessageFaults(isPost("/commands"), p.seed),
		cloudFaults:   newMessageFaults(isPost(""), p.seed),
		cancellable:   make(chan []*wire.Job, 1), faultFreeSince: make(chan time.Time, 1), usersStopped: make(chan struct{}),
	}
	r.cancellable <- nil
	r.faultFreeSince <- time.Time{}
	return r
}

// newDeployment creates the plan's deployment, with the run's faults.
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
		StoreFaults:   fake.FirstFault(r.writeFaults.inject, r.readFaults.inject, r.watchFaults.inject),
		CommandFaults: fake.FirstFault(r.commandFaults.inject, r.repeatFaults.inject), CloudFaults: r.cloudFaults.inject,
	})
}

// action is a function that is called at a time since the start of the faults.
type action struct {
	at      time.Duration
	perform func()
}

// timeline holds the actions that are still to be performed, ordered by time.
type timeline struct{ actions []action }

// add inserts an action to be performed at a time.
func (t *timeline) add(at time.Duration, perform func()) {
	i, _ := slices.BinarySearchFunc(t.actions, at, func(a action, at time.Duration) int { return cmp.Compare(a.at, at) })
	t.actions = slices.Insert(t.actions, i, action{at, perform})
}

// injectFaults begins and ends the faults of the schedule. It returns when they all have ended, not
// before the plan's faultDuration.
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

// scheduleLeaderKills adds the further kills of a killLeaders fault: the then current leader is
// killed and restarted after a short downtime, one after the other.
func (r *run) scheduleLeaderKills(f scheduledFault, pending *timeline) {
	interval := minLeaderKillInterval + time.Duration(f.share*float64(r.plan.times.heartbeatInterval))
	for k := 1; k < leaderKills; k++ {
		at := f.start + time.Duration(k)*interval
		if at >= r.plan.faultDuration {
			return
		}
		pending.add(at, func() {
			end := r.beginProcessFault(scheduledFault{kind: killController, target: currentLeader})
			pending.add(at+leaderDowntime, end)
		})
	}
}

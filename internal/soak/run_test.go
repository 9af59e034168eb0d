package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

const controllers = 3

// plan is what a run is made of.
type plan struct {
	seed     uint64
	machines int
	pace     pace
	length   time.Duration // of the troubles
	standby  bool
}

// pace is the times that workers keep.
type pace struct{ report, lease, cancel time.Duration }

// operatorPace is that of an operator: what a busy machine adds is little beside it.
var operatorPace = pace{report: 3 * time.Second, lease: 20 * time.Second, cancel: 40 * time.Second}

// What users ask for: as much work as some two dozen machines do. For more machines jobs have
// more tasks, and beyond that tasks run for longer, so that all machines are wanted.
const (
	jobsPerSecond = 2.4
	mostTasks     = 6
	usualMachines = 24
	mostTimes     = 25 // the usual number of tasks
	lookEvery     = 2 * time.Second
	// One job in so many is of a team that is at its limit now and then. More would pile up
	// until the end: with one in four and half the limit, 300 machines' jobs were not over five
	// minutes after the troubles, all of them of that team.
	oneInTight = 6
	tightCPUs  = 24
)

// moreTasks is how many times the usual number of tasks jobs have, and longer how many times
// the usual time tasks run.
func (p *plan) moreTasks() int { return min(max(p.machines/usualMachines, 1), mostTimes) }

func (p *plan) longer() int { return max(p.machines/usualMachines/mostTimes, 1) }

// run is one run: a deployment, its users and its troubles. The schedule is carried out by
// one goroutine; users have others.
type run struct {
	t                       *testing.T
	plan                    plan
	program                 string
	schedule                schedule
	d                       *fake.Deployment
	random                  *rand.Rand
	writes, commands, calls *messages
	open                    chan []*wire.Job // holds the jobs that run until they are cancelled
	calm                    chan time.Time   // holds since when there are no troubles; zero: there are
	stop                    chan struct{}    // closed when users submit no more
}

// play plays a run and reports what was broken.
func play(t *testing.T, program string, p plan) {
	r := &run{t: t, plan: p, program: program, random: rand.New(rand.NewPCG(p.seed, 3)),
		schedule: newSchedule(p.seed, controllers, p.pace, p.length),
		writes:   newMessages("/txn", p.seed), commands: newMessages("/commands", p.seed), calls: newMessages("", p.seed),
		open: make(chan []*wire.Job, 1), calm: make(chan time.Time, 1), stop: make(chan struct{})}
	r.open <- nil
	r.calm <- time.Time{}
	operator := ""
	if p.standby {
		operator = "[standby]\nfollow = yes\nhints = yes\n"
	}
	r.d = fake.NewDeployment(t, fake.DeploymentPlan{Controllers: controllers, Machines: p.machines, Teams: []string{"open", "tight"},
		TeamCPULimits: map[string]float64{"tight": tightCPUs}, OperatorSettings: operator, HeartbeatInterval: p.pace.report, WorkerLease: p.pace.lease, CancelDeadline: p.pace.cancel,
		RunTime: p.runTime, SlowCheckpoints: true, Seed: p.seed, UseRelays: true, WriteFaults: r.writes.befall, CommandFaults: r.commands.befall, CloudFaults: r.calls.befall})
	t.Logf("seed %d, %d machines, %v, standby %v:\n%s", p.seed, p.machines, p.pace, p.standby, r.schedule)
	for _, n := range r.d.Controllers {
		n.LogLevel = "info"
		n.Start(program)
	}
	t.Cleanup(func() {
		if t.Failed() {
			r.keep()
		}
	})
	go r.look()
	r.users()
	r.carryOut()
	r.finish()
}

// callOffLast is the last digit of jobs that run until they are cancelled.
const callOffLast = "0369"

// toCallOff tells whether a job runs until it is cancelled. Pipelines do not.
func toCallOff(ref string) bool {
	return strings.HasPrefix(ref, "job-0") && strings.Contains(callOffLast, ref[len(ref)-1:])
}

// runTime is how long a task runs: some seconds by its job's name, or for ever.
func (p *plan) runTime(task string) time.Duration {
	ref := wire.JobIDOfTask(task)
	if toCallOff(ref) {
		return time.Hour
	}
	hash := fnv.New64a()
	hash.Write([]byte(ref))
	return time.Duration(1+hash.Sum64()%12) * time.Second * time.Duration(p.longer())
}

// users submit, cancel, ask and repeat until they are stopped.
func (r *run) users() {
	stopPipelines := r.d.Users.Pipelines()
	random := rand.New(rand.NewPCG(r.plan.seed, 4))
	r.d.Users.Go(func() {
		defer stopPipelines()
		for k := 0; ; k++ {
			select {
			case <-r.stop:
				return
			case <-time.After(time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second))):
				r.submit(k, random)
			}
		}
	})
}

// submit has a user submit a job, of which some are called off later.
func (r *run) submit(k int, random *rand.Rand) {
	j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+random.IntN(mostTasks), func(j *wire.Job) {
		j.CPUs = float64(1 + random.IntN(3))
		if random.IntN(oneInTight) == 0 {
			j.Team = "tight"
		} else {
			j.Tasks *= r.plan.moreTasks()
		}
		if random.IntN(3) == 0 {
			j.CheckpointIntervalS, j.CheckpointDurationS = 2, float64(1+random.IntN(5))
		}
	})
	r.d.Users.Submit(j)
	if !toCallOff(j.ID) {
		return
	}
	r.open <- append(<-r.open, j)
	after := time.Duration(random.Int64N(int64(15 * time.Second)))
	r.d.Users.Go(func() {
		transport.Pause(r.t.Context(), after)
		r.cancel(j)
	})
}

// cancel has a user cancel a job until that is answered.
func (r *run) cancel(j *wire.Job) {
	for r.t.Context().Err() == nil {
		if code, _ := r.d.Users.Until(fake.AskedCancel, j.ID, nil); code == 200 {
			r.d.Users.Look(j.ID, j)
			return
		}
	}
}

// cancelSome has users call off a share of the jobs that wait for that, all at once.
func (r *run) cancelSome(share float64) {
	jobs := <-r.open
	r.open <- nil
	for _, j := range jobs {
		if r.random.Float64() < share {
			r.d.Users.Go(func() { r.cancel(j) })
		}
	}
}

// look holds the deployment to the rules all the time.
func (r *run) look() {
	for r.t.Context().Err() == nil {
		transport.Pause(r.t.Context(), lookEvery)
		calm := <-r.calm
		r.calm <- calm
		r.d.Checker.Look(calm, r.d.Cloud.Rooms())
	}
}

// action is something at a moment of a run.
type action struct {
	at time.Duration
	do func()
}

// carryOut has the troubles begin and end.
func (r *run) carryOut() {
	began := time.Now()
	var actions []action
	later := func(at time.Duration, do func()) {
		i, _ := slices.BinarySearchFunc(actions, at, func(a action, at time.Duration) int { return cmp.Compare(a.at, at) })
		actions = slices.Insert(actions, i, action{at, do})
	}
	for _, trouble := range r.schedule {
		later(trouble.at, func() {
			end := r.begin(trouble)
			later(trouble.at+trouble.lasts, end)
		})
		if trouble.kind == killLeaders {
			r.killInTurns(trouble, later)
		}
	}
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		time.Sleep(time.Until(began.Add(next.at)))
		next.do()
	}
	time.Sleep(time.Until(began.Add(r.plan.length)))
}

// killInTurns has leaders killed one after the other, each back soon.
func (r *run) killInTurns(t trouble, later func(at time.Duration, do func())) {
	const turns = 4
	gap := 4*time.Second + time.Duration(t.share*float64(r.plan.pace.report))
	for k := 1; k < turns; k++ {
		at := t.at + time.Duration(k)*gap
		if at >= r.plan.length {
			return
		}
		later(at, func() {
			end := r.beginWithProcesses(trouble{kind: killOne, target: leader})
			later(at+time.Second, end)
		})
	}
}

// finish ends all troubles and sees to it that all that was accepted is served, nothing is
// left on machines, and the ledger is tidy.
func (r *run) finish() {
	close(r.stop)
	for _, n := range r.d.Controllers {
		r.resume(n)
	}
	<-r.calm
	r.calm <- time.Now()
	fake.Await(r.t, "all jobs over", 5*time.Minute, func() bool { return len(r.d.Checker.Open()) == 0 })
	if open := r.d.Checker.Open(); len(open) > 0 {
		r.t.Errorf("still open: %v", open)
	} else {
		r.d.Users.Wait()
		fake.Await(r.t, "all tasks gone", time.Minute, func() bool { on, _ := r.d.Checker.On(""); return on == 0 })
		fake.Await(r.t, "the ledger tidied up", time.Minute, func() bool { return r.d.Store.Count("fin/")+r.d.Store.Count("host/") == 0 })
	}
	for _, broken := range r.d.Checker.Broken() {
		r.t.Error(broken)
	}
	r.alarms()
	runs := r.d.Checker.Runs()
	r.t.Logf("seed %d: %d stays on machines, %d tasks completed, %d jobs, %d starts after a confirmed cancellation",
		r.plan.seed, len(runs), len(fake.Completions(runs)), r.d.Store.Count("job/"), r.d.Checker.LateStarts())
}

// alarms looks for what controllers must never log.
func (r *run) alarms() {
	for _, n := range r.d.Controllers {
		for _, line := range strings.Split(n.Log(), "\n") {
			if strings.Contains(line, scheduler.MessageCancelledTaskOverdue) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
				r.t.Errorf("%s: %s", n.Platform.Node, line)
			}
		}
	}
}

// keep keeps all that tells of a failed run: logs, schedule and ledger.
func (r *run) keep() {
	dir := fake.KeepLogs(r.t, r.d.Controllers)
	ledger, err := json.MarshalIndent(r.d.Store.Entries(), "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "ledger.json"), ledger, 0o600)
	}
	if err == nil {
		text := fmt.Sprintf("%+v\n%s\n%s\n", r.plan, r.schedule, strings.Join(r.d.Checker.Broken(), "\n"))
		err = os.WriteFile(filepath.Join(dir, "schedule.txt"), []byte(text), 0o600)
	}
	if err != nil {
		r.t.Error(err)
	}
}

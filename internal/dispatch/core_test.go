package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// stage drives a core by hand: a fake clock, and effects kept until looked at.
type stage struct {
	t        tester
	c        *Core
	now      time.Duration
	seq      map[string]uint64
	start    []Direct     // commands not yet settled
	answered []wire.Order // in answers to reports, since the last settle
	out      []Effect
	others   []Effect // those that have no place above, from the beginning
	// held, while set, keeps ledger writes from becoming durable.
	held    bool
	pending []ledger.Tag
	hires   []wire.Hire
	deleted []string
	writes  map[string]ledger.Write // the last by key
	puts    int                     // writes so far
	specs   map[string]*wire.Job    // what was submitted
}

const testTerm = 7

// recipient stands for whoever waits for an answer.
type recipient string

// Deliver is not called: the stage looks at the effects.
func (recipient) Deliver(Effect) {}

// savedHosts and savedRanges are what the ledger holds of one job in one key.
func savedHosts(machines ...string) []ledger.SavedHosts {
	if len(machines) == 0 {
		return nil
	}
	return []ledger.SavedHosts{{Chunk: 0, Machines: machines}}
}

func savedRanges(firstAndLast ...int) []ledger.SavedRanges {
	return []ledger.SavedRanges{{Key: "fin/job-1/0", Ranges: firstAndLast}}
}

// tester is a test or a property that fails.
type tester interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

func newStage(t tester, s ledger.Snapshot, teams ...settings.Team) *stage {
	return newStageWith(t, settings.Defaults(), s, teams...)
}

func newStageWith(t tester, operator settings.Operator, s ledger.Snapshot, teams ...settings.Team) *stage {
	if len(teams) == 0 {
		teams = []settings.Team{{Name: "t"}}
	}
	return newStageAt(t, 0, testConfig(operator, teams...), s)
}

func testConfig(operator settings.Operator, teams ...settings.Team) Config {
	p := &settings.Platform{Facts: settings.Facts{Nodes: 3, Teams: teams,
		Workers: settings.Workers{ReportS: 3, LeaseS: 30, CancelS: 60}}}
	return Config{Term: testTerm, Platform: p, Operator: operator, ValueBytes: 16 << 10}
}

func newStageAt(t tester, now time.Duration, cfg Config, s ledger.Snapshot) *stage {
	g := &stage{now: now, t: t, seq: map[string]uint64{}, writes: map[string]ledger.Write{}, specs: map[string]*wire.Job{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g.c = NewCore(cfg, s, now, now.Milliseconds(), log)
	g.take(g.c.TakeStart())
	g.step(CloudBack{fleet.Result{Call: fleet.Call{Types: true}, Types: []wire.MachineType{
		{Name: "m4", CPUs: 4, MemGB: 16, CacheGB: 20, Price: 1, SpotPrice: 0.5, BootS: 40, Zones: []string{"a", "b"}}}}})
	return g
}

func (g *stage) step(e Event) {
	g.c.Step(e, g.now, g.now.Milliseconds())
	g.take(g.c.Settle())
}

func (g *stage) take(effects []Effect) {
	var tags []ledger.Tag
	for _, e := range effects {
		switch e := e.(type) {
		case Put:
			for _, w := range e.Writes {
				g.writes[w.Key] = w
				g.puts++
				if w.Tag != nil {
					tags = append(tags, w.Tag)
				}
			}
		case Direct:
			g.start = append(g.start, e)
		case CallCloud:
			if e.Call.Hire != nil {
				g.hires = append(g.hires, *e.Call.Hire)
			}
			g.deleted = append(g.deleted, e.Call.Delete...)
		case AnswerReport:
			g.out = append(g.out, e)
			if e.Answer != nil {
				g.answered = append(g.answered, e.Answer.Orders...)
			}
		default:
			g.out = append(g.out, e)
			g.others = append(g.others, e)
		}
	}
	if g.held {
		g.pending = append(g.pending, tags...)
	} else if len(tags) > 0 {
		g.step(NowDurable{tags})
	}
}

// release makes the held writes durable.
func (g *stage) release() {
	g.held = false
	tags := g.pending
	g.pending = nil
	g.step(NowDurable{tags})
}

// wait lets time pass, a tick at a time.
func (g *stage) wait(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 250 * time.Millisecond
		g.step(Tick{})
	}
}

func (g *stage) reportOf(name string, token uint64, tasks ...wire.TaskReport) *wire.Report {
	g.seq[name]++
	return &wire.Report{Machine: name, Address: "10.1.0.1:9000", Type: "m4", Zone: "a", Spot: true, Session: 1, Seq: g.seq[name], Token: token, Tasks: tasks}
}

// report sends a report and returns the answer.
func (g *stage) report(r *wire.Report) *wire.ReportAnswer {
	g.out = nil
	g.step(ReportIn{Report: r, To: recipient("w")})
	for _, e := range g.out {
		if a, ok := e.(AnswerReport); ok {
			return a.Answer
		}
	}
	g.t.Fatal("the report was not answered")
	return nil
}

const ours = testTerm << tokenBits

// up brings a machine up to where it may be used.
func (g *stage) up(name string) { g.report(g.reportOf(name, 0)); g.report(g.reportOf(name, ours)) }

// echo has a worker show that it has heard our latest token.
func (g *stage) echo(name string, tasks ...wire.TaskReport) *wire.ReportAnswer {
	m := g.c.machineNamed(name)
	r := g.reportOf(name, m.token, tasks...)
	r.Session = max(m.session, 1)
	return g.report(r)
}

func newTestJob(ref string, tasks int, cpus float64) *wire.Job {
	return &wire.Job{Ref: ref, Class: "c", Team: "t", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: cpus, MemGB: 1, Image: "i", Spot: true, EstimateS: 10}
}

func (g *stage) submit(j *wire.Job) {
	g.specs[j.Ref] = j
	g.step(JobSeen{Ref: j.Ref, Record: ledger.JobRecord{Job: j, AcceptedMS: g.now.Milliseconds()}, Version: 3})
}

// starts lists the starts in unsettled commands and in answers.
func (g *stage) starts() (orders []wire.Order) {
	for _, o := range g.answered {
		if o.Verb == wire.Start {
			orders = append(orders, o)
		}
	}
	for _, d := range g.start {
		for _, o := range d.Commands.Orders {
			if o.Verb == wire.Start {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// settle ends all commands that are on their way.
func (g *stage) settle(outcome DirectOutcome) {
	calls := g.start
	g.start, g.answered = nil, nil
	for _, d := range calls {
		g.step(DirectBack{Call: d.Call, Outcome: outcome})
	}
}

func taskIn(o wire.Order, status, why string) wire.TaskReport {
	return wire.TaskReport{Task: o.Task, Attempt: o.Attempt, Status: status, Why: why}
}

func verbs(a *wire.ReportAnswer) string {
	s := ""
	for _, o := range a.Orders {
		s += o.Verb + " "
	}
	return s
}

func (g *stage) want(what string, got, want any) {
	g.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		g.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// jobStatus asks for a job's state.
func (g *stage) jobStatus(ref string) string {
	g.out = nil
	g.step(StatusAsked{Ref: ref, To: recipient("u")})
	return g.out[0].(AnswerUser).Status.Status
}

func TestMachineIsUsedOnlyOnceItEchoesOurToken(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.submit(newTestJob("job-1", 1, 1))
	// Its token may be an earlier leader's, whose commands can still arrive.
	g.want("token told", g.report(g.reportOf("vm-1", 6<<tokenBits)).Token, uint64(ours))
	g.want("starts before the echo", len(g.starts()), 0)
	g.report(g.reportOf("vm-1", ours))
	g.want("starts after the echo", len(g.starts()), 1)
}

func TestHostIsDurableBeforeTheFirstStart(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.held = true
	g.submit(newTestJob("job-1", 2, 1))
	g.want("starts while the host is not durable", len(g.starts()), 0)
	g.release()
	g.want("starts once it is", len(g.starts()), 2)
}

func TestStartOfUnknownOutcome(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *stage, o wire.Order)
		again int // further starts
	}{
		{"stays booked while the token is not echoed", func(g *stage, o wire.Order) {
			g.report(g.reportOf("vm-1", ours))
		}, 0},
		{"is given up once a raised token is echoed without it", func(g *stage, o wire.Order) {
			g.report(g.reportOf("vm-1", ours+1))
		}, 1},
		{"stands when the echo shows it", func(g *stage, o wire.Order) {
			g.report(g.reportOf("vm-1", ours+1, taskIn(o, wire.TaskRunning, "")))
		}, 0},
		{"is given up with the session", func(g *stage, o wire.Order) {
			r := g.reportOf("vm-1", ours)
			r.Session = 2
			g.report(r)
			g.echo("vm-1")
		}, 1},
		{"is not given up for a silent machine within its lease", func(g *stage, o wire.Order) {
			g.up("vm-2")
			g.wait(6 * time.Second)
		}, 0},
		{"is given up when the machine is deleted", func(g *stage, o wire.Order) {
			g.up("vm-2")
			g.step(CloudBack{fleet.Result{Call: fleet.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"is kept when the deletion's outcome is unknown", func(g *stage, o wire.Order) {
			g.up("vm-2")
			g.step(CloudBack{fleet.Result{Call: fleet.Call{Delete: []string{"vm-1"}}, Err: fleet.ErrUnknown}})
		}, 0},
		{"is given up when the machine is listed as failed", func(g *stage, o wire.Order) {
			g.up("vm-2")
			g.step(CloudBack{fleet.Result{Call: fleet.Call{List: true}, List: []wire.ListedMachine{{Name: "vm-1", Type: "m4", Zone: "a", Status: wire.MachineFailed}}}})
		}, 1},
		{"absence from the list proves nothing", func(g *stage, o wire.Order) {
			g.up("vm-2")
			g.step(CloudBack{fleet.Result{Call: fleet.Call{List: true}}})
		}, 0},
		{"a stale report proves nothing", func(g *stage, o wire.Order) {
			r := g.reportOf("vm-1", ours+1)
			r.Seq = 1
			g.report(r)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, ledger.Snapshot{})
			g.up("vm-1")
			g.submit(newTestJob("job-1", 1, 1))
			first := g.starts()[0]
			g.settle(DirectUnknown)
			g.want("token", g.report(g.reportOf("vm-1", ours)).Token, uint64(ours+1))
			c.act(g, first)
			g.wait(shunFor + time.Second/2)
			again := g.starts()
			g.want("further starts", len(again), c.again)
			if len(again) > 0 && again[0].Attempt == first.Attempt {
				t.Error("an attempt was used again")
			}
		})
	}
}

func TestStartInAnAnswer(t *testing.T) {
	cases := []struct {
		name  string
		act   func(g *stage, o wire.Order)
		again int // further starts
	}{
		{"the answer to a direct command proves nothing: ours may be on its way", func(g *stage, o wire.Order) {
			g.step(CancelAsked{Ref: "job-9", To: recipient("u")})
			g.step(DirectBack{Call: g.start[0].Call, Outcome: DirectDone, Report: g.reportOf("vm-1", ours)})
		}, 0},
		{"a late copy of the report proves nothing", func(g *stage, o wire.Order) {
			r := g.reportOf("vm-1", ours)
			r.Seq = 1
			g.report(r)
		}, 0},
		{"the next report without it gives it up", func(g *stage, o wire.Order) {
			g.report(g.reportOf("vm-1", ours))
			g.want("starts before it shows that it hears us", len(g.starts()), 0)
			g.echo("vm-1")
		}, 1},
		{"the next report with it confirms it", func(g *stage, o wire.Order) {
			g.report(g.reportOf("vm-1", ours, taskIn(o, wire.TaskFetching, "")))
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, ledger.Snapshot{})
			g.up("vm-1")
			g.submit(newTestJob("job-9", 1, 3))
			nine := g.starts()[0]
			g.settle(DirectDone)
			g.submit(newTestJob("job-1", 8, 2)) // no room for it beside the other
			g.report(g.reportOf("vm-1", ours, taskIn(nine, wire.TaskRunning, "")))
			g.want("starts without room", len(g.starts()), 0)
			// The first job's host is on record, so its next start can go at once.
			g.report(g.reportOf("vm-1", ours, taskIn(nine, wire.TaskEnded, wire.WhyStopped)))
			g.want("starts in the answer", len(g.answered), 2) // a forget and the start
			o := g.starts()[0]
			g.answered = nil
			c.act(g, o)
			g.want("further starts", len(g.starts()), c.again)
		})
	}
}

func TestForget(t *testing.T) {
	cases := []struct {
		name    string
		outcome DirectOutcome
		token   uint64
		why     string
		durable bool
		want    int
	}{
		{"ends in the ledger", DirectDone, ours, wire.WhyDone, true, forgetAtOnce},
		{"ends not yet in the ledger", DirectDone, ours, wire.WhyDone, false, 0},
		{"while the starts may still be repeated", DirectUnknown, ours, wire.WhyDone, true, 0},
		{"once the raised token is echoed", DirectUnknown, ours + 1, wire.WhyDone, true, forgetAtOnce},
		{"failures", DirectDone, ours, wire.WhyError, true, forgetAtOnce},
		{"failures whose starts may still be repeated", DirectUnknown, ours, wire.WhyError, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, ledger.Snapshot{})
			g.up("vm-1")
			g.submit(newTestJob("job-1", forgetAtOnce+1, 0.25))
			var ended []wire.TaskReport
			for _, o := range g.starts()[:forgetAtOnce] {
				ended = append(ended, taskIn(o, wire.TaskEnded, c.why))
			}
			g.settle(c.outcome)
			g.held = !c.durable
			g.report(g.reportOf("vm-1", c.token, ended...))
			got := verbs(g.report(g.reportOf("vm-1", c.token, ended...)))
			g.want("forgotten", strings.Count(got, "forget"), c.want)
		})
	}
}

// TestForgetTravelsWithOtherOrders: a done task by itself is not worth the report
// that forgetting it brings, but goes along with a start.
func TestForgetTravelsWithOtherOrders(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.submit(newTestJob("job-1", 2, 1))
	orders := g.starts()
	g.settle(DirectDone)
	done, runs := taskIn(orders[0], wire.TaskEnded, wire.WhyDone), taskIn(orders[1], wire.TaskRunning, "")
	g.report(g.reportOf("vm-1", ours, done, runs))
	g.want("alone", verbs(g.report(g.reportOf("vm-1", ours, done, runs))), "")
	g.held = true // so that the start waits for the report
	g.submit(newTestJob("job-2", 1, 1))
	m := g.c.machineNamed("vm-1")
	g.c.sendPlanned(g.c.jobs[1], m)
	g.want("with a start", verbs(g.report(g.reportOf("vm-1", ours, done, runs))), "start forget ")
}

func TestTakeover(t *testing.T) {
	saved := func(hosts ...string) ledger.Snapshot {
		return ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Record: ledger.JobRecord{Job: newTestJob("job-1", 2, 1)},
			Hosts: savedHosts(hosts...), Finished: savedRanges(0, 0)}}}
	}
	old := wire.Order{Task: "job-1/1", Attempt: 6<<tokenBits | 1}
	gone := saved("vm-1")
	gone.Gone = []string{"vm-1"}
	cases := []struct {
		name   string
		ledger ledger.Snapshot
		act    func(g *stage)
		starts int
	}{
		{"a host that the ledger says is gone needs no waiting", gone, func(g *stage) {}, 1},
		{"what never had hosts is placed at once", saved(), func(g *stage) {}, 1},
		{"an unseen task waits for its host", saved("vm-1"), func(g *stage) {}, 0},
		{"a report without our token clears nothing", saved("vm-1"), func(g *stage) {
			g.report(g.reportOf("vm-1", 6<<tokenBits))
		}, 0},
		{"an echo without the task clears it", saved("vm-1"), func(g *stage) { g.up("vm-1") }, 1},
		{"an echo with the task adopts it", saved("vm-1"), func(g *stage) {
			g.report(g.reportOf("vm-1", ours, taskIn(old, wire.TaskRunning, "")))
		}, 0},
		{"every host must be cleared", saved("vm-1", "vm-2"), func(g *stage) { g.up("vm-1") }, 0},
		{"a deletion clears it", saved("vm-1"), func(g *stage) {
			g.step(CloudBack{fleet.Result{Call: fleet.Call{Delete: []string{"vm-1"}}}})
		}, 1},
		{"not before the lease must be over", saved("vm-1"), func(g *stage) {
			g.wait(30 * time.Second)
			g.up("vm-8")
		}, 0},
		{"the end of the lease clears it", saved("vm-1"), func(g *stage) {
			g.wait(30500 * time.Millisecond)
			g.up("vm-8")
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, c.ledger)
			g.up("vm-9")
			c.act(g)
			g.want("starts", len(g.starts()), c.starts)
			g.want("state", g.jobStatus("job-1") == wire.Done, false)
		})
	}
}

func TestCancelIsToldOnlyWhenDurableAndLateStartsAreStopped(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	o := g.starts()[0]
	g.settle(DirectUnknown)
	g.held, g.out = true, nil
	g.step(CancelAsked{Ref: "job-1", To: recipient("u")})
	g.want("answers before it is durable", len(g.out), 0)
	g.want("state before it is durable", g.jobStatus("job-1") == wire.Aborted, false)
	g.out = nil
	g.release()
	g.want("the answer", g.out[0].(AnswerUser).Status.Status, wire.Aborted)
	// The start command arrives late, after the cancellation.
	g.want("orders", verbs(g.report(g.reportOf("vm-1", ours, taskIn(o, wire.TaskRunning, "")))), "stop ")
	g.report(g.reportOf("vm-1", ours+1, taskIn(o, wire.TaskEnded, wire.WhyStopped)))
	g.want("state", g.jobStatus("job-1"), wire.Aborted)
	g.want("bookings left", g.c.jobs[0].booked, 0)
}

// TestCancelStopsTasksAtOnce: the write of a cancellation may be carried out and its
// answer lost. Other nodes then tell the user, while the leader, in an outage that
// begins at that moment, goes on answering workers and learns of it only minutes
// later. So the tasks are stopped when the cancellation is asked for.
func TestCancelStopsTasksAtOnce(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.submit(newTestJob("job-1", 2, 1))
	orders := g.starts()
	g.settle(DirectDone)
	g.held, g.out = true, nil
	g.step(CancelAsked{Ref: "job-1", To: recipient("u")})
	stops := ""
	for _, d := range g.start {
		for _, o := range d.Commands.Orders {
			stops += o.Verb + " "
		}
	}
	g.want("commands before it is durable", stops, "stop stop ")
	for _, e := range g.out {
		if a, ok := e.(AnswerUser); ok {
			t.Errorf("told %+v before it is durable", a)
		}
	}
	// A task that is found only now is not taken up either.
	g.up("vm-2")
	o := orders[0]
	o.Attempt++
	g.want("orders to another machine", verbs(g.report(g.reportOf("vm-2", ours, taskIn(o, wire.TaskRunning, "")))), "stop ")
}

// TestStopThatOvertakesItsStartIsRepeated: a cancellation comes while the start is on its
// way in another command, and the stop is carried out first, which the worker ignores. The
// task began after the cancellation was confirmed, and ran until the next report.
func TestStopThatOvertakesItsStartIsRepeated(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	start, o := g.start[0], g.starts()[0]
	g.start = nil
	g.step(CancelAsked{Ref: "job-1", To: recipient("u")})
	stop := g.start[0]
	g.start = nil
	g.step(DirectBack{Call: stop.Call, Outcome: DirectDone, Report: g.reportOf("vm-1", ours)})
	g.want("the stop again, as the start may have come since", len(g.start), 1)
	again := g.start[0]
	g.start = nil
	g.step(DirectBack{Call: again.Call, Outcome: DirectDone, Report: g.reportOf("vm-1", ours)})
	g.want("commands while the start is on its way for longer", len(g.start), 0)
	g.step(DirectBack{Call: start.Call, Outcome: DirectDone, Report: g.reportOf("vm-1", ours, taskIn(o, wire.TaskFetching, ""))})
	g.want("the stop once the start was carried out", len(g.start) == 1 && g.start[0].Commands.Orders[0].Verb == wire.Stop, true)
	g.step(DirectBack{Call: g.start[0].Call, Outcome: DirectDone, Report: g.reportOf("vm-1", ours, taskIn(o, wire.TaskEnded, wire.WhyStopped))})
	g.want("bookings left", g.c.jobs[0].booked, 0)
}

func TestCancelOfADoneJobSaysDone(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.up("vm-1")
	g.submit(newTestJob("job-1", 1, 1))
	o := g.starts()[0]
	g.settle(DirectDone)
	g.held = true
	g.report(g.reportOf("vm-1", ours, taskIn(o, wire.TaskEnded, wire.WhyDone)))
	g.want("told before it is durable", g.jobStatus("job-1") == wire.Done, false)
	// The state service may have the write while its answer is on its way, and
	// another node may have told a user: "queued" would go back on that.
	g.want("sent to the record while it is being written", g.out[0].(AnswerUser).Deciding, true)
	g.out = nil
	g.step(CancelAsked{Ref: "job-1", To: recipient("u")})
	g.release()
	g.want("the answer", g.out[0].(AnswerUser).Status.Status, wire.Done)
	g.want("told once it is durable", g.jobStatus("job-1"), wire.Done)
	g.want("without a look at the record", g.out[0].(AnswerUser).Deciding, false)
}

func TestReportOfANewerTermIsRefused(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	if a := g.report(g.reportOf("vm-1", (testTerm+1)<<tokenBits)); a != nil {
		t.Errorf("answered with %v", a)
	}
}

func TestLimits(t *testing.T) {
	unseen := ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-9", Record: ledger.JobRecord{Job: newTestJob("job-9", 1, 1)}, Hosts: savedHosts("vm-7")}}}
	cases := []struct {
		name   string
		saved  ledger.Snapshot
		team   settings.Team
		change func(j *wire.Job)
		starts int
	}{
		{"no limit", ledger.Snapshot{}, settings.Team{Name: "t"}, nil, 4},
		{"the team's limit", ledger.Snapshot{}, settings.Team{Name: "t", CPUsMax: 2}, nil, 2},
		{"tasks that an earlier leader may have started count", unseen, settings.Team{Name: "t", CPUsMax: 2}, nil, 1},
		{"a type that is not there", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Types = []string{"m8"} }, 0},
		{"another zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { z := "b"; j.Zone = &z }, 0},
		{"no spot machine", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spot = false }, 0},
		{"half of the tasks in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.Spread = true }, 2},
		{"all in one zone", ledger.Snapshot{}, settings.Team{Name: "t"}, func(j *wire.Job) { j.OneZone = true }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, c.saved, c.team)
			g.up("vm-1")
			j := newTestJob("job-1", 4, 1)
			if c.change != nil {
				c.change(j)
			}
			g.submit(j)
			g.want("starts", len(g.starts()), c.starts)
		})
	}
}

func TestHireOfAnEarlierLeaderIsRepeatedUnderItsName(t *testing.T) {
	g := newStage(t, ledger.Snapshot{Hires: []ledger.HireRecord{
		{Hire: wire.Hire{Request: "h6-1", Type: "m4", Zone: "a", Count: 2}},
		{Hire: wire.Hire{Request: "h6-2", Type: "m4", Zone: "a", Count: 1}, Machines: []string{"vm-3"}},
	}})
	if len(g.hires) != 1 || g.hires[0].Request != "h6-1" {
		t.Fatalf("repeated %v, want h6-1 only", g.hires)
	}
	g.step(CloudBack{fleet.Result{Call: fleet.Call{Hire: &g.hires[0]}, Machines: []string{"vm-1", "vm-2"}}})
	g.want("machines known", len(g.c.live), 3)
}

func TestHireIsDurableBeforeItIsSent(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	g.held = true
	g.submit(newTestJob("job-1", 1, 1))
	g.wait(2 * time.Second)
	g.want("hires before", len(g.hires), 0)
	g.release()
	g.want("hires after", len(g.hires) > 0, true)
	for _, h := range g.hires {
		if h.Request[:3] != fmt.Sprintf("h%d-", testTerm) {
			t.Errorf("the name %s does not embed the term", h.Request)
		}
	}
}

func TestANewLeaderLearnsTheDemandFromFinishedJobs(t *testing.T) {
	var s ledger.Snapshot
	for i := range 30 {
		s.Jobs = append(s.Jobs, ledger.SavedJob{Ref: fmt.Sprintf("job-%d", i), Record: ledger.JobRecord{
			AcceptedMS: int64(i-30) * 10000, Terminal: wire.Done, Tasks: 1, Done: 1, Class: "c", Cores: 8, RunS: 20}})
	}
	g := newStage(t, s)
	mean, _ := fleet.Demand(0, g.c.fleet.streams)
	if mean < 13 || mean > 16 {
		t.Errorf("mean demand %v cores, want about 16", mean)
	}
}

// TestNothingIsForgotten: whatever becomes of nodes and machines, an accepted
// job is known and is taken up again.
func TestNothingIsForgotten(t *testing.T) {
	rec := ledger.JobRecord{Job: newTestJob("job-1", 2, 1)}
	cases := []struct {
		name  string
		saved ledger.Snapshot
		act   func(g *stage)
	}{
		{"its node died right after the write, before this term", ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Record: rec}}}, func(g *stage) {}},
		{"accepted during the takeover: only the watch tells of it", ledger.Snapshot{}, func(g *stage) {
			g.step(JobSeen{Ref: "job-1", Record: rec, Version: 3})
		}},
		{"all its machines are gone", ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Record: rec, Hosts: savedHosts("vm-7", "vm-8")}}}, func(g *stage) {
			g.wait(31 * time.Second)
		}},
		{"its machines were deleted by an earlier leader", ledger.Snapshot{Gone: []string{"vm-7"}, Jobs: []ledger.SavedJob{{Ref: "job-1", Record: rec, Hosts: savedHosts("vm-7")}}}, func(g *stage) {}},
		{"told of twice", ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Record: rec}}}, func(g *stage) {
			g.step(JobSeen{Ref: "job-1", Record: rec, Version: 3})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newStage(t, c.saved)
			c.act(g)
			g.want("state", g.jobStatus("job-1"), wire.Queued)
			g.up("vm-1")
			g.want("starts", len(g.starts()), 2)
		})
	}
}

// TestCancelledJobWhoseRangesAreStillThere: the leader ended between writing a
// job's cancellation and deleting its ranges. The next one counted the finished
// tasks twice and ended on that, as did every one after it.
func TestCancelledJobWhoseRangesAreStillThere(t *testing.T) {
	rec := ledger.JobRecord{Job: newTestJob("job-1", 3, 1), Terminal: wire.Aborted, Tasks: 3, Done: 2}
	g := newStage(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{Ref: "job-1", Record: rec, Hosts: savedHosts("vm-1"), Finished: savedRanges(0, 1)}}})
	g.want("state", g.jobStatus("job-1"), wire.Aborted)
	g.up("vm-1")
	g.want("starts", len(g.starts()), 0)
	g.want("settled", g.c.jobs[0].settled, true)
}

// TestWritesOfAStepTravelTogether: a step that brings a job many machines and many
// ended tasks writes each of its keys once, with all of them, and every machine
// still gets its starts only when it is in the ledger.
func TestWritesOfAStepTravelTogether(t *testing.T) {
	g := newStage(t, ledger.Snapshot{})
	const machines = ledger.ChunkHosts + 50
	for i := range machines {
		g.up(fmt.Sprintf("vm-%03d", i))
	}
	g.held = true
	clear(g.writes)
	puts := g.puts
	g.submit(newTestJob("job-1", 4*machines, 1))
	g.want("writes for all machines", g.puts-puts, 2)
	g.want("hosts in the first", len(g.writes["host/job-1/0"].Value.([]string)), ledger.ChunkHosts)
	g.want("hosts in the second", len(g.writes["host/job-1/1"].Value.([]string)), 50)
	g.want("started before that is durable", len(g.starts()), 0)
	g.release()
	tasks := map[string][]wire.TaskReport{}
	for _, d := range g.start {
		for _, o := range d.Commands.Orders {
			tasks[d.Machine] = append(tasks[d.Machine], taskIn(o, wire.TaskEnded, wire.WhyDone))
		}
	}
	g.want("started then", len(g.starts()), 4*machines)
	g.settle(DirectDone)

	g.held = true
	puts = g.puts
	for _, name := range []string{"vm-001", "vm-002", "vm-003"} {
		g.c.Step(ReportIn{Report: g.reportOf(name, ours, tasks[name]...), To: recipient("w")}, g.now, g.now.Milliseconds())
	}
	g.take(g.c.Settle())
	g.want("writes for the ended tasks of three machines", g.puts-puts, 1)
	for _, o := range g.answered {
		g.want("ordered before that is durable", o.Verb, "nothing")
	}
	g.release()
	n := 0
	for _, k := range g.c.jobs[0].tasks {
		if k.state == taskDurable {
			n++
		}
	}
	g.want("durable", n, 12)
}

package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// harness drives a core by hand: a fake clock, and effects kept for inspection.
type harness struct {
	t                testingT
	core             *Core
	now              time.Duration
	sequences        map[string]uint64
	sentCommands     []SendCommands // commands without a result
	responseCommands []wire.Command // in responses to heartbeats, since the last call of completeCommands
	recentEffects    []Effect
	otherEffects     []Effect // those that have no place above, from the beginning
	// holdWrites, while set, keeps ledger writes from becoming durable.
	holdWrites      bool
	pendingTags     []ledger.Tag
	scaleOuts       []wire.ScaleOutRequest
	deletedMachines []string
	writesByKey     map[string]ledger.Write // the last by key
	writeCount      int                     // writes so far
	submittedJobs   map[string]*wire.Job    // what was submitted
}

const testTerm = 7

// testRecipient stands for whoever waits for a reply.
type testRecipient string

// Deliver is not called: the harness reads the effects.
func (testRecipient) Deliver(Effect) {}

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

// testingT is a test or a property that fails.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

func newHarness(t testingT, s ledger.Snapshot, teams ...settings.Team) *harness {
	return newHarnessWithSettings(t, settings.Defaults(), s, teams...)
}

func newHarnessWithSettings(t testingT, operator settings.Operator, s ledger.Snapshot, teams ...settings.Team) *harness {
	if len(teams) == 0 {
		teams = []settings.Team{{Name: "t"}}
	}
	return newHarnessWithConfig(t, 0, testConfig(operator, teams...), s)
}

func testConfig(operator settings.Operator, teams ...settings.Team) Config {
	p := &settings.Platform{Facts: settings.Facts{ControllerCount: 3, Teams: teams,
		Workers: settings.Workers{HeartbeatS: 3, LeaseS: 30, CancelS: 60}}}
	return Config{Term: testTerm, Platform: p, Operator: operator, MaxValueBytes: 16 << 10}
}

func newHarnessWithConfig(t testingT, now time.Duration, cfg Config, s ledger.Snapshot) *harness {
	g := &harness{now: now, t: t, sequences: map[string]uint64{}, writesByKey: map[string]ledger.Write{}, submittedJobs: map[string]*wire.Job{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g.core = NewCore(cfg, s, now, now.Milliseconds(), log)
	g.recordEffects(g.core.InitialEffects())
	g.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Types: true}, Types: []wire.MachineType{
		{Name: "m4", CPUs: 4, MemGB: 16, CacheGB: 20, Price: 1, SpotPrice: 0.5, BootS: 40, Zones: []string{"a", "b"}}}}})
	return g
}

func (g *harness) step(e Event) {
	g.core.Step(e, g.now, g.now.Milliseconds())
	g.recordEffects(g.core.Flush())
}

func (g *harness) recordEffects(effects []Effect) {
	var tags []ledger.Tag
	for _, e := range effects {
		switch e := e.(type) {
		case WriteLedger:
			for _, w := range e.Writes {
				g.writesByKey[w.Key] = w
				g.writeCount++
				if w.Tag != nil {
					tags = append(tags, w.Tag)
				}
			}
		case SendCommands:
			g.sentCommands = append(g.sentCommands, e)
		case CallCloud:
			if e.Call.ScaleOut != nil {
				g.scaleOuts = append(g.scaleOuts, *e.Call.ScaleOut)
			}
			g.deletedMachines = append(g.deletedMachines, e.Call.Delete...)
		case HeartbeatReply:
			g.recentEffects = append(g.recentEffects, e)
			if e.Response != nil {
				g.responseCommands = append(g.responseCommands, e.Response.Commands...)
			}
		default:
			g.recentEffects = append(g.recentEffects, e)
			g.otherEffects = append(g.otherEffects, e)
		}
	}
	if g.holdWrites {
		g.pendingTags = append(g.pendingTags, tags...)
	} else if len(tags) > 0 {
		g.step(WritesDurable{tags})
	}
}

// releaseWrites makes the held writes durable.
func (g *harness) releaseWrites() {
	g.holdWrites = false
	tags := g.pendingTags
	g.pendingTags = nil
	g.step(WritesDurable{tags})
}

// advance lets time pass, a tick at a time.
func (g *harness) advance(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 250 * time.Millisecond
		g.step(Tick{})
	}
}

func (g *harness) newHeartbeat(name string, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	g.sequences[name]++
	return &wire.Heartbeat{Machine: name, Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}, AgentEpoch: 1, Sequence: g.sequences[name], FencingToken: token, Tasks: tasks}
}

// sendHeartbeat sends a heartbeat and returns the response.
func (g *harness) sendHeartbeat(r *wire.Heartbeat) *wire.HeartbeatResponse {
	g.recentEffects = nil
	g.step(HeartbeatEvent{Heartbeat: r, ReplyTo: testRecipient("w")})
	for _, e := range g.recentEffects {
		if a, ok := e.(HeartbeatReply); ok {
			return a.Response
		}
	}
	g.t.Fatal("the report was not answered")
	return nil
}

const termToken = testTerm << termCounterBits

// bringUp brings a machine up until it is schedulable.
func (g *harness) bringUp(name string) {
	g.sendHeartbeat(g.newHeartbeat(name, 0))
	g.sendHeartbeat(g.newHeartbeat(name, termToken))
}

// acknowledge has an agent show that it has received our latest token.
func (g *harness) acknowledge(name string, tasks ...wire.TaskStatus) *wire.HeartbeatResponse {
	m := g.core.findOrAddMachine(name)
	r := g.newHeartbeat(name, m.agent.FencingToken(), tasks...)
	r.AgentEpoch = max(m.agent.Epoch(), 1)
	return g.sendHeartbeat(r)
}

func newTestJob(jobID string, tasks int, cpus float64) *wire.Job {
	return &wire.Job{ID: jobID, Class: "c", Team: "t", Kind: "batch", Priority: "standard", Tasks: tasks, CPUs: cpus, MemGB: 1, Image: "i", Spot: true, EstimatedRunS: 10}
}

func (g *harness) submit(j *wire.Job) {
	g.submittedJobs[j.ID] = j
	g.step(JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: g.now.Milliseconds()}, Version: 3})
}

// startCommands lists the starts in commands without a result and in responses.
func (g *harness) startCommands() (orders []wire.Command) {
	for _, o := range g.responseCommands {
		if o.Verb == wire.VerbStart {
			orders = append(orders, o)
		}
	}
	for _, d := range g.sentCommands {
		for _, o := range d.Request.Commands {
			if o.Verb == wire.VerbStart {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// completeCommands ends all commands that are on their way.
func (g *harness) completeCommands(outcome CommandOutcome) {
	calls := g.sentCommands
	g.sentCommands, g.responseCommands = nil, nil
	for _, d := range calls {
		g.step(CommandResult{CommandID: d.CommandID, Outcome: outcome})
	}
}

func newTaskStatus(o wire.Command, status, why string) wire.TaskStatus {
	return wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: status, ExitReason: why}
}

func commandVerbs(a *wire.HeartbeatResponse) string {
	s := ""
	for _, o := range a.Commands {
		s += o.Verb + " "
	}
	return s
}

func (g *harness) want(what string, got, want any) {
	g.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		g.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// jobStatus asks for a job's state.
func (g *harness) jobStatus(jobID string) string {
	g.recentEffects = nil
	g.step(StatusRequest{JobID: jobID, ReplyTo: testRecipient("u")})
	return g.recentEffects[0].(UserReply).Status.Status
}

package scheduler

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// simulation is a whole deployment on a fake clock, around a core: machines that execute
// commands and send heartbeats, and users whose jobs keep them busy.
type simulation struct {
	c        *Core
	now      time.Duration
	machines []*simulatedMachine
	at       map[string]*simulatedMachine
	jobs     int
	backlog  []Event // events that follow at once
	counts   map[string]int
}

type simulatedMachine struct {
	report wire.Heartbeat
	ends   map[uint64]time.Duration
	next   time.Duration // its next heartbeat
}

// Deliver is not called: the simulation reads the effects.
func (m *simulatedMachine) Deliver(Effect) {}

func newSimulation(machines int) *simulation {
	p := &settings.Platform{Facts: settings.Facts{ControllerCount: 3, Teams: []settings.Team{{Name: "t"}},
		Workers: settings.Workers{HeartbeatS: 8, LeaseS: 36, CancelS: 56}, Objectives: []settings.Objective{{Kind: "wait", Class: "small", WithinS: 4}}}}
	s := &simulation{at: map[string]*simulatedMachine{}, counts: map[string]int{}}
	s.c = NewCore(Config{Term: testTerm, Platform: p, Operator: settings.Defaults()}, ledger.Snapshot{}, 0, 0, slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})))
	s.take(s.c.InitialEffects())
	var types []wire.MachineType
	for i, cpus := range []float64{4, 8, 32} {
		types = append(types, wire.MachineType{Name: fmt.Sprintf("m%d", i), CPUs: cpus, MemGB: 4 * cpus, CacheGB: 50, FetchGBPerS: 0.5, Price: cpus, SpotPrice: cpus / 2, BootS: 40, Zones: []string{"a", "b", "c"}})
	}
	s.step(CloudResult{autoscaler.Result{Call: autoscaler.Call{Types: true}, Types: types}})
	for i := range machines {
		typ := 0
		if i%20 >= 11 {
			typ = 1 + i%20/19
		}
		m := &simulatedMachine{ends: map[uint64]time.Duration{}, next: time.Duration(i) * 8 * time.Second / time.Duration(machines)}
		m.report = wire.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: types[typ].Name, Zone: types[typ].Zones[i%3], Spot: i%4 > 0}, AgentEpoch: 1}
		s.machines = append(s.machines, m)
		s.at[m.report.Machine] = m
	}
	return s
}

func (s *simulation) step(e Event) {
	s.c.Step(e, s.now, s.now.Milliseconds())
	s.settle()
}

func (s *simulation) settle() { s.take(s.c.Flush()) }

func (s *simulation) take(effects []Effect) {
	var tags []ledger.Tag
	for _, e := range effects {
		s.counts[fmt.Sprintf("%T", e)]++
		switch e := e.(type) {
		case WriteLedger:
			for _, w := range e.Writes {
				s.counts["writes"]++
				if w.Value != nil {
					if _, err := json.Marshal(w.Value); err != nil {
						panic(err)
					}
				}
				if w.Tag != nil {
					tags = append(tags, w.Tag)
				}
			}
		case SendCommands:
			m := s.at[e.Machine]
			m.obey(s.now, e.Request.FencingToken, e.Request.Commands)
			r := m.say()
			s.backlog = append(s.backlog, CommandResult{CommandID: e.CommandID, Outcome: CommandExecuted, Heartbeat: &r})
		case HeartbeatReply:
			if e.Response != nil {
				e.ReplyTo.(*simulatedMachine).obey(s.now, e.Response.FencingToken, e.Response.Commands)
			}
		case CallCloud:
			if e.Call.List {
				s.backlog = append(s.backlog, CloudResult{autoscaler.Result{Call: e.Call}})
			}
		}
	}
	if len(tags) > 0 {
		s.backlog = append(s.backlog, WritesDurable{tags})
	}
}

func (m *simulatedMachine) say() wire.Heartbeat {
	m.report.Sequence++
	r := m.report
	r.Tasks = append([]wire.TaskStatus(nil), r.Tasks...)
	return r
}

func (m *simulatedMachine) obey(now time.Duration, token uint64, orders []wire.Command) {
	if token > m.report.FencingToken {
		m.report.FencingToken = token
		m.next = min(m.next, now+500*time.Millisecond)
	}
	for _, o := range orders {
		switch o.Verb {
		case wire.VerbStart:
			m.report.Tasks = append(m.report.Tasks, wire.TaskStatus{Task: o.Task, Attempt: o.Attempt, Status: wire.TaskRunning})
			m.ends[o.Attempt] = now + 10*time.Second + time.Duration(o.Attempt%7)*time.Second
		case wire.VerbForget:
			for i := range m.report.Tasks {
				if m.report.Tasks[i].Attempt == o.Attempt {
					m.report.Tasks = append(m.report.Tasks[:i], m.report.Tasks[i+1:]...)
					break
				}
			}
		}
		m.next = min(m.next, now+500*time.Millisecond)
	}
}

// run plays a time in steps of 50 ms, with so many tasks submitted a second.
func (s *simulation) run(d time.Duration, tasks int) {
	const step = 50 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += step {
		for s.jobs*120 < int(s.now.Seconds()*float64(tasks)) {
			s.jobs++
			due := 50.0
			j := &wire.Job{ID: fmt.Sprintf("job-%06d", s.jobs), Class: "small", Team: "t", Kind: "batch", Priority: "high", Tasks: 120, CPUs: 1, MemGB: 3,
				Image: fmt.Sprintf("i%d", s.jobs%20), ImageGB: 1, Spot: true, EstimatedRunS: 15, DeadlineS: &due}
			if s.jobs%10 == 0 {
				j.Class, j.CPUs, j.MemGB, j.Priority, j.Tasks = "large", 8, 15, "standard", 60
			}
			s.c.Step(JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: s.now.Milliseconds()}, Version: 3}, s.now, s.now.Milliseconds())
		}
		for _, m := range s.machines {
			for i := range m.report.Tasks {
				t := &m.report.Tasks[i]
				if t.Status == wire.TaskRunning && m.ends[t.Attempt] <= s.now {
					t.Status, t.ExitReason = wire.TaskEnded, wire.ExitDone
					m.next = min(m.next, s.now+300*time.Millisecond)
				}
			}
			if m.next <= s.now {
				m.next = s.now + 8*time.Second
				r := m.say()
				s.counts["reports"]++
				s.c.Step(HeartbeatEvent{Heartbeat: &r, ReplyTo: m}, s.now, s.now.Milliseconds())
			}
		}
		if s.now%(250*time.Millisecond) == 0 {
			s.c.Step(Tick{}, s.now, s.now.Milliseconds())
		}
		s.settle()
		for rounds := 0; len(s.backlog) > 0 && rounds < 20; rounds++ {
			events := s.backlog
			s.backlog = nil
			for _, e := range events {
				s.c.Step(e, s.now, s.now.Milliseconds())
			}
			s.settle()
		}
	}
}

// BenchmarkBusySecond is what the core does in a second of a large deployment in
// a burst: 1,400 machines, a few hundred tasks begun and ended.
func BenchmarkBusySecond(b *testing.B) {
	s := newSimulation(1400)
	s.run(40*time.Second, 300)
	clear(s.counts)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.run(time.Second, 300)
	}
	b.StopTimer()
	for _, k := range []string{"reports", "dispatch.Direct", "writes"} {
		b.ReportMetric(float64(s.counts[k])/float64(b.N), k+"/s")
	}
	b.ReportMetric(float64(s.c.attempts.count), "starts")
}

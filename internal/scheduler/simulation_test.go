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

// simulation simulates a deployment around a core, on a fake clock: machines that execute commands and
// send heartbeats, and users whose jobs keep the machines busy.
type simulation struct {
	core           *Core
	now            time.Duration
	machines       []*simulatedMachine
	machinesByName map[string]*simulatedMachine
	jobs           int            // number of jobs submitted so far
	pendingEvents  []Event        // events to process before time advances
	counts         map[string]int // numbers of effects by type, of "writes" and of "reports" (heartbeats)
}

// simulatedMachine is a machine and its agent.
type simulatedMachine struct {
	heartbeat       wire.Heartbeat           // the latest heartbeat
	taskEndTimes    map[uint64]time.Duration // by attempt
	nextHeartbeatAt time.Duration
}

// Deliver does nothing: the simulation reads the effects instead.
func (m *simulatedMachine) Deliver(Effect) {}

// newSimulation returns a simulation with the given number of machines, of three types in three zones.
func newSimulation(machines int) *simulation {
	platform := &settings.Platform{Facts: settings.Facts{ControllerCount: 3, Teams: []settings.Team{{Name: "t"}},
		AgentTiming: settings.AgentTiming{HeartbeatS: 8, LeaseS: 36, CancelS: 56}, Objectives: []settings.Objective{{Kind: "wait", Class: "small", WithinS: 4}}}}
	s := &simulation{machinesByName: map[string]*simulatedMachine{}, counts: map[string]int{}}
	s.core = NewCore(Config{Term: testTerm, Platform: platform, Operator: settings.Defaults()}, ledger.Snapshot{}, 0, 0, slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError})))
	s.handleEffects(s.core.InitialEffects())
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
		m := &simulatedMachine{taskEndTimes: map[uint64]time.Duration{}, nextHeartbeatAt: time.Duration(i) * 8 * time.Second / time.Duration(machines)}
		m.heartbeat = wire.Heartbeat{Machine: fmt.Sprintf("vm-%06d", i), Address: "10.1.0.1:9000", CapacityPool: wire.CapacityPool{Type: types[typ].Name, Zone: types[typ].Zones[i%3], Spot: i%4 > 0}, AgentEpoch: 1}
		s.machines = append(s.machines, m)
		s.machinesByName[m.heartbeat.Machine] = m
	}
	return s
}

// step applies one event and handles the effects.
func (s *simulation) step(e Event) {
	s.core.Step(e, s.now, s.now.Milliseconds())
	s.flush()
}

// flush ends a step of the core and handles the effects.
func (s *simulation) flush() { s.handleEffects(s.core.Flush()) }

// handleEffects carries out effects. Results of commands, writes and cloud calls become pending events.
func (s *simulation) handleEffects(effects []Effect) {
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
			m := s.machinesByName[e.Machine]
			m.executeCommands(s.now, e.Request.FencingToken, e.Request.Commands)
			heartbeat := m.newHeartbeat()
			s.pendingEvents = append(s.pendingEvents, CommandResult{CommandID: e.CommandID, Outcome: CommandExecuted, Heartbeat: &heartbeat})
		case HeartbeatReply:
			if e.Response != nil {
				e.ReplyTo.(*simulatedMachine).executeCommands(s.now, e.Response.FencingToken, e.Response.Commands)
			}
		case CallCloud:
			if e.Call.List {
				s.pendingEvents = append(s.pendingEvents, CloudResult{autoscaler.Result{Call: e.Call}})
			}
		}
	}
	if len(tags) > 0 {
		s.pendingEvents = append(s.pendingEvents, WritesDurable{tags})
	}
}

// newHeartbeat returns the machine's next heartbeat.
func (m *simulatedMachine) newHeartbeat() wire.Heartbeat {
	m.heartbeat.Sequence++
	heartbeat := m.heartbeat
	heartbeat.Tasks = append([]wire.TaskStatus(nil), heartbeat.Tasks...)
	return heartbeat
}

// executeCommands executes commands. Like an agent, the machine sends a heartbeat soon after commands or
// a higher fencing token.
func (m *simulatedMachine) executeCommands(now time.Duration, token uint64, commands []wire.Command) {
	if token > m.heartbeat.FencingToken {
		m.heartbeat.FencingToken = token
		m.nextHeartbeatAt = min(m.nextHeartbeatAt, now+500*time.Millisecond)
	}
	for _, command := range commands {
		switch command.Verb {
		case wire.VerbStart:
			if command.Task == wakeTaskName {
				m.heartbeat.Tasks = append(m.heartbeat.Tasks, newTaskStatus(command, wire.TaskEnded, wire.ExitNoSuchTask))
				break
			}
			m.heartbeat.Tasks = append(m.heartbeat.Tasks, wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, Status: wire.TaskRunning})
			m.taskEndTimes[command.Attempt] = now + 10*time.Second + time.Duration(command.Attempt%7)*time.Second
		case wire.VerbForget:
			for i := range m.heartbeat.Tasks {
				if m.heartbeat.Tasks[i].Attempt == command.Attempt {
					m.heartbeat.Tasks = append(m.heartbeat.Tasks[:i], m.heartbeat.Tasks[i+1:]...)
					break
				}
			}
		}
		m.nextHeartbeatAt = min(m.nextHeartbeatAt, now+500*time.Millisecond)
	}
}

// run simulates the time d in steps of 50 ms, with the given number of tasks submitted per second.
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
			s.core.Step(JobRecordEvent{JobID: j.ID, Record: ledger.JobRecord{Job: j, AcceptedMS: s.now.Milliseconds()}, Version: 3}, s.now, s.now.Milliseconds())
		}
		for _, m := range s.machines {
			for i := range m.heartbeat.Tasks {
				t := &m.heartbeat.Tasks[i]
				if t.Status == wire.TaskRunning && m.taskEndTimes[t.Attempt] <= s.now {
					t.Status, t.ExitReason = wire.TaskEnded, wire.ExitDone
					m.nextHeartbeatAt = min(m.nextHeartbeatAt, s.now+300*time.Millisecond)
				}
			}
			if m.nextHeartbeatAt <= s.now {
				m.nextHeartbeatAt = s.now + 8*time.Second
				heartbeat := m.newHeartbeat()
				s.counts["reports"]++
				s.core.Step(HeartbeatEvent{Heartbeat: &heartbeat, ReplyTo: m}, s.now, s.now.Milliseconds())
			}
		}
		if s.now%(250*time.Millisecond) == 0 {
			s.core.Step(Tick{}, s.now, s.now.Milliseconds())
		}
		s.flush()
		for rounds := 0; len(s.pendingEvents) > 0 && rounds < 20; rounds++ {
			events := s.pendingEvents
			s.pendingEvents = nil
			for _, e := range events {
				s.core.Step(e, s.now, s.now.Milliseconds())
			}
			s.flush()
		}
	}
}

// BenchmarkBusySecond measures one second of the core in a large deployment under load: 1,400 machines,
// and a few hundred tasks started and ended per second.
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
	for _, key := range []string{"reports", fmt.Sprintf("%T", SendCommands{}), "writes"} {
		if s.counts[key] == 0 {
			b.Errorf("no %s were counted, want some", key)
		}
		b.ReportMetric(float64(s.counts[key])/float64(b.N), key+"/s")
	}
	b.ReportMetric(float64(s.core.attempts.count), "starts")
}

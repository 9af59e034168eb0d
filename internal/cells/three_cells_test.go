//go:build cells

package cells

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// This file tests three cells: controllers in processes of their own, on the loopback interface,
// with fakes of the external systems in the test's process. docs/operations-federation.md has the
// command that runs it.

var summaryFile = flag.String("ledger", "", "file to which the summary of all jobs is written")

const (
	repositoryRoot     = "../.."
	controllersPerCell = 3
	taskRunTime        = 4 * time.Second
	floodJobs          = 120
	floodInterval      = 500 * time.Millisecond
	cancelDeadline     = 20 * time.Second
)

// cell is one cell: its controllers and fakes of the external systems that they use.
type cell struct {
	t         *testing.T
	name      string
	store     *fake.KVStore
	cloud     *fake.Cloud
	users     *fake.Users
	processes []*fake.Process
	// relays carry the connections from other cells to each controller.
	relays       []*fake.Relay
	settingsFile string
	traceFile    string
}

// newCell starts the fakes of a cell's external systems and prepares its controllers, without
// starting them. machines is the maximum number of machines that its cloud rents out.
func newCell(t *testing.T, name string, machines int, checker *fake.Checker) *cell {
	t.Helper()
	network := transport.TCP{}
	c := &cell{t: t, name: name, store: fake.NewKVStore(t, network, "127.0.0.1:0", nil)}
	publicAddresses, peerAddresses := fake.ReserveAddresses(t, controllersPerCell), fake.ReserveAddresses(t, controllersPerCell)
	var agentControllers []fake.ControllerAddress
	for i, addr := range publicAddresses {
		agentControllers = append(agentControllers, fake.ControllerAddress{Name: c.controllerName(i), Addr: addr})
	}
	c.users = fake.NewUsers(t, network, publicAddresses, checker, 1)
	zones := []string{"x", "y", "z"}
	c.cloud = fake.NewCloud(t, network, "127.0.0.1:0", fake.CloudConfig{NamePrefix: name + "-vm-",
		Types:    []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: zones}},
		BootTime: time.Second, ListLag: 2 * time.Second, MaxMachines: machines,
		Agent: fake.AgentConfig{Controllers: agentControllers, HeartbeatInterval: time.Second, Lease: 8 * time.Second, ImageFetchTime: 200 * time.Millisecond,
			RunTime: func(string) time.Duration { return taskRunTime }, Checker: checker},
		NewHost: func(string) (transport.Network, string) { return network, "127.0.0.1:0" },
	})
	facts := settings.Facts{ControllerCount: controllersPerCell, Zones: zones, ClockErrorMS: 5, Teams: []settings.Team{{Name: "open"}},
		AgentTiming: settings.AgentTiming{HeartbeatS: 1, LeaseS: 8, CancelS: cancelDeadline.Seconds()},
		Store:       settings.StoreLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32},
		Cloud:       settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
	dir := t.TempDir()
	c.settingsFile, c.traceFile = filepath.Join(dir, "cells.ini"), filepath.Join(dir, "trace")
	for i := range controllersPerCell {
		c.relays = append(c.relays, fake.NewRelay(t, peerAddresses[i]))
		platform := settings.Platform{Name: c.controllerName(i), Zone: zones[i], PublicAddr: publicAddresses[i], PeerAddr: peerAddresses[i], Facts: facts,
			Services: settings.Services{Store: c.store.Addr(), Cloud: c.cloud.Addr()}}
		for other := range controllersPerCell {
			if other != i {
				platform.Peers = append(platform.Peers, settings.Peer{Name: c.controllerName(other), Zone: zones[other], Addr: peerAddresses[other]})
			}
		}
		c.processes = append(c.processes, fake.NewProcess(t, dir, platform, "--settings", c.settingsFile))
	}
	return c
}

func (c *cell) controllerName(i int) string { return fmt.Sprintf("%s-n%d", c.name, i) }

// writeSettings writes the operators' settings of a cell. The first neighbour is preferred most.
func (c *cell) writeSettings(machines int, neighbours ...*cell) {
	c.t.Helper()
	text := fmt.Sprintf("[fleet]\nmax_machines = %d\n[cell]\nname = %s\nspill = yes\nshortage_s = 3\nmax_wait_s = 5\ntrace_file = %s\n", machines, c.name, c.traceFile)
	for preference, neighbour := range neighbours {
		var addresses []string
		for _, r := range neighbour.relays {
			addresses = append(addresses, r.Addr())
		}
		text += fmt.Sprintf("[neighbour.%s]\ncontrollers = %s\npreference = %d\nmax_cores = 64\nlend_cores = 64\n", neighbour.name, strings.Join(addresses, ", "), preference)
	}
	if err := os.WriteFile(c.settingsFile, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// restartLeader kills the leader's process and starts it again after 2 s.
func (c *cell) restartLeader(program string) {
	leader := fake.Leader(c.store, c.processes)
	if leader < 0 {
		c.t.Errorf("cell %s has no leader", c.name)
		return
	}
	c.processes[leader].Kill()
	time.Sleep(2 * time.Second)
	c.processes[leader].Start(program)
}

// restartAll kills all controllers before it starts them again.
func (c *cell) restartAll(program string) {
	for _, p := range c.processes {
		p.Kill()
	}
	for _, p := range c.processes {
		p.Start(program)
	}
}

// dropMessages makes the relays drop everything that is sent in one direction on the connections
// from other cells.
func (c *cell) dropMessages(direction fake.Direction) {
	for _, r := range c.relays {
		r.SetDropping(direction, true)
	}
}

// restoreMessages ends dropMessages. It closes the connections, whose streams are incomplete.
func (c *cell) restoreMessages(direction fake.Direction) {
	for _, r := range c.relays {
		r.SetDropping(direction, false)
		r.CloseConnections()
	}
}

// jobSummary summarizes what happened to one job.
type jobSummary struct {
	id             string
	cells          []string // cells whose machines ran tasks of the job
	transfers      []string // neighbour, epoch and state of each change of a transfer record
	attempts       int      // runs of the job's tasks on machines
	terminalStates []string // terminal states that the origin wrote to the job record
}

// summarizeJobs summarizes all jobs from the histories of the cells' stores and from the task runs
// that the checker recorded.
func summarizeJobs(checker *fake.Checker, origin *cell, neighbours ...*cell) []*jobSummary {
	byID := map[string]*jobSummary{}
	summaryOf := func(id string) *jobSummary {
		if byID[id] == nil {
			byID[id] = &jobSummary{id: id}
		}
		return byID[id]
	}
	for _, change := range origin.store.History() {
		id, ok := strings.CutPrefix(change.Set, ledger.JobPrefix)
		if !ok {
			continue
		}
		job := summaryOf(id)
		if record, err := ledger.DecodeJobRecord(id, change.Value); err == nil && record.TerminalState != "" {
			job.terminalStates = append(job.terminalStates, record.TerminalState)
		}
	}
	for _, neighbour := range neighbours {
		for _, change := range neighbour.store.History() {
			id, ok := strings.CutPrefix(change.Set, "cell/guest/"+origin.name+"/")
			var record federation.ForeignRecord
			if ok && json.Unmarshal(change.Value, &record) == nil {
				job := summaryOf(id)
				job.transfers = append(job.transfers, fmt.Sprintf("%s/%d %s", neighbour.name, record.Epoch, record.State))
			}
		}
	}
	for _, run := range checker.TaskRuns() {
		job := summaryOf(wire.JobIDOfTask(run.Task))
		job.attempts++
		if name, _, _ := strings.Cut(run.Machine, "-vm-"); !slices.Contains(job.cells, name) {
			job.cells = append(job.cells, name)
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b *jobSummary) int { return strings.Compare(a.id, b.id) })
}

// writeSummary writes a table of the jobs to the file of the -ledger flag, if it is set.
func writeSummary(t *testing.T, jobs []*jobSummary) {
	t.Helper()
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tCELLS\tATTEMPTS\tFINAL ANSWERS\tTRANSFERS")
	for _, job := range jobs {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", job.id, strings.Join(job.cells, " "), job.attempts, strings.Join(job.terminalStates, " "), strings.Join(job.transfers, ", "))
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if *summaryFile != "" {
		if err := os.WriteFile(*summaryFile, text.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// fault is a fault that is injected at a given time after the start of the test.
type fault struct {
	name   string
	after  time.Duration
	inject func()
}

// TestThreeCells submits more jobs to one cell than it has capacity for, while controllers are
// killed and messages between cells are lost. Each job must get exactly one terminal state, and its
// tasks must run in at most one cell: a lost message or a new leader must not run a job twice.
func TestThreeCells(t *testing.T) {
	program := fake.BuildController(t, repositoryRoot)
	checker := fake.NewChecker(t, fake.Limits{CancelDeadline: cancelDeadline, MaxWaiting: 90 * time.Second, MaxUnanswered: 75 * time.Second})
	a, b, c := newCell(t, "a", 2, checker), newCell(t, "b", 12, checker), newCell(t, "c", 12, checker)
	a.writeSettings(2, b, c)
	b.writeSettings(12, a, c)
	c.writeSettings(12, a, b)
	startCells(t, program, a, b, c)
	faults := []fault{
		{"a's leader is killed", 12 * time.Second, func() { a.restartLeader(program) }},
		{"messages from a to b are lost", 20 * time.Second, func() { b.dropMessages(fake.ToServer) }},
		{"messages from a to b are no longer lost", 30 * time.Second, func() { b.restoreMessages(fake.ToServer) }},
		{"b's leader is killed", 33 * time.Second, func() { b.restartLeader(program) }},
		{"answers from c are lost", 38 * time.Second, func() { c.dropMessages(fake.ToClient) }},
		{"answers from c are no longer lost", 48 * time.Second, func() { c.restoreMessages(fake.ToClient) }},
		{"all controllers of a are killed", 52 * time.Second, func() { a.restartAll(program) }},
	}
	start := time.Now()
	a.users.Go(func() {
		for _, f := range faults {
			time.Sleep(time.Until(start.Add(f.after)))
			t.Logf("+%.0fs: %s", time.Since(start).Seconds(), f.name)
			f.inject()
		}
	})
	flood(a)
	fake.WaitFor(t, "all jobs reach a terminal state", 4*time.Minute, func() bool { return len(checker.OpenJobs()) == 0 })
	a.users.Wait()
	fake.WaitFor(t, "the origin closes all transfers", 30*time.Second, func() bool { return a.store.Count("cell/away/") == 0 })
	jobs := summarizeJobs(checker, a, b, c)
	writeSummary(t, jobs)
	checkSummaries(t, jobs)
	for _, violation := range checker.Violations() {
		t.Error(violation)
	}
	t.Logf("%.0f s", time.Since(start).Seconds())
	checkTraceCommand(t, program, a, b, c)
	if list, err := FetchTransferList(context.Background(), transport.TCP{}, &a.processes[0].Platform); err != nil || list.Cell != "a" {
		t.Errorf("list of transfers: %v, %v; want that of cell a", list, err)
	}
	if t.Failed() {
		fake.KeepLogs(t, slices.Concat(a.processes, b.processes, c.processes))
	}
}

// startCells starts all controllers and waits until each cell has a leader.
func startCells(t *testing.T, program string, cells ...*cell) {
	t.Helper()
	for _, c := range cells {
		for _, p := range c.processes {
			p.Start(program)
		}
		fake.WaitFor(t, "a leader of cell "+c.name, 20*time.Second, func() bool { return fake.Leader(c.store, c.processes) >= 0 })
	}
	time.Sleep(6 * time.Second) // until all controllers have announced their capabilities
}

// flood submits jobs faster than the cell can run them, and cancels every twentieth.
func flood(c *cell) {
	for number := range floodJobs {
		job := fake.NewJob(fmt.Sprintf("job-%06d", number), 4, func(job *wire.Job) { job.CPUs, job.EstimatedRunS = 2, taskRunTime.Seconds() })
		c.users.Submit(job)
		if number%20 == 19 {
			c.users.Cancel(job)
		}
		time.Sleep(floodInterval)
	}
}

// checkSummaries checks that each job has one terminal state and ran in at most one cell, and that
// some jobs were delegated.
func checkSummaries(t *testing.T, jobs []*jobSummary) {
	t.Helper()
	delegated, restarted := 0, 0
	for _, job := range jobs {
		if len(job.terminalStates) != 1 {
			t.Errorf("%s has the terminal states %v, want one", job.id, job.terminalStates)
		}
		if len(job.cells) > 1 {
			t.Errorf("%s ran in the cells %v, want at most one", job.id, job.cells)
		}
		if len(job.cells) == 1 && job.cells[0] != "a" {
			delegated++
		}
		if job.attempts > 4 {
			restarted++
		}
	}
	t.Logf("%d jobs, %d of them delegated, %d with more than four attempts", len(jobs), delegated, restarted)
	if len(jobs) != floodJobs || delegated == 0 {
		t.Errorf("%d jobs, want %d; %d delegated, want some", len(jobs), floodJobs, delegated)
	}
}

// checkTraceCommand runs the trace command on the trace files of all cells and checks its output.
func checkTraceCommand(t *testing.T, program string, cells ...*cell) {
	t.Helper()
	arguments := []string{"trace"}
	for _, c := range cells {
		arguments = append(arguments, c.traceFile)
	}
	out, err := exec.Command(program, arguments...).CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("neighbour")) || !bytes.Contains(out, []byte("released")) {
		t.Errorf("trace command: %v: %.500s", err, out)
	}
}

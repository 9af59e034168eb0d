//go:build cells

package cells

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
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

// Real controllers of three cells on the loopback interface, with fakes of the outside
// systems in this process. docs/operations-federation.md has the command.

var ledgerFile = flag.String("ledger", "", "where to write the ledger of jobs")

const (
	repository  = "../.."
	controllers = 3
	taskTime    = 4 * time.Second
	floodJobs   = 120
	floodEvery  = 500 * time.Millisecond
	cancelLimit = 20 * time.Second
)

// cell is one cell: its controllers and what they work with.
type cell struct {
	t        *testing.T
	name     string
	state    *fake.State
	cloud    *fake.Cloud
	users    *fake.Users
	nodes    []*fake.Process
	relays   []*fake.Relay // that other cells reach the controllers through
	settings string
	trace    string
}

// newCell starts everything of a cell but its controllers.
func newCell(t *testing.T, name string, machines int, check *fake.Checker) *cell {
	t.Helper()
	network := transport.TCP{}
	c := &cell{t: t, name: name, state: fake.NewState(t, network, "127.0.0.1:0", nil)}
	public, back := fake.Reserve(t, controllers), fake.Reserve(t, controllers)
	var workers []fake.Node
	for i, addr := range public {
		workers = append(workers, fake.Node{Name: c.nodeName(i), Addr: addr})
	}
	c.users = fake.NewUsers(t, network, public, check, 1)
	zones := []string{"x", "y", "z"}
	c.cloud = fake.NewCloud(t, network, "127.0.0.1:0", fake.CloudConfig{Prefix: name + "-vm-",
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: zones}},
		Boot:  time.Second, ListLag: 2 * time.Second, Most: machines,
		Worker: fake.WorkerConfig{Nodes: workers, Report: time.Second, Lease: 8 * time.Second, Fetch: 200 * time.Millisecond,
			Run: func(string) time.Duration { return taskTime }, Check: check},
		Host: func(string) (transport.Network, string) { return network, "127.0.0.1:0" },
	})
	facts := settings.Facts{Nodes: controllers, Zones: zones, ClockErrorMS: 5, Teams: []settings.Team{{Name: "open"}},
		Workers:   settings.Workers{ReportS: 1, LeaseS: 8, CancelS: cancelLimit.Seconds()},
		State:     settings.StateLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32},
		Cloud:     settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources: settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000}}
	dir := t.TempDir()
	c.settings, c.trace = filepath.Join(dir, "cells.ini"), filepath.Join(dir, "trace")
	for i := range controllers {
		c.relays = append(c.relays, fake.NewRelay(t, back[i]))
		p := settings.Platform{Node: c.nodeName(i), Zone: zones[i], Listen: public[i], Back: back[i], Facts: facts,
			Services: settings.Services{State: c.state.Addr(), Cloud: c.cloud.Addr()}}
		for k := range controllers {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Node: c.nodeName(k), Zone: zones[k], Addr: back[k]})
			}
		}
		c.nodes = append(c.nodes, fake.NewProcess(t, dir, p, "--settings", c.settings))
	}
	return c
}

func (c *cell) nodeName(i int) string { return fmt.Sprintf("%s-n%d", c.name, i) }

// introduce writes the operators' settings of a cell.
func (c *cell) introduce(machines int, others ...*cell) {
	c.t.Helper()
	text := fmt.Sprintf("[fleet]\nmax_machines = %d\n[cell]\nname = %s\nspill = yes\nshortage_s = 3\nmax_wait_s = 5\ntrace_file = %s\n", machines, c.name, c.trace)
	for k, o := range others {
		var addresses []string
		for _, r := range o.relays {
			addresses = append(addresses, r.Addr())
		}
		text += fmt.Sprintf("[neighbour.%s]\ncontrollers = %s\npreference = %d\nmax_cores = 64\nlend_cores = 64\n", o.name, strings.Join(addresses, ", "), k)
	}
	if err := os.WriteFile(c.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// replaceLeader ends the leader's process and starts it again.
func (c *cell) replaceLeader(program string) {
	i := fake.Leader(c.state, c.nodes)
	if i < 0 {
		c.t.Errorf("nobody leads %s", c.name)
		return
	}
	c.nodes[i].Kill()
	time.Sleep(2 * time.Second)
	c.nodes[i].Start(program)
}

// lose has what this cell is sent by others, or answers them, be lost.
func (c *cell) lose(way fake.Direction, on bool) {
	for _, r := range c.relays {
		r.SetDropping(way, on)
		if !on {
			r.CloseConnections()
		}
	}
}

// entry is what the ledger says of one job.
type entry struct {
	ref      string
	cells    []string // in which its tasks were on machines
	epochs   []string // of its transfers, with what they came to
	attempts int
	answers  []string // final ones, in home's record
}

// ledgerOf gathers what the state services and the machines know of each job.
func ledgerOf(check *fake.Checker, home *cell, neighbours ...*cell) []*entry {
	byRef := map[string]*entry{}
	of := func(ref string) *entry {
		if byRef[ref] == nil {
			byRef[ref] = &entry{ref: ref}
		}
		return byRef[ref]
	}
	for _, change := range home.state.Changes() {
		if ref, ok := strings.CutPrefix(change.Set, ledger.JobPrefix); ok {
			e := of(ref)
			if rec, err := ledger.DecodeJob(ref, change.Value); err == nil && rec.Terminal != "" {
				e.answers = append(e.answers, rec.Terminal)
			}
		}
	}
	for _, n := range neighbours {
		for _, change := range n.state.Changes() {
			ref, ok := strings.CutPrefix(change.Set, "cell/guest/"+home.name+"/")
			var r federation.ForeignRecord
			if ok && json.Unmarshal(change.Value, &r) == nil {
				e := of(ref)
				e.epochs = append(e.epochs, fmt.Sprintf("%s/%d %s", n.name, r.Epoch, r.State))
			}
		}
	}
	for _, run := range check.Runs() {
		ref := wire.JobIDOfTask(run.Task)
		e := of(ref)
		e.attempts++
		if name, _, _ := strings.Cut(run.Machine, "-vm-"); !slices.Contains(e.cells, name) {
			e.cells = append(e.cells, name)
		}
	}
	var all []*entry
	for _, e := range byRef {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return strings.Compare(a.ref, b.ref) })
	return all
}

func writeLedger(t *testing.T, entries []*entry) {
	t.Helper()
	var text bytes.Buffer
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tCELLS\tATTEMPTS\tFINAL ANSWERS\tTRANSFERS")
	for _, e := range entries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", e.ref, strings.Join(e.cells, " "), e.attempts, strings.Join(e.answers, " "), strings.Join(e.epochs, ", "))
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if *ledgerFile != "" {
		if err := os.WriteFile(*ledgerFile, text.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestThreeCells floods one cell while controllers are killed and links are cut: each
// job has a single final answer and ran in a single cell.
func TestThreeCells(t *testing.T) {
	program := fake.BuildController(t, repository)
	check := fake.NewChecker(t, fake.Limits{Cancel: cancelLimit, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	a, b, c := newCell(t, "a", 2, check), newCell(t, "b", 12, check), newCell(t, "c", 12, check)
	a.introduce(2, b, c)
	b.introduce(12, a, c)
	c.introduce(12, a, b)
	for _, x := range []*cell{a, b, c} {
		for _, n := range x.nodes {
			n.Start(program)
		}
		fake.Await(t, "a leader of "+x.name, 20*time.Second, func() bool { return fake.Leader(x.state, x.nodes) >= 0 })
	}
	time.Sleep(6 * time.Second) // all have announced what they know
	troubles := []struct {
		name string
		at   time.Duration
		do   func()
	}{
		{"a's leader is killed", 12 * time.Second, func() { a.replaceLeader(program) }},
		{"what a sends to b is lost", 20 * time.Second, func() { b.lose(fake.ToServer, true) }},
		{"and no longer", 30 * time.Second, func() { b.lose(fake.ToServer, false) }},
		{"b's leader is killed", 33 * time.Second, func() { b.replaceLeader(program) }},
		{"what c answers is lost", 38 * time.Second, func() { c.lose(fake.ToClient, true) }},
		{"and no longer", 48 * time.Second, func() { c.lose(fake.ToClient, false) }},
		{"all controllers of a are killed", 52 * time.Second, func() {
			for _, n := range a.nodes {
				n.Kill()
			}
			for _, n := range a.nodes {
				n.Start(program)
			}
		}},
	}
	began := time.Now()
	a.users.Go(func() {
		for _, trouble := range troubles {
			time.Sleep(time.Until(began.Add(trouble.at)))
			t.Logf("+%.0fs: %s", time.Since(began).Seconds(), trouble.name)
			trouble.do()
		}
	})
	for k := range floodJobs {
		j := fake.NewJob(fmt.Sprintf("job-%06d", k), 4, func(j *wire.Job) { j.CPUs, j.EstimatedRunS = 2, taskTime.Seconds() })
		a.users.Submit(j)
		if k%20 == 19 {
			a.users.Cancel(j)
		}
		time.Sleep(floodEvery)
	}
	fake.Await(t, "all jobs over", 4*time.Minute, func() bool { return len(check.Open()) == 0 })
	a.users.Wait()
	fake.Await(t, "no transfer left at home", 30*time.Second, func() bool { return a.state.Count("cell/away/") == 0 })
	entries := ledgerOf(check, a, b, c)
	writeLedger(t, entries)
	spilled, restarted := 0, 0
	for _, e := range entries {
		if len(e.answers) != 1 {
			t.Errorf("%s has the final answers %v", e.ref, e.answers)
		}
		if len(e.cells) > 1 {
			t.Errorf("%s ran in %v", e.ref, e.cells)
		}
		if len(e.cells) == 1 && e.cells[0] != "a" {
			spilled++
		}
		if e.attempts > 4 {
			restarted++
		}
	}
	for _, broken := range check.Broken() {
		t.Error(broken)
	}
	t.Logf("%d jobs, %d ran elsewhere, %d with more than four attempts, %.0f s", len(entries), spilled, restarted, time.Since(began).Seconds())
	if len(entries) != floodJobs || spilled == 0 {
		t.Error("that is not what the test is about")
	}
	showTrace(t, program, a, b, c)
	if list, err := FetchList(context.Background(), transport.TCP{}, &a.nodes[0].Platform); err != nil || list.Cell != "a" {
		t.Errorf("the list: %v, %v", list, err)
	}
	if t.Failed() {
		fake.KeepLogs(t, slices.Concat(a.nodes, b.nodes, c.nodes))
	}
}

// showTrace has the program show what all cells have traced.
func showTrace(t *testing.T, program string, cells ...*cell) {
	t.Helper()
	arguments := []string{"trace"}
	for _, c := range cells {
		arguments = append(arguments, c.trace)
	}
	out, err := exec.Command(program, arguments...).CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte("neighbour")) || !bytes.Contains(out, []byte("released")) {
		t.Errorf("the trace: %v: %.500s", err, out)
	}
}

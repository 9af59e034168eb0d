package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// The tests of federated cells run several cells of one operator on one in-memory network, each with
// its own controllers, key-value store, cloud and agents. One checker covers all cells, so that it
// detects a task that runs in two of them.

// repeatableClass is the class whose jobs may be run again when it is unknown whether they have run.
const repeatableClass = "again"

// federatedCells is a set of cells, the first of which is short of machines.
type federatedCells struct {
	t       *testing.T
	net     *fake.Network
	checker *fake.Checker
	names   []string
	cells   map[string]*cluster
	// mustDelegate lists the cells of which at least one job must have been accepted by another.
	mustDelegate []string
}

// federationConfig configures the cells.
type federationConfig struct {
	names       []string
	maxMachines map[string]int      // by cell; no entry: 12
	neighbours  map[string][]string // by cell; nil: every cell has all others
	teamLimits  map[string]float64
	oldVersions map[string]int // by cell, number of controllers that start with an older version
	runTime     func(task string) time.Duration
	seed        uint64
	standby     bool // whether controllers follow their cell's leader as standbys
}

// jobID returns the ID of the k-th job of a cell's users. Its number begins with the index of the
// cell, from 1.
func (f *federatedCells) jobID(cell string, k int) string {
	return fmt.Sprintf("job-%d%05d", 1+slices.Index(f.names, cell), k)
}

// ownsJob returns a function that reports whether a job belongs to a cell's users.
func (f *federatedCells) ownsJob(cell string) func(jobID string) bool {
	prefix := fmt.Sprintf("job-%d", 1+slices.Index(f.names, cell))
	return func(jobID string) bool { return strings.HasPrefix(jobID, prefix) }
}

// operatorSettings returns the operator's settings for the controllers of a cell.
func (c *federationConfig) operatorSettings(cell string) settings.Operator {
	operator := settings.Defaults()
	operator.MaxMachines = c.maxMachinesIn(cell)
	operator.Cells.Name, operator.Cells.DelegateJobs = cell, true
	operator.Cells.ShortageFor, operator.Cells.MaxWait = 3*time.Second, 10*time.Second
	operator.Cells.Repeatable = map[string]bool{repeatableClass: true}
	neighbours := c.neighbours[cell]
	if c.neighbours == nil {
		neighbours = slices.DeleteFunc(slices.Clone(c.names), func(neighbour string) bool { return neighbour == cell })
	}
	for preference, neighbour := range neighbours {
		var controllers []string
		for controller := range 3 {
			controllers = append(controllers, fmt.Sprintf("%s-n%d:81", neighbour, controller))
		}
		operator.Cells.Neighbours = append(operator.Cells.Neighbours, settings.Neighbour{Name: neighbour, Controllers: controllers, Preference: preference,
			MaxJobs: 50, MaxCores: 64, MaxOfferedCores: 64, ReclaimAfter: 15 * time.Second})
	}
	return operator
}

func (c *federationConfig) maxMachinesIn(cell string) int {
	if machines, ok := c.maxMachines[cell]; ok {
		return machines
	}
	return 12
}

func newFederation(t *testing.T, config federationConfig) *federatedCells {
	f := &federatedCells{t: t, net: fake.NewNetwork(t), checker: newChecker(t, cancelLimit, config.teamLimits), names: config.names, cells: map[string]*cluster{}}
	for _, name := range config.names {
		cell := &cellConfig{name: name, net: f.net, checker: f.checker, operator: config.operatorSettings(name), ownsJob: f.ownsJob(name)}
		f.cells[name] = newCluster(t, clusterConfig{maxMachines: config.maxMachinesIn(name), teamLimits: config.teamLimits, oldVersions: config.oldVersions[name], runTime: config.runTime, seed: config.seed, standby: config.standby, cell: cell})
	}
	return f
}

// runFederationScenario runs a scenario and then checks that each accepted job is served exactly
// once and that no transfer is left.
func runFederationScenario(t *testing.T, config federationConfig, scenario func(f *federatedCells)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFederation(t, config)
		for _, c := range f.cells {
			for i := range c.controllers {
				c.start(i)
			}
		}
		for _, c := range f.cells {
			c.await("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		}
		time.Sleep(6 * time.Second) // all controllers have announced their capabilities
		scenario(f)
		f.finish()
	})
}

func (f *federatedCells) finish() {
	origin := f.cells[f.names[0]]
	for _, c := range f.cells {
		c.markFaultsEnded()
	}
	origin.awaitAllJobsEnded()
	for _, c := range f.cells {
		c.users.Wait()
	}
	origin.await("all tasks ended", time.Minute, func() bool { running, _ := f.checker.TaskCounts(""); return running == 0 })
	for name, c := range f.cells {
		c.awaitLedgerCleanup()
		c.await("transfers released in "+name, 30*time.Second, func() bool { return len(f.foreignJobKeys(name, federation.ForeignAccepted)) == 0 })
	}
	for _, name := range f.mustDelegate {
		if len(f.delegatedJobIDs(name)) == 0 {
			f.t.Errorf("no job of cell %s was accepted by another cell, want at least one", name)
		}
	}
	origin.reportViolations()
	for _, c := range f.cells {
		for i := range c.controllers {
			c.kill(i)
		}
	}
	time.Sleep(5 * time.Second)
}

// overload submits n jobs of four tasks to a cell, half a second apart. change, unless nil, alters
// the k-th job.
func (f *federatedCells) overload(cell string, n int, change func(k int, j *wire.Job)) []*wire.Job {
	var jobs []*wire.Job
	for k := range n {
		j := fake.NewJob(f.jobID(cell, k), 4, func(j *wire.Job) { j.CPUs = 2 })
		if change != nil {
			change(k, j)
		}
		jobs = append(jobs, j)
		f.cells[cell].users.Submit(j)
		time.Sleep(500 * time.Millisecond)
	}
	return jobs
}

// foreignJobKeys lists the keys of a cell's foreign jobs whose transfers are in the given state.
func (f *federatedCells) foreignJobKeys(cell string, state federation.ForeignState) (keys []string) {
	for key, value := range f.storeEntries(cell, "cell/guest/") {
		var record federation.ForeignRecord
		if err := json.Unmarshal(value, &record); err != nil {
			f.t.Errorf("%s: %v", key, err)
		}
		if record.State == state {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// storeEntries returns the keys of a cell's key-value store under a prefix, with their values.
func (f *federatedCells) storeEntries(cell, prefix string) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	for _, change := range f.cells[cell].store.History() {
		switch {
		case strings.HasPrefix(change.Set, prefix):
			values[change.Set] = change.Value
		case strings.HasPrefix(change.Delete, prefix):
			delete(values, change.Delete)
		}
	}
	return values
}

// delegatedJobIDs lists the jobs of a cell that other cells have accepted so far.
func (f *federatedCells) delegatedJobIDs(origin string) []string {
	jobIDs := map[string]bool{}
	for _, cell := range f.names {
		for _, change := range f.cells[cell].store.History() {
			if jobID, ok := strings.CutPrefix(change.Set, "cell/guest/"+origin+"/"); ok && strings.Contains(string(change.Value), string(federation.ForeignAccepted)) {
				jobIDs[jobID] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(jobIDs))
}

// awaitDelegated waits until origin has a transfer in the given state, and returns its job and the
// cell that the job is delegated to.
func (f *federatedCells) awaitDelegated(origin string, state federation.DelegatedState) (jobID, cell string) {
	f.t.Helper()
	f.awaitPrecisely("transfer in state "+string(state), func() bool {
		for key, value := range f.storeEntries(origin, "cell/away/") {
			var record federation.DelegatedRecord
			if json.Unmarshal(value, &record) == nil && record.State == state {
				jobID, cell = strings.TrimPrefix(key, "cell/away/"), record.Cell
				return true
			}
		}
		return false
	})
	return jobID, cell
}

// awaitPrecisely polls a condition every 10 ms, so that a fault hits a particular moment. It fails the
// test when the condition is not met within a minute.
func (f *federatedCells) awaitPrecisely(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Errorf("did not happen within a minute: %s", what)
}

// partition separates all controllers of two cells from each other. With hold, messages are delivered
// after heal; otherwise they are refused.
func (f *federatedCells) partition(a, b string, hold bool) {
	f.eachLink(a, b, func(from, to string) { f.net.Partition(from, to, hold) })
}

// heal ends the partition of two cells.
func (f *federatedCells) heal(a, b string) { f.eachLink(a, b, f.net.Heal) }

// eachLink calls do for each pair of controllers of two cells.
func (f *federatedCells) eachLink(a, b string, do func(from, to string)) {
	for _, sender := range f.cells[a].controllers {
		for _, receiver := range f.cells[b].controllers {
			do(sender.platform.Name, receiver.platform.Name)
		}
	}
}

// twoCellConfig configures cell a with two machines and cell b with free capacity.
func twoCellConfig() federationConfig {
	return federationConfig{names: []string{"a", "b"}, maxMachines: map[string]int{"a": 2}, runTime: func(string) time.Duration { return 12 * time.Second }}
}

// expectDelegation makes the scenario fail unless at least one job of origin was delegated.
func (f *federatedCells) expectDelegation(origin string) {
	f.mustDelegate = append(f.mustDelegate, origin)
}

// loseRequests waits until a job is delegated by cell a and then drops, for 20 s, all messages from
// the controllers of one cell to those of the other.
func (f *federatedCells) loseRequests(from, to string) {
	f.awaitDelegated("a", federation.Accepted)
	for _, sender := range f.cells[from].controllers {
		for _, receiver := range f.cells[to].controllers {
			f.net.PartitionOneWay(sender.platform.Name, receiver.platform.Name)
		}
	}
	time.Sleep(20 * time.Second)
	f.heal(from, to)
}

// restartAllWith restarts the controllers of all cells, one after the other, with changed settings.
func (f *federatedCells) restartAllWith(change func(operator *settings.Operator)) {
	for _, name := range f.names {
		c := f.cells[name]
		c.operator.Cells.Neighbours = slices.Clone(c.operator.Cells.Neighbours)
		change(&c.operator)
		for i := range c.controllers {
			c.restart(i, 2*time.Second)
			time.Sleep(3 * time.Second)
		}
	}
}

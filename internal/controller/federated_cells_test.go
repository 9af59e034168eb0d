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

// Several cells of one operator, each with its own controllers, key-value store, cloud and
// workers, on one network in memory. One checker checks all of them: a task that is on
// machines of two cells runs twice.

// repeatableClass is the class whose jobs may run again after an uncertain run.
const repeatableClass = "again"

// federatedCells is some cells, the first of which is short of machines.
type federatedCells struct {
	t       *testing.T
	net     *fake.Network
	checker *fake.Checker
	names   []string
	cells   map[string]*cluster
	// mustDelegate are the cells some of whose jobs must have run elsewhere in the end.
	mustDelegate []string
}

// federationConfig is what the cells are made of.
type federationConfig struct {
	names       []string
	maxMachines map[string]int      // by cell; 12 where not named
	neighbours  map[string][]string // by cell; all others where not named
	teamLimits  map[string]float64
	oldVersions map[string]int // controllers of a cell that begin with an older version
	runTime     func(task string) time.Duration
	seed        uint64
	standby     bool // their controllers follow their leaders
}

// jobID names a job of a cell: its number begins with the cell's place.
func (f *federatedCells) jobID(cell string, k int) string {
	return fmt.Sprintf("job-%d%05d", 1+slices.Index(f.names, cell), k)
}

func (f *federatedCells) ownsJob(cell string) func(jobID string) bool {
	prefix := fmt.Sprintf("job-%d", 1+slices.Index(f.names, cell))
	return func(jobID string) bool { return strings.HasPrefix(jobID, prefix) }
}

// operatorSettings are the settings of a cell's controllers.
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

// runFederationScenario plays a scenario and then checks that all that was accepted is
// served, once, and that no transfer is left.
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
		time.Sleep(6 * time.Second) // all have announced what they know
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
	origin.await("all tasks gone", time.Minute, func() bool { running, _ := f.checker.TaskCounts(""); return running == 0 })
	for name, c := range f.cells {
		c.awaitLedgerCleanup()
		c.await("transfers released in "+name, 30*time.Second, func() bool { return len(f.foreignJobKeys(name, federation.ForeignAccepted)) == 0 })
	}
	for _, name := range f.mustDelegate {
		if len(f.delegatedJobIDs(name)) == 0 {
			f.t.Errorf("no job of %s was accepted elsewhere", name)
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

// overload has a cell's users submit n jobs of four tasks, half a second apart.
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

// foreignJobKeys lists the transfers of a neighbour that are in a state.
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

// storeEntries are the keys of a cell under a prefix, with what they hold.
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

// delegatedJobIDs lists the jobs that another cell has accepted from one.
func (f *federatedCells) delegatedJobIDs(origin string) []string {
	jobIDs := map[string]bool{}
	for _, c := range f.names {
		for _, change := range f.cells[c].store.History() {
			if jobID, ok := strings.CutPrefix(change.Set, "cell/guest/"+origin+"/"); ok && strings.Contains(string(change.Value), string(federation.ForeignAccepted)) {
				jobIDs[jobID] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(jobIDs))
}

// awaitDelegated waits until origin has a transfer in a state, and names its job and cell.
func (f *federatedCells) awaitDelegated(origin string, state federation.DelegatedState) (jobID, cell string) {
	f.t.Helper()
	f.awaitPrecisely("a transfer that is "+string(state), func() bool {
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

// awaitPrecisely waits with a fine grain.
func (f *federatedCells) awaitPrecisely(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Errorf("not within a minute: %s", what)
}

// partition cuts all controllers of two cells from one another. With hold, what they send
// is delivered when the connection is back, and else it is refused.
func (f *federatedCells) partition(a, b string, hold bool) {
	f.eachLink(a, b, func(from, to string) { f.net.Partition(from, to, hold) })
}

// heal ends a partition of two cells.
func (f *federatedCells) heal(a, b string) { f.eachLink(a, b, f.net.Heal) }

// eachLink calls do for each pair of controllers of two cells.
func (f *federatedCells) eachLink(a, b string, do func(from, to string)) {
	for _, x := range f.cells[a].controllers {
		for _, y := range f.cells[b].controllers {
			do(x.platform.Name, y.platform.Name)
		}
	}
}

// twoCellConfig is a small cell beside one with room.
func twoCellConfig() federationConfig {
	return federationConfig{names: []string{"a", "b"}, maxMachines: map[string]int{"a": 2}, runTime: func(string) time.Duration { return 12 * time.Second }}
}

// expectDelegation has the end of the scenario check that jobs were forwarded at all.
func (f *federatedCells) expectDelegation(origin string) {
	f.mustDelegate = append(f.mustDelegate, origin)
}

// loseRequests loses what one cell's controllers send to the other's for a while.
func (f *federatedCells) loseRequests(from, to string) {
	f.awaitDelegated("a", federation.Accepted)
	for _, x := range f.cells[from].controllers {
		for _, y := range f.cells[to].controllers {
			f.net.PartitionOneWay(x.platform.Name, y.platform.Name)
		}
	}
	time.Sleep(20 * time.Second)
	f.heal(from, to)
}

// restartAllWith restarts all controllers, one after the other, with other settings.
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

package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// TestOverflow: jobs of an overloaded cell also run at its neighbours, none of them twice, and
// neighbours don't delegate them further.
func TestOverflow(t *testing.T) {
	config := federationConfig{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 2}, runTime: func(string) time.Duration { return 12 * time.Second }}
	runFederationScenario(t, config, func(f *federatedCells) {
		f.overload("a", 16, nil)
		f.expectDelegation("a")
		f.cells["a"].awaitAllJobsEnded()
		for _, jobID := range f.delegatedJobIDs("a") {
			for _, cell := range []string{"b", "c"} {
				for _, change := range f.cells[cell].store.History() {
					if change.Set == ledger.DelegatedKey(jobID) {
						t.Errorf("%s is delegated further by cell %s", jobID, cell)
					}
				}
			}
		}
	})
}

// federationFaults are faults of cells a and b while jobs of a are delegated to b.
var federationFaults = map[string]func(f *federatedCells){
	"the origin's leader fails after the offer": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Offered)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin's leader fails after the accept": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin's leader fails after the result": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.awaitPrecisely("terminal state of a foreign job at the neighbour", func() bool {
			for _, value := range f.storeEntries("b", ledger.JobPrefix) {
				if record, err := ledger.DecodeJobRecord("", value); err == nil && record.Origin == "a" && record.TerminalState != "" {
					return true
				}
			}
			return false
		})
		f.cells["a"].restart(f.cells["a"].leader(), 4*time.Second)
	},
	"the origin cell loses its key-value store": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		f.cells["a"].store.SetOutage(true)
		time.Sleep(25 * time.Second)
		f.cells["a"].store.SetOutage(false)
	},
	"the neighbour accepts and its response is lost": func(f *federatedCells) {
		f.awaitPrecisely("an accepted foreign job at the neighbour", func() bool { return len(f.foreignJobKeys("b", federation.ForeignAccepted)) > 0 })
		f.partition("a", "b", false)
		time.Sleep(20 * time.Second)
		f.heal("a", "b")
	},
	"the offer is delayed and arrives after its revocation": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Offered)
		f.partition("a", "b", true)
		time.Sleep(14 * time.Second)
		f.heal("a", "b")
	},
	"the neighbour's leader changes twice": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		for range 2 {
			b := f.cells["b"]
			previous := b.leader()
			b.kill(previous)
			b.await("another leader", 20*time.Second, func() bool { return b.leader() >= 0 && b.leader() != previous })
			b.start(previous)
		}
	},
	"messages of the origin are lost": func(f *federatedCells) { f.loseRequests("a", "b") },
	"messages of the neighbour are lost": func(f *federatedCells) {
		f.loseRequests("b", "a")
	},
	"all controllers of the origin restart": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		origin := f.cells["a"]
		for i := range origin.controllers {
			origin.kill(i)
		}
		time.Sleep(25 * time.Second)
		origin.startAll()
	},
	"all controllers of the neighbour restart": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		for i := range f.cells["b"].controllers {
			f.cells["b"].kill(i)
		}
		time.Sleep(30 * time.Second)
		f.cells["b"].startAll()
	},
	"the neighbour loses machines": func(f *federatedCells) {
		f.awaitDelegated("a", federation.Accepted)
		time.Sleep(3 * time.Second)
		for _, agent := range everyOther(f.cells["b"].cloud.Agents()) {
			f.cells["b"].cloud.Terminate(agent.Name())
		}
	},
	"responses of the key-value stores are lost": func(f *federatedCells) {
		for _, c := range f.cells {
			c.writeFaults.Store(c.randomFaults(0.3, fake.ResponseLost, 0, 0))
		}
		time.Sleep(30 * time.Second)
		for _, c := range f.cells {
			c.writeFaults.Store(nil)
		}
	},
}

// TestOverflowFaults: each job is served exactly once, whatever faults hit the cells and the links
// between them. Some jobs are cancelled meanwhile.
func TestOverflowFaults(t *testing.T) {
	for name, injectFault := range federationFaults {
		t.Run(name, func(t *testing.T) {
			runFederationScenario(t, twoCellConfig(), func(f *federatedCells) {
				f.cells["a"].users.Go(func() { injectFault(f) })
				jobs := f.overload("a", 14, nil)
				for _, j := range jobs[8:11] {
					f.cells["a"].users.Cancel(j)
				}
				f.cells["a"].users.Wait()
				f.expectDelegation("a")
			})
		})
	}
}

// TestOverflowCancelled: a job is cancelled in each state of its transfer.
func TestOverflowCancelled(t *testing.T) {
	moments := map[string]func(f *federatedCells) string{
		"planned or offered": func(f *federatedCells) string { jobID, _ := f.awaitDelegated("a", federation.Offered); return jobID },
		"accepted by the neighbour, response on its way": func(f *federatedCells) string {
			jobID, _ := f.awaitDelegated("a", federation.Offered)
			f.awaitPrecisely("record of the foreign job at the neighbour", func() bool {
				return f.cells["b"].store.Value(ledger.ForeignKey(federation.ForeignKey{Origin: "a", JobID: jobID})) != nil
			})
			return jobID
		},
		"accepted": func(f *federatedCells) string { jobID, _ := f.awaitDelegated("a", federation.Accepted); return jobID },
		"running": func(f *federatedCells) string {
			jobID, _ := f.awaitDelegated("a", federation.Accepted)
			time.Sleep(8 * time.Second)
			return jobID
		},
	}
	for name, awaitMoment := range moments {
		t.Run(name, func(t *testing.T) {
			runFederationScenario(t, twoCellConfig(), func(f *federatedCells) {
				origin := f.cells["a"]
				origin.users.Go(func() {
					jobID := awaitMoment(f)
					origin.users.Cancel(f.checker.Job(jobID))
				})
				f.overload("a", 10, nil)
				f.expectDelegation("a")
			})
		})
	}
}

// TestOverflowCancelUnreachable: while the cell that may run a delegated job can't be reached, a
// request to cancel the job gets 503 immediately. After the partition it is confirmed.
func TestOverflowCancelUnreachable(t *testing.T) {
	runFederationScenario(t, twoCellConfig(), func(f *federatedCells) {
		origin := f.cells["a"]
		origin.users.Go(func() {
			jobID, _ := f.awaitDelegated("a", federation.Accepted)
			f.partition("a", "b", true)
			time.Sleep(6 * time.Second)
			requestedAt := time.Now()
			if code, _ := origin.users.Call(origin.leader(), fake.RequestCancel, jobID, nil); code != 503 {
				t.Errorf("the cancellation got %d, want 503", code)
			}
			if took := time.Since(requestedAt); took > 500*time.Millisecond {
				t.Errorf("the 503 took %s, want at most 500ms", took)
			}
			f.heal("a", "b")
			origin.users.Cancel(f.checker.Job(jobID))
		})
		f.overload("a", 10, nil)
	})
}

// TestOverflowReclaimed: a repeatable job is reclaimed from a neighbour that is cut off; a job that
// must not run twice waits until its state is known.
func TestOverflowReclaimed(t *testing.T) {
	runFederationScenario(t, twoCellConfig(), func(f *federatedCells) {
		origin := f.cells["a"]
		origin.users.Go(func() {
			f.awaitDelegated("a", federation.Accepted)
			time.Sleep(5 * time.Second)
			f.partition("a", "b", false)
			time.Sleep(60 * time.Second)
			for key, value := range f.storeEntries("a", "cell/away/") {
				var record federation.DelegatedRecord
				if err := json.Unmarshal(value, &record); err != nil || record.Repeatable != (record.State == federation.Returned) {
					t.Errorf("%s after a minute without the neighbour: %s, want it reclaimed if and only if it is repeatable", key, value)
				}
			}
			f.heal("a", "b")
		})
		f.overload("a", 14, func(k int, j *wire.Job) {
			if k%2 == 0 {
				j.Class = repeatableClass
			}
		})
		f.expectDelegation("a")
	})
}

// TestOverflowBothOverloaded: two overloaded cells don't pass jobs back and forth.
func TestOverflowBothOverloaded(t *testing.T) {
	config := twoCellConfig()
	config.maxMachines["b"] = 2
	runFederationScenario(t, config, func(f *federatedCells) {
		f.cells["b"].users.Go(func() { f.overload("b", 12, nil) })
		f.overload("a", 12, nil)
		for _, cell := range f.names {
			for key := range f.storeEntries(cell, "cell/away/") {
				if !f.ownsJob(cell)(strings.TrimPrefix(key, "cell/away/")) {
					t.Errorf("%s: cell %s delegates a foreign job further", key, cell)
				}
			}
		}
	})
}

// TestOverflowRing: each of three cells knows only the next one. One is overloaded and its neighbour
// is full as well, but must not delegate the foreign jobs further.
func TestOverflowRing(t *testing.T) {
	config := federationConfig{names: []string{"a", "b", "c"}, maxMachines: map[string]int{"a": 2, "b": 4}, runTime: func(string) time.Duration { return 12 * time.Second },
		neighbours: map[string][]string{"a": {"b"}, "b": {"c"}, "c": {"a"}}}
	runFederationScenario(t, config, func(f *federatedCells) {
		f.cells["b"].users.Go(func() { f.overload("b", 10, nil) })
		f.overload("a", 12, nil)
		if n := len(f.storeEntries("c", "cell/guest/a/")); n > 0 {
			t.Errorf("%d jobs of cell a are at cell c, which a does not know", n)
		}
	})
}

// TestOverflowOldVersion: a cell accepts and offers no jobs while one of its controllers may run an
// older version.
func TestOverflowOldVersion(t *testing.T) {
	config := twoCellConfig()
	config.oldVersions = map[string]int{"b": 1}
	runFederationScenario(t, config, func(f *federatedCells) {
		f.overload("a", 8, nil)
		if n := f.cells["b"].store.Count("cell/"); n > 0 {
			t.Errorf("%d transfers while a controller runs the old version, want none", n)
		}
	})
}

// TestOverflowTeamLimit: a team's quota in the origin cell covers its tasks in both cells together.
func TestOverflowTeamLimit(t *testing.T) {
	config := twoCellConfig()
	config.teamLimits = map[string]float64{"tight": 24}
	runFederationScenario(t, config, func(f *federatedCells) {
		f.overload("a", 14, func(_ int, j *wire.Job) { j.Team = "tight" })
		f.expectDelegation("a")
	})
}

// TestOverflowDrained: delegation between two cells is drained and then removed, on both sides, with
// the controllers restarted one after the other, as the operators' documentation describes. Delegated
// jobs finish, and no further jobs are delegated.
func TestOverflowDrained(t *testing.T) {
	runFederationScenario(t, twoCellConfig(), func(f *federatedCells) {
		f.cells["a"].users.Go(func() { f.overload("a", 24, nil) })
		f.awaitDelegated("a", federation.Accepted)
		f.restartAllWith(func(operator *settings.Operator) { operator.Cells.Neighbours[0].Draining = true })
		f.cells["a"].await("no delegated job left", 2*time.Minute, func() bool { return f.cells["a"].store.Count("cell/away/") == 0 })
		f.cells["b"].await("no foreign job left", time.Minute, func() bool { return len(f.foreignJobKeys("b", federation.ForeignAccepted)) == 0 })
		drained := len(f.delegatedJobIDs("a"))
		f.restartAllWith(func(operator *settings.Operator) { operator.Cells = settings.Cells{} })
		f.cells["a"].users.Go(func() { f.overload("a", 40, func(k int, j *wire.Job) { j.ID = f.jobID("a", 100+k) }) })
		f.cells["a"].users.Wait()
		if n := len(f.delegatedJobIDs("a")); drained == 0 || n != drained {
			t.Errorf("%d jobs were delegated before the relation was drained and %d at the end, want the same number, not 0", drained, n)
		}
	})
}

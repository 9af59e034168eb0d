package scheduler

import (
	"math"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestSpendingIsDividedByUse checks that the cost of a machine is attributed to its uses, and that the
// shares add up to all of it.
func TestSpendingIsDividedByUse(t *testing.T) {
	running := func(j *job) *allocation { return &allocation{job: j.index, status: wire.TaskRunning} }
	fetching := func(j *job) *allocation { return &allocation{job: j.index, status: wire.TaskFetching} }
	stopping := func(j *job) *allocation { return &allocation{job: j.index, status: wire.TaskRunning, stopping: true} }
	cases := []struct {
		name        string
		state       machineState
		allocations []func(j *job) *allocation // of one core each, on a machine with four cores
		want        costs                      // in percent of the machine's cost
	}{
		{"booting", machineStarting, nil, costs{booting: 100}},
		{"idle", machineUp, nil, costs{idle: 100}},
		{"being deleted", machineDeleting, nil, costs{returning: 100}},
		{"gone", machineGone, nil, costs{}},
		{"one running task", machineUp, []func(j *job) *allocation{running}, costs{running: 25, partIdle: 75}},
		{"running, fetching and stopping tasks", machineUp, []func(j *job) *allocation{running, fetching, stopping, running}, costs{running: 50, fetching: 25, stopping: 25}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, ledger.Snapshot{})
			h.bringUp("vm-1")
			h.submit(newTestJob("job-000001", 1, 1))
			core := h.core
			m, j := core.machines.list[core.machines.indexByName["vm-1"]], core.jobs.list[0]
			m.state, m.capacity.allocations = tc.state, nil
			for _, newAllocation := range tc.allocations {
				m.capacity.allocations = append(m.capacity.allocations, newAllocation(j))
			}
			core.spending.spent, core.spending.accruedUntil, core.spending.loggedAt = costs{}, core.clock.now, core.clock.now
			core.clock.now += 10 * time.Second
			core.spending.accrue()
			unit := core.spending.pricePerSecond(m) * 10 / 100
			for _, part := range []struct {
				name      string
				got, want float64
			}{
				{"booting", core.spending.spent.booting, tc.want.booting}, {"fetching", core.spending.spent.fetching, tc.want.fetching},
				{"running", core.spending.spent.running, tc.want.running}, {"stopping", core.spending.spent.stopping, tc.want.stopping},
				{"partly idle", core.spending.spent.partIdle, tc.want.partIdle}, {"idle", core.spending.spent.idle, tc.want.idle},
				{"returning", core.spending.spent.returning, tc.want.returning},
			} {
				if unit == 0 || math.Abs(part.got/unit-part.want) > 1e-6 {
					t.Errorf("%s: %v percent of the cost, want %v", part.name, part.got/unit, part.want)
				}
			}
		})
	}
}

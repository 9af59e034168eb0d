package autoscaler

import (
	"math"
	"testing"
	"time"

	"leadproxy/internal/slowfit"
)

// TestPlan checks which machines are rented for a queue, pending machines and headroom. Pool prices in
// the cases: 1 for the small type, 3 for the large one and for the small one on demand.
func TestPlan(t *testing.T) {
	types := []MachineType{
		{Total: slowfit.Size{CPUs: 4, MemGB: 16}, BootTime: 40 * time.Second},
		{Total: slowfit.Size{CPUs: 16, MemGB: 64}, BootTime: 40 * time.Second},
	}
	small, large := CapacityPool{Type: 0, Spot: true}, CapacityPool{Type: 1, Spot: true}
	onDemand := CapacityPool{Type: 0}
	pools := []PricedPool{{small, 1, 0}, {large, 3, 0}, {onDemand, 3, 0}}
	anyPool := func(CapacityPool) bool { return true }
	fourCores := slowfit.Size{CPUs: 4, MemGB: 4}
	cases := []struct {
		name  string
		input PlanInput
		want  []PlannedScaleOut
	}{
		{"nothing is queued", PlanInput{}, nil},
		{"one task takes the cheapest machine that holds it", PlanInput{
			Queued: []TaskGroup{{Size: fourCores, Count: 1, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"many tasks take the cheapest slots", PlanInput{
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: large, Count: 2}}},
		{"pending machines are used first", PlanInput{
			Pending: []PendingMachine{{CapacityPool: large, Free: types[1].Total}},
			Queued:  []TaskGroup{{Size: fourCores, Count: 5, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"a pending machine that the job may not use is ignored", PlanInput{
			Pending: []PendingMachine{{CapacityPool: small, Free: types[0].Total}},
			Queued:  []TaskGroup{{Size: fourCores, Count: 1, RunTime: time.Minute, Allows: func(pool CapacityPool) bool { return !pool.Spot }}}}, []PlannedScaleOut{{Pool: onDemand, Count: 1}}},
		{"no on-demand machines while the running ones suffice", PlanInput{Running: []RunningMachine{{CapacityPool: large}}, Pools: pools[2:],
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Slack: 3 * time.Minute, Allows: anyPool}}}, nil},
		{"on-demand machines are rented for the tasks that would be late", PlanInput{Running: []RunningMachine{{CapacityPool: large}}, Pools: pools[2:],
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Slack: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: onDemand, Count: 4}}},
		{"short tasks are partly left to existing machines", PlanInput{
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: 10 * time.Second, Allows: anyPool}}}, []PlannedScaleOut{{Pool: large, Count: 1}}},
		{"tasks beyond one pool's maximum use the next pool", PlanInput{Pools: []PricedPool{{large, 3, 1}, {small, 1, 2}, {onDemand, 3, 0}},
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: large, Count: 1}, {Pool: small, Count: 2}}},
		{"more than one call's worth from a pool with a larger maximum", PlanInput{Pools: []PricedPool{{large, 3, 200}},
			Queued: []TaskGroup{{Size: fourCores, Count: 480, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: large, Count: 120}}},
		{"on-demand machine for an overdue job though the running ones seem to suffice", PlanInput{Running: []RunningMachine{{CapacityPool: large}}, Pools: pools[2:],
			Queued: []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Slack: 3 * time.Minute, Overdue: true, Allows: anyPool}}}, []PlannedScaleOut{{Pool: onDemand, Count: 1}}},
		{"no machine for an overdue job that a pending one holds", PlanInput{Pools: pools[2:], Pending: []PendingMachine{{CapacityPool: onDemand, Free: types[0].Total}},
			Queued: []TaskGroup{{Size: fourCores, Count: 1, RunTime: time.Minute, Overdue: true, Allows: anyPool}}}, nil},
		{"no further machine for an overdue job once a pending one holds some of its tasks", PlanInput{Pools: pools[2:], Running: []RunningMachine{{CapacityPool: large}},
			Pending: []PendingMachine{{CapacityPool: onDemand, Free: types[0].Total}},
			Queued:  []TaskGroup{{Size: fourCores, Count: 8, RunTime: time.Minute, Slack: 3 * time.Minute, Overdue: true, Allows: anyPool}}}, nil},
		{"the limit on machines", PlanInput{MaxMachines: 3, MachineCount: 2,
			Queued: []TaskGroup{{Size: fourCores, Count: 80, RunTime: time.Minute, Allows: anyPool}}}, []PlannedScaleOut{{Pool: large, Count: 1}}},
		{"headroom up to the learned demand", PlanInput{ProvisionedCores: 4, HeadroomCores: 12, HeadroomSizes: []slowfit.Size{fourCores}}, []PlannedScaleOut{{Pool: small, Count: 2}}},
		{"headroom for the next size if no pool holds the first", PlanInput{HeadroomCores: 4, HeadroomSizes: []slowfit.Size{{CPUs: 99}, fourCores}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"enough headroom", PlanInput{ProvisionedCores: 12, HeadroomCores: 12, HeadroomSizes: []slowfit.Size{fourCores}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.input.Types = types
			if c.input.Pools == nil {
				c.input.Pools = pools
			}
			got := Plan(c.input)
			if len(got) != len(c.want) {
				t.Fatalf("planned %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i].Pool != c.want[i].Pool || got[i].Count != c.want[i].Count {
					t.Errorf("planned %v, want %v", got[i], c.want[i])
				}
			}
		})
	}
}

// TestPlanRentsWhateverTheAmounts guards against a queued group that gets no machine, or more machines
// than it has tasks, because an amount turns the plan's arithmetic into 0, infinity or an overflow.
func TestPlanRentsWhateverTheAmounts(t *testing.T) {
	spot, onDemand := CapacityPool{Spot: true}, CapacityPool{}
	durations := []time.Duration{math.MinInt64, -time.Second, 0, 1, time.Second, time.Hour, math.MaxInt64}
	for _, pools := range [][]PricedPool{{{spot, 1, 0}}, {{onDemand, 3, 0}}, {{spot, 1, 1}, {onDemand, 3, 1}}} {
		for _, cores := range []float64{0, 5e-324, 1e-9, 1, 4} {
			for _, count := range []int{1, 3, 100000} {
				for _, runTime := range durations {
					for _, slack := range durations {
						for _, bootTime := range []time.Duration{0, 1, time.Minute} {
							plan := Plan(PlanInput{Types: []MachineType{{Total: slowfit.Size{CPUs: 4, MemGB: 16}, BootTime: bootTime}}, Pools: pools,
								Queued: []TaskGroup{{Size: slowfit.Size{CPUs: cores, MemGB: 1}, Count: count, RunTime: runTime, Slack: slack, Allows: func(CapacityPool) bool { return true }}}})
							machines := 0
							for _, planned := range plan {
								machines += planned.Count
							}
							if machines < 1 || machines > count {
								t.Fatalf("%d machines planned, want 1 to %d: pools %v, %d tasks of %v cores, run time %v, slack %v, boot time %v",
									machines, count, pools, count, cores, runTime, slack, bootTime)
							}
						}
					}
				}
			}
		}
	}
}

package autoscaler

import (
	"testing"
	"time"

	"leadproxy/internal/slowfit"
)

func TestPlan(t *testing.T) {
	types := []MachineType{
		{Total: slowfit.Size{CPUs: 4, MemGB: 16}, Boot: 40 * time.Second},
		{Total: slowfit.Size{CPUs: 16, MemGB: 64}, Boot: 40 * time.Second},
	}
	small, large := CapacityPool{Type: 0, Spot: true}, CapacityPool{Type: 1, Spot: true}
	ordinary := CapacityPool{Type: 0}
	offers := []PricedPool{{small, 1, 0}, {large, 3, 0}, {ordinary, 3, 0}}
	any := func(CapacityPool) bool { return true }
	four := slowfit.Size{CPUs: 4, MemGB: 4}
	cases := []struct {
		name string
		s    PlanInput
		want []PlannedScaleOut
	}{
		{"nothing waits", PlanInput{}, nil},
		{"one task takes the cheapest machine that holds it", PlanInput{
			Queued: []TaskGroup{{Size: four, Count: 1, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"many tasks take the cheapest slots", PlanInput{
			Queued: []TaskGroup{{Size: four, Count: 8, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: large, Count: 2}}},
		{"what is coming serves first", PlanInput{
			Pending: []PendingMachine{{CapacityPool: large, Free: types[1].Total}},
			Queued:  []TaskGroup{{Size: four, Count: 5, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"a coming machine that the job may not use does not serve", PlanInput{
			Pending: []PendingMachine{{CapacityPool: small, Free: types[0].Total}},
			Queued:  []TaskGroup{{Size: four, Count: 1, Run: time.Minute, Allows: func(o CapacityPool) bool { return !o.Spot }}}}, []PlannedScaleOut{{Pool: ordinary, Count: 1}}},
		{"ordinary machines wait while those that are up will do", PlanInput{Running: []RunningMachine{{CapacityPool: large}}, Pools: offers[2:],
			Queued: []TaskGroup{{Size: four, Count: 8, Run: time.Minute, Slack: 3 * time.Minute, Allows: any}}}, nil},
		{"ordinary machines make up for what would be late", PlanInput{Running: []RunningMachine{{CapacityPool: large}}, Pools: offers[2:],
			Queued: []TaskGroup{{Size: four, Count: 8, Run: time.Minute, Slack: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: ordinary, Count: 4}}},
		{"short tasks are partly left to turnover", PlanInput{
			Queued: []TaskGroup{{Size: four, Count: 8, Run: 10 * time.Second, Allows: any}}}, []PlannedScaleOut{{Pool: large, Count: 1}}},
		{"what one offer may not give, the next does", PlanInput{Pools: []PricedPool{{large, 3, 1}, {small, 1, 2}, {ordinary, 3, 0}},
			Queued: []TaskGroup{{Size: four, Count: 8, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: large, Count: 1}, {Pool: small, Count: 2}}},
		{"more than a call's worth where the offer has given before", PlanInput{Pools: []PricedPool{{large, 3, 200}},
			Queued: []TaskGroup{{Size: four, Count: 480, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: large, Count: 120}}},
		{"the bound on machines holds", PlanInput{MaxMachines: 3, Machines: 2,
			Queued: []TaskGroup{{Size: four, Count: 80, Run: time.Minute, Allows: any}}}, []PlannedScaleOut{{Pool: large, Count: 1}}},
		{"warm cores up to the learned demand", PlanInput{Cores: 4, Headroom: 12, Sizes: []slowfit.Size{four}}, []PlannedScaleOut{{Pool: small, Count: 2}}},
		{"a size that nothing on offer holds leaves the next to choose", PlanInput{Headroom: 4, Sizes: []slowfit.Size{{CPUs: 99}, four}}, []PlannedScaleOut{{Pool: small, Count: 1}}},
		{"enough is warm", PlanInput{Cores: 12, Headroom: 12, Sizes: []slowfit.Size{four}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.s.Types = types
			if c.s.Pools == nil {
				c.s.Pools = offers
			}
			got := Plan(c.s)
			if len(got) != len(c.want) {
				t.Fatalf("hires %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i].Pool != c.want[i].Pool || got[i].Count != c.want[i].Count {
					t.Errorf("wish %v, want %v", got[i], c.want[i])
				}
			}
		})
	}
}

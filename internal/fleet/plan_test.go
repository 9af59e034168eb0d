package fleet

import (
	"testing"
	"time"

	"leadproxy/internal/slowfit"
)

func TestPlan(t *testing.T) {
	types := []Type{
		{Total: slowfit.Size{CPUs: 4, MemGB: 16}, Boot: 40 * time.Second},
		{Total: slowfit.Size{CPUs: 16, MemGB: 64}, Boot: 40 * time.Second},
	}
	small, large := Offer{Type: 0, Spot: true}, Offer{Type: 1, Spot: true}
	ordinary := Offer{Type: 0}
	offers := []Priced{{small, 1, 0}, {large, 3, 0}, {ordinary, 3, 0}}
	any := func(Offer) bool { return true }
	four := slowfit.Size{CPUs: 4, MemGB: 4}
	cases := []struct {
		name string
		s    Situation
		want []PlannedHire
	}{
		{"nothing waits", Situation{}, nil},
		{"one task takes the cheapest machine that holds it", Situation{
			Waiting: []Group{{Size: four, Count: 1, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: small, Count: 1}}},
		{"many tasks take the cheapest slots", Situation{
			Waiting: []Group{{Size: four, Count: 8, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: large, Count: 2}}},
		{"what is coming serves first", Situation{
			Coming:  []Coming{{Offer: large, Room: types[1].Total}},
			Waiting: []Group{{Size: four, Count: 5, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: small, Count: 1}}},
		{"a coming machine that the job may not use does not serve", Situation{
			Coming:  []Coming{{Offer: small, Room: types[0].Total}},
			Waiting: []Group{{Size: four, Count: 1, Run: time.Minute, Allows: func(o Offer) bool { return !o.Spot }}}}, []PlannedHire{{Offer: ordinary, Count: 1}}},
		{"ordinary machines wait while those that are up will do", Situation{Up: []Present{{Offer: large}}, Offers: offers[2:],
			Waiting: []Group{{Size: four, Count: 8, Run: time.Minute, Slack: 3 * time.Minute, Allows: any}}}, nil},
		{"ordinary machines make up for what would be late", Situation{Up: []Present{{Offer: large}}, Offers: offers[2:],
			Waiting: []Group{{Size: four, Count: 8, Run: time.Minute, Slack: time.Minute, Allows: any}}}, []PlannedHire{{Offer: ordinary, Count: 4}}},
		{"short tasks are partly left to turnover", Situation{
			Waiting: []Group{{Size: four, Count: 8, Run: 10 * time.Second, Allows: any}}}, []PlannedHire{{Offer: large, Count: 1}}},
		{"what one offer may not give, the next does", Situation{Offers: []Priced{{large, 3, 1}, {small, 1, 2}, {ordinary, 3, 0}},
			Waiting: []Group{{Size: four, Count: 8, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: large, Count: 1}, {Offer: small, Count: 2}}},
		{"more than a call's worth where the offer has given before", Situation{Offers: []Priced{{large, 3, 200}},
			Waiting: []Group{{Size: four, Count: 480, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: large, Count: 120}}},
		{"the bound on machines holds", Situation{MaxMachines: 3, Machines: 2,
			Waiting: []Group{{Size: four, Count: 80, Run: time.Minute, Allows: any}}}, []PlannedHire{{Offer: large, Count: 1}}},
		{"warm cores up to the learned demand", Situation{Cores: 4, Headroom: 12, Sizes: []slowfit.Size{four}}, []PlannedHire{{Offer: small, Count: 2}}},
		{"a size that nothing on offer holds leaves the next to choose", Situation{Headroom: 4, Sizes: []slowfit.Size{{CPUs: 99}, four}}, []PlannedHire{{Offer: small, Count: 1}}},
		{"enough is warm", Situation{Cores: 12, Headroom: 12, Sizes: []slowfit.Size{four}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.s.Types = types
			if c.s.Offers == nil {
				c.s.Offers = offers
			}
			got := Plan(c.s)
			if len(got) != len(c.want) {
				t.Fatalf("hires %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i].Offer != c.want[i].Offer || got[i].Count != c.want[i].Count {
					t.Errorf("wish %v, want %v", got[i], c.want[i])
				}
			}
		})
	}
}

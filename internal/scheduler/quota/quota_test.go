package quota

import (
	"math"
	"testing"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

func testTeams() Teams {
	return NewTeams([]settings.Team{
		{Name: "free"},
		{Name: "guaranteed", CPUs: 8, GPUs: 1},
		{Name: "limited", CPUsMax: 4, GPUsMax: 2},
	})
}

func TestUnitsAreExact(t *testing.T) {
	sum := Units{}
	for range 10 {
		sum = sum.Plus(UnitsOf(slowfit.Size{CPUs: 0.1}))
	}
	if sum != UnitsOf(slowfit.Size{CPUs: 1}) {
		t.Errorf("ten tenths of a core are %v, want %v", sum, UnitsOf(slowfit.Size{CPUs: 1}))
	}
	if got := sum.Minus(UnitsOf(slowfit.Size{CPUs: 0.1}).Times(10)); !got.IsZero() {
		t.Errorf("left of ten tenths: %v, want none", got)
	}
	if got := UnitsOf(slowfit.Size{CPUs: 2.5}).Cores(); got != 2.5 {
		t.Errorf("cores: %v, want 2.5", got)
	}
}

func TestIndexOfAnUnknownTeam(t *testing.T) {
	teams := testTeams()
	if got := teams.Index("limited"); got != 2 {
		t.Errorf("index of a known team: %d, want 2", got)
	}
	unknown := teams.Index("gone")
	if int(unknown) != teams.Len()-1 {
		t.Errorf("index of an unknown team: %d, want the last of %d", unknown, teams.Len())
	}
	if !teams.Team(unknown).AllowsAnother(slowfit.Size{CPUs: 1e6}, Units{}) {
		t.Error("an unknown team has a limit")
	}
	if teams.Team(unknown).WithinGuarantee(Units{}) {
		t.Error("an unknown team has a guarantee")
	}
}

func TestLimit(t *testing.T) {
	one := slowfit.Size{CPUs: 1}
	for _, test := range []struct {
		name      string
		allocated int
		uncertain int
		want      bool
	}{
		{"none used", 0, 0, true},
		{"one is left", 3, 0, true},
		{"all allocated", 4, 0, false},
		{"the rest is uncertain use", 2, 2, false},
		{"one is left besides the uncertain use", 2, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			teams := testTeams()
			team := teams.Team(teams.Index("limited"))
			for range test.allocated {
				team.Allocate(one)
			}
			if got := team.AllowsAnother(one, UnitsOf(one).Times(test.uncertain)); got != test.want {
				t.Errorf("another task allowed: %t, want %t", got, test.want)
			}
		})
	}
}

func TestLimitOfEachResource(t *testing.T) {
	teams := testTeams()
	team := teams.Team(teams.Index("limited"))
	if !team.AllowsAnother(slowfit.Size{CPUs: 4, GPUs: 2}, Units{}) {
		t.Error("a task of the whole limit is not allowed")
	}
	if team.AllowsAnother(slowfit.Size{CPUs: 1, GPUs: 3}, Units{}) {
		t.Error("a task with too many GPUs is allowed")
	}
	if cores, limited := team.CPULimit(); cores != 4 || !limited {
		t.Errorf("limit of cores: %v, %t, want 4, true", cores, limited)
	}
	if _, limited := teams.Team(teams.Index("free")).CPULimit(); limited {
		t.Error("a team without a limit is limited")
	}
}

func TestAdditionalTasks(t *testing.T) {
	teams := testTeams()
	for _, test := range []struct {
		name string
		team string
		size slowfit.Size
		used slowfit.Size
		want int
	}{
		{"no limit", "free", slowfit.Size{CPUs: 1}, slowfit.Size{CPUs: 100}, math.MaxInt32},
		{"by CPUs", "limited", slowfit.Size{CPUs: 1}, slowfit.Size{CPUs: 1}, 3},
		{"by GPUs", "limited", slowfit.Size{CPUs: 1, GPUs: 1}, slowfit.Size{}, 2},
		{"a part of a task is left", "limited", slowfit.Size{CPUs: 1.5}, slowfit.Size{CPUs: 1}, 2},
		{"use exceeds the limit", "limited", slowfit.Size{CPUs: 1}, slowfit.Size{CPUs: 6}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := teams.Team(teams.Index(test.team)).AdditionalTasks(test.size, UnitsOf(test.used)); got != test.want {
				t.Errorf("%d additional tasks, want %d", got, test.want)
			}
		})
	}
}

func TestGuarantee(t *testing.T) {
	teams := testTeams()
	team := teams.Team(teams.Index("guaranteed"))
	for _, test := range []struct {
		name   string
		demand slowfit.Size
		want   bool
	}{
		{"demand equals the guarantee", slowfit.Size{CPUs: 8, GPUs: 1}, true},
		{"too many CPUs", slowfit.Size{CPUs: 8.1}, false},
		{"too many GPUs", slowfit.Size{CPUs: 1, GPUs: 2}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := team.WithinGuarantee(UnitsOf(test.demand)); got != test.want {
				t.Errorf("within the guarantee: %t, want %t", got, test.want)
			}
		})
	}
}

func TestUnusedGuarantee(t *testing.T) {
	teams := testTeams()
	team := teams.Team(teams.Index("guaranteed"))
	size := slowfit.Size{CPUs: 3}
	for _, want := range []float64{8, 5, 2, 0} {
		if got := team.UnusedGuarantee(); got != want {
			t.Errorf("unused with %v allocated: %v, want %v", team.Allocated(), got, want)
		}
		team.Allocate(size)
	}
	team.Deallocate(size)
	team.Deallocate(size)
	if got := team.UnusedGuarantee(); got != 2 {
		t.Errorf("unused after two allocations have been released: %v, want 2", got)
	}
}

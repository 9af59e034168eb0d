package settings

import (
	"errors"
	"os"
	"testing"
	"time"

	"leadproxy/internal/rollout"
)

// TestRolloutFiles checks that the example files of the rollout settings and of a plan are valid,
// and that rollouts are disabled by default.
func TestRolloutFiles(t *testing.T) {
	text, err := os.ReadFile("../../deploy/drain.ini")
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator("drain.ini", string(text))
	if err != nil || !operator.Rollouts.Enabled || operator.Rollouts.Budgets.TeamDefault != (rollout.Budget{Jobs: 2, Window: time.Minute}) {
		t.Errorf("deploy/drain.ini: read %+v, %v, want rollouts enabled and a budget of 2 jobs with a window of 1 minute", operator.Rollouts, err)
	}
	if Defaults().Rollouts.Enabled {
		t.Error("rollouts are enabled by default")
	}
	if text, err = os.ReadFile("../../deploy/drain-plan.ini"); err != nil {
		t.Fatal(err)
	}
	if spec, err := rollout.ParseSpec(string(text)); err != nil || spec.Name != "winter-image" || !spec.Surge {
		t.Errorf("deploy/drain-plan.ini: read %+v, %v, want plan winter-image with surge", spec, err)
	}
}

// TestBudgets checks that a key which is missing in a budget's section has its value in [budget],
// that invalid budgets are rejected, and that a budget of an unknown team is a conflict.
func TestBudgets(t *testing.T) {
	operator, err := ParseOperator("b.ini", "[budget]\njobs = 3\nwindow_s = 10\n[budget.team.a]\nshare = 25%\n[budget.class.c]\njobs = none\n")
	if err != nil {
		t.Fatal(err)
	}
	want := map[rollout.Group]rollout.Budget{rollout.TeamGroup("a"): {Share: 0.25, Window: 10 * time.Second}, rollout.ClassGroup("c"): {Window: 10 * time.Second}}
	for group, budget := range want {
		if operator.Rollouts.Budgets.ByGroup[group] != budget {
			t.Errorf("budget of %s is %+v, want its own jobs or share and the window of [budget]", group, operator.Rollouts.Budgets.ByGroup[group])
		}
	}
	for _, invalid := range []string{"[budget]\njobs = 0", "[budget]\njobs = -1", "[budget]\njobs = 1.5", "[budget]\nshare = 0%", "[budget]\nshare = 101%", "[budget]\nshare = 10",
		"[budget]\njobs = 1\nshare = 10%", "[budget.teams.a]\njobs = 1", "[budget.team.]\njobs = 1", "[budget]\njob = 1", "[drain]\nenabled = maybe", "[drain]\nsurge = yes"} {
		if _, err := ParseOperator("b.ini", invalid); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
	}
	platform := &Platform{Facts: Facts{Teams: []Team{{Name: "b"}}}}
	if err := CheckBudgets(platform, operator); !errors.Is(err, ErrConflict) {
		t.Errorf("a budget of an unknown team returned %v, want ErrConflict", err)
	}
	platform.Facts.Teams[0].Name = "a"
	if err := CheckBudgets(platform, operator); err != nil {
		t.Error(err)
	}
}

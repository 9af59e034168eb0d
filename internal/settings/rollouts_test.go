package settings

import (
	"errors"
	"os"
	"testing"
	"time"

	"leadproxy/internal/rollout"
)

// TestRolloutFiles: the files that operators start from are valid, and rollouts are not enabled
// by default.
func TestRolloutFiles(t *testing.T) {
	text, err := os.ReadFile("../../deploy/drain.ini")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator("drain.ini", string(text))
	if err != nil || !o.Rollouts.Enabled || o.Rollouts.Budgets.TeamDefault != (rollout.Budget{Jobs: 2, Window: time.Minute}) {
		t.Errorf("%+v, %v", o.Rollouts, err)
	}
	if Defaults().Rollouts.Enabled {
		t.Error("rollouts are enabled by default")
	}
	if text, err = os.ReadFile("../../deploy/drain-plan.ini"); err != nil {
		t.Fatal(err)
	}
	if s, err := rollout.ParseSpec(string(text)); err != nil || s.Name != "winter-image" || !s.Surge {
		t.Errorf("%+v, %v", s, err)
	}
}

// TestBudgets: a key that a budget leaves out has the general budget's value, and invalid budgets
// are refused.
func TestBudgets(t *testing.T) {
	o, err := ParseOperator("b.ini", "[budget]\njobs = 3\nwindow_s = 10\n[budget.team.a]\nshare = 25%\n[budget.class.c]\njobs = none\n")
	if err != nil {
		t.Fatal(err)
	}
	want := map[rollout.Group]rollout.Budget{rollout.TeamGroup("a"): {Share: 0.25, Window: 10 * time.Second}, rollout.ClassGroup("c"): {Window: 10 * time.Second}}
	for g, b := range want {
		if o.Rollouts.Budgets.ByGroup[g] != b {
			t.Errorf("%s: %+v", g, o.Rollouts.Budgets.ByGroup[g])
		}
	}
	for _, wrong := range []string{"[budget]\njobs = 0", "[budget]\njobs = -1", "[budget]\njobs = 1.5", "[budget]\nshare = 0%", "[budget]\nshare = 101%", "[budget]\nshare = 10",
		"[budget]\njobs = 1\nshare = 10%", "[budget.teams.a]\njobs = 1", "[budget.team.]\njobs = 1", "[budget]\njob = 1", "[drain]\nenabled = maybe", "[drain]\nsurge = yes"} {
		if _, err := ParseOperator("b.ini", wrong); err == nil {
			t.Errorf("%q is accepted", wrong)
		}
	}
	p := &Platform{Facts: Facts{Teams: []Team{{Name: "b"}}}}
	if err := CheckBudgets(p, o); !errors.Is(err, ErrConflict) {
		t.Errorf("a budget of an unknown team is accepted: %v", err)
	}
	p.Facts.Teams[0].Name = "a"
	if err := CheckBudgets(p, o); err != nil {
		t.Error(err)
	}
}

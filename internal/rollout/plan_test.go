package rollout

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestParseSpec: what a plan may say, and what is refused before anything moves.
func TestParseSpec(t *testing.T) {
	s, err := ParseSpec("[plan]\nname = winter\nzones = b, a\ncanary = 2\nbatch = 10%\nsurge = yes\ndeadline_s = 3600\n")
	if err != nil || s.Name != "winter" || strings.Join(s.Zones, " ") != "a b" || s.Share != 0.1 || !s.Surge || s.size(0, 100) != 2 || s.size(1, 98) != 9 || s.size(5, 3) != 1 {
		t.Errorf("%+v, %v", s, err)
	}
	for _, wrong := range []string{
		"name = winter",                     // selects nothing
		"zones = a",                         // has no name
		"name = Winter\nzones = a",          // no such name
		"name = w\nzones = a\nbatch = 0",    // no machine a step
		"name = w\nzones = a\nbatch = 0%",   // no machine a step
		"name = w\nzones = a\nbatch = 101%", // more than there are
		"name = w\nzones = a\nbatch = 1000",
		"name = w\nzones = a\nsurge = perhaps",
		"name = w\nzones = a\nwait_s = -1",
		"name = w\nzones = a\ncheck_s = 60\nhealth_s = 10", // could never be healthy
		"name = w\nzones = a\nzone = b",
		"name = w\nmachines = " + strings.Repeat("vm-1,", 1) + strings.Join(strings.Fields(strings.Repeat("vm ", 3)), ",") + "\n[other]\nkey = 1",
	} {
		if _, err := ParseSpec("[plan]\n" + wrong); !errors.Is(err, ErrPlan) {
			t.Errorf("%q: %v", wrong, err)
		}
	}
}

// TestLoweredBudget: a budget that was lowered below what is disrupted already holds
// everything back until that is whole again.
func TestLoweredBudget(t *testing.T) {
	budgets := Budgets{General: Budget{Jobs: 1, Window: time.Minute}}
	a := NewAccount(budgets)
	running := func(Group) int { return 10 }
	for _, ref := range []string{"job-1", "job-2"} {
		a.Lose(Job{ref, "t", "c"}, 0, 10*time.Second, "machine lost", 0)
	}
	for _, ref := range []string{"job-1", "job-3"} {
		if ok, why := a.May(Job{ref, "t", "c"}, running, time.Second); ok || !strings.Contains(why, "of 1 jobs") {
			t.Errorf("%s may be moved: %s", ref, why)
		}
	}
	a.Runs("job-1", 0, 20*time.Second)
	a.Over("job-2", 30*time.Second)
	a.Tick(40 * time.Second)
	if a.Disrupted("job-1") || a.Disrupted("job-2") || a.Used(TeamGroup("t"), 40*time.Second) != 2 {
		t.Errorf("%+v", a.Entries(40*time.Second))
	}
	a.Tick(2 * time.Minute)
	if ok, why := a.May(Job{"job-3", "t", "c"}, running, 2*time.Minute); !ok {
		t.Error(why)
	}
}

// TestSteering: commands that do not fit are refused, and a skipped machine is no longer
// cordoned.
func TestSteering(t *testing.T) {
	never := func(string, int) bool { return false }
	r := NewRollout(Record{Version: RecordVersion, Spec: Spec{Name: "w"}, Phase: Draining, Batch: []string{"vm-1", "vm-2"}}, NewAccount(Budgets{}), never, 0, 0)
	if !r.Cordons("vm-1") || r.Steer(Skip, "", 0) == nil || r.Steer("stop", "", 0) == nil || r.Steer(Skip, "vm-1", 0) != nil || r.Cordons("vm-1") || !r.Cordons("vm-2") {
		t.Errorf("%+v", r.record)
	}
	if r.Durable() {
		t.Error("a command counts before it is written")
	}
	if err := r.Steer(Abort, "", 0); err != nil || r.Cordons("vm-2") {
		t.Errorf("%+v, %v", r.record, err)
	}
	if err := r.Steer(Resume, "", 0); !errors.Is(err, ErrCommand) {
		t.Error(err)
	}
	for _, wrong := range []Record{{}, {Version: RecordVersion, Phase: "waiting"}, {Version: RecordVersion, Phase: Choosing, Spec: Spec{Name: "x"}}} {
		if wrong.Check("w") == nil {
			t.Errorf("%+v is taken", wrong)
		}
	}
}

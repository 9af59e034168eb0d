package rollout

import (
	"errors"
	"strings"
	"testing"
)

// TestParseSpec: a plan is read, and an invalid one is refused.
func TestParseSpec(t *testing.T) {
	spec, err := ParseSpec("[plan]\nname = winter\nzones = b, a\ncanary = 2\nbatch = 10%\nsurge = yes\ndeadline_s = 3600\n")
	if err != nil || spec.Name != "winter" || strings.Join(spec.Zones, " ") != "a b" || spec.Share != 0.1 || !spec.Surge || spec.batchSize(0, 100) != 2 || spec.batchSize(1, 98) != 9 || spec.batchSize(5, 3) != 1 {
		t.Errorf("%+v, %v", spec, err)
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
		if _, err := ParseSpec("[plan]\n" + wrong); !errors.Is(err, ErrInvalidPlan) {
			t.Errorf("%q: %v", wrong, err)
		}
	}
}

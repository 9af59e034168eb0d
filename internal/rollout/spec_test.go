package rollout

import (
	"errors"
	"strings"
	"testing"
)

// TestParseSpec checks that a valid plan is parsed and that invalid ones are refused.
func TestParseSpec(t *testing.T) {
	spec, err := ParseSpec("[plan]\nname = winter\nzones = b, a\ncanary = 2\nbatch = 10%\nsurge = yes\ndeadline_s = 3600\n")
	if err != nil || spec.Name != "winter" || strings.Join(spec.Zones, " ") != "a b" || spec.Share != 0.1 || !spec.Surge || spec.batchSize(0, 100) != 2 || spec.batchSize(1, 98) != 9 || spec.batchSize(5, 3) != 1 {
		t.Errorf("parsed %+v with error %v, want the values in the text and no error", spec, err)
	}
	for _, text := range []string{
		"name = winter",                     // selects no machines
		"zones = a",                         // without a name
		"name = Winter\nzones = a",          // invalid name
		"name = w\nzones = a\nbatch = 0",    // steps without machines
		"name = w\nzones = a\nbatch = 0%",   // steps without machines
		"name = w\nzones = a\nbatch = 101%", // more than 100%
		"name = w\nzones = a\nbatch = 1000",
		"name = w\nzones = a\nsurge = perhaps",
		"name = w\nzones = a\nwait_s = -1",
		"name = w\nzones = a\ncheck_s = 60\nhealth_s = 10", // replacements could never be healthy in time
		"name = w\nzones = a\nzone = b",
		"name = w\nmachines = " + strings.Repeat("vm-1,", 1) + strings.Join(strings.Fields(strings.Repeat("vm ", 3)), ",") + "\n[other]\nkey = 1",
	} {
		if _, err := ParseSpec("[plan]\n" + text); !errors.Is(err, ErrInvalidPlan) {
			t.Errorf("%q: %v, want ErrInvalidPlan", text, err)
		}
	}
}

package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestParseOperator checks that the error for an unknown key or an invalid value names it and its
// line.
func TestParseOperator(t *testing.T) {
	cases := []struct {
		name, text, bad string
		line            int
	}{
		{"an empty file", "", "", 0},
		{"known keys", "[leadership]\nlease_s = 4\n[fleet]\nmax_machines = 10\n", "", 0},
		{"an unknown key", "[fleet]\n\nidle = 4\n", "fleet.idle", 3},
		{"an unknown section", "[flee]\nmax_machines = 4\n", "flee.max_machines", 2},
		{"out of range", "[leadership]\n; short\nlease_s = 0.1\n", "between 1 and 60", 3},
		{"not a number", "[placement]\nc = five\n", "placement.c", 2},
		{"a fraction instead of an integer", "[fleet]\nmax_machines = 1.5\n", "whole", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator("o.ini", c.text)
			if c.bad == "" {
				if err != nil {
					t.Errorf("valid file rejected: %v", err)
				}
				return
			}
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || !strings.Contains(err.Error(), c.bad) || fieldError.Line != c.line {
				t.Errorf("error %v, want one that contains %q, in line %d", err, c.bad, c.line)
			}
		})
	}
	if operator, _ := ParseOperator("o.ini", "[leadership]\nlease_s = 4\n"); operator.LeaderLease != 4*time.Second {
		t.Errorf("lease_s = 4 was read as %v", operator.LeaderLease)
	}
}

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
		{"a metrics port", "[metrics]\naddress = 9464\n", "", 0},
		{"a metrics address", "[metrics]\naddress = 10.0.0.1:9464\n", "", 0},
		{"a metrics address without a port", "[metrics]\naddress = 10.0.0.1\n", "metrics.address", 2},
		{"a metrics address by name", "[metrics]\naddress = localhost:9464\n", "an IP address and such a port", 2},
		{"an empty metrics address", "[metrics]\naddress =\n", "metrics.address", 2},
		{"metrics on any port", "[metrics]\naddress = 0\n", "metrics.address", 2},
		{"a metrics port out of range", "[metrics]\naddress = 65536\n", "metrics.address", 2},
		{"an unknown metrics key", "[metrics]\nport = 9464\n", "metrics.port", 2},
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

// TestMetricsAddress checks the address that a value stands for, and that it is refused if the
// platform uses it.
func TestMetricsAddress(t *testing.T) {
	platform := &Platform{PublicAddr: "10.0.0.1:8080", PeerAddr: "10.0.0.1:8081"}
	cases := []struct {
		value, want string
		conflict    bool
	}{
		{"9464", "127.0.0.1:9464", false},
		{"127.0.0.1:9464", "127.0.0.1:9464", false},
		{"10.0.0.1:9464", "10.0.0.1:9464", false},
		{"[::1]:9464", "[::1]:9464", false},
		{"8080", "127.0.0.1:8080", false},
		{"10.0.0.1:8080", "10.0.0.1:8080", true},
		{"10.0.0.1:8081", "10.0.0.1:8081", true},
	}
	for _, c := range cases {
		t.Run(c.value, func(t *testing.T) {
			operator, err := ParseOperator("o.ini", "[metrics]\naddress = "+c.value+"\n")
			if err != nil || operator.MetricsAddress != c.want {
				t.Errorf("address %q, %v, want %q", operator.MetricsAddress, err, c.want)
			}
			if err := CheckMetrics(platform, operator); errors.Is(err, ErrConflict) != c.conflict {
				t.Errorf("CheckMetrics returned %v, want a conflict: %t", err, c.conflict)
			}
		})
	}
	if err := CheckMetrics(platform, Defaults()); err != nil {
		t.Errorf("CheckMetrics returned %v for the defaults, want nil", err)
	}
}

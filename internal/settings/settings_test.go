package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const platform = `
host_name = "worker-0"
site = "a"
public_addr = "10.0.0.1:8080"
back = "10.0.0.1:8081"
colour = "red"
[[others]]
host_name = "worker-1"
site = "b"
endpoint = "10.0.0.2:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 2
[[facts.teams]]
name = "t"
cpus = 4.0
[facts.workers]
report_s = 3.0
lease_s = 36.0
cancel_s = 56.0
`

func TestParsePlatform(t *testing.T) {
	cases := []struct{ name, old, new, bad string }{
		{"as the platform writes it, with a field that we don't know", "", "", ""},
		{"no name", `host_name = "worker-0"`, "", "host_name"},
		{"an address without a port", "10.0.0.1:8080", "10.0.0.1", "public_addr"},
		{"a name for an address", "10.2.0.1:2379", "store:2379", "services.state"},
		{"two nodes of one name", `"worker-1"`, `"worker-0"`, "others[0].host_name"},
		{"a negative guarantee", "cpus = 4.0", "cpus = -4.0", "facts.teams[0].cpus"},
		{"no lease", "lease_s = 36.0", "lease_s = 0.0", "facts.workers.lease_s"},
		{"a text for a number", "lease_s = 36.0", `lease_s = "long"`, "lease_s"},
		{"limits that will fall", "[facts.workers]", "[facts.state.next]\nwrite_rps = 20.0\nvalue_kb = 2.0\ntxn_ops = 6\n[facts.workers]", ""},
		{"values of no size", "[facts.workers]", "[facts.state.next]\nvalue_kb = -2.0\n[facts.workers]", "facts.state.next.value_kb"},
		{"transactions of one change", "[facts.workers]", "[facts.state.next]\ntxn_ops = 1\n[facts.workers]", "facts.state.next.txn_ops"},
		{"broken TOML", "nodes = 2", "nodes = ", "p.toml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParsePlatform("p.toml", strings.Replace(platform, c.old, c.new, 1))
			if c.bad == "" && err != nil || c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad)) {
				t.Errorf("error %v, want one on %q", err, c.bad)
			}
		})
	}
}

// TestNextLimits: what is not announced stays as it is.
func TestNextLimits(t *testing.T) {
	p, err := ParsePlatform("p.toml", strings.Replace(platform, "[facts.workers]", "[facts.state]\nrps = 90.0\nwrite_rps = 30.0\n[facts.state.next]\nwrite_rps = 20.0\n[facts.workers]", 1))
	if err != nil {
		t.Fatal(err)
	}
	if n := p.Facts.State.Next; n == nil || n.WriteRPS != 20 || n.RPS != 90 || n.ValueKB != 16 || n.TxnOps != 16 {
		t.Errorf("next limits: %+v", n)
	}
}

func TestParseOperator(t *testing.T) {
	cases := []struct {
		name, text, bad string
		line            int
	}{
		{"nothing", "", "", 0},
		{"known keys", "[leadership]\nlease_s = 4\n[fleet]\nmax_machines = 10\n", "", 0},
		{"an unknown key", "[fleet]\n\nidle = 4\n", "fleet.idle", 3},
		{"an unknown section", "[flee]\nmax_machines = 4\n", "flee.max_machines", 2},
		{"out of range", "[leadership]\n; short\nlease_s = 0.1\n", "between 1 and 60", 3},
		{"not a number", "[placement]\nc = five\n", "placement.c", 2},
		{"a fraction where none goes", "[fleet]\nmax_machines = 1.5\n", "whole", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOperator("o.ini", c.text)
			if c.bad == "" {
				if err != nil {
					t.Errorf("refused: %v", err)
				}
				return
			}
			var fe *FieldError
			if !errors.As(err, &fe) || !strings.Contains(err.Error(), c.bad) || fe.Line != c.line {
				t.Errorf("error %v, want one on %q in line %d", err, c.bad, c.line)
			}
		})
	}
	if o, _ := ParseOperator("o.ini", "[leadership]\nlease_s = 4\n"); o.LeaderLease != 4*time.Second {
		t.Errorf("lease_s not taken: %v", o.LeaderLease)
	}
}

package settings

import (
	"strings"
	"testing"
)

const platformText = `
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
		{"as the platform writes it, with an unknown field", "", "", ""},
		{"no name", `host_name = "worker-0"`, "", "host_name"},
		{"an address without a port", "10.0.0.1:8080", "10.0.0.1", "public_addr"},
		{"a name for an address", "10.2.0.1:2379", "store:2379", "services.state"},
		{"two controllers of one name", `"worker-1"`, `"worker-0"`, "others[0].host_name"},
		{"a negative guarantee", "cpus = 4.0", "cpus = -4.0", "facts.teams[0].cpus"},
		{"no lease", "lease_s = 36.0", "lease_s = 0.0", "facts.workers.lease_s"},
		{"a text for a number", "lease_s = 36.0", `lease_s = "long"`, "lease_s"},
		{"announced limits", "[facts.workers]", "[facts.state.next]\nwrite_rps = 20.0\nvalue_kb = 2.0\ntxn_ops = 6\n[facts.workers]", ""},
		{"a negative size of values", "[facts.workers]", "[facts.state.next]\nvalue_kb = -2.0\n[facts.workers]", "facts.state.next.value_kb"},
		{"transactions of one operation", "[facts.workers]", "[facts.state.next]\ntxn_ops = 1\n[facts.workers]", "facts.state.next.txn_ops"},
		{"broken TOML", "nodes = 2", "nodes = ", "p.toml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParsePlatform("p.toml", strings.Replace(platformText, c.old, c.new, 1))
			if c.bad == "" && err != nil || c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad)) {
				t.Errorf("error %v, want one on %q", err, c.bad)
			}
		})
	}
}

// TestAnnouncedLimits: a limit that is not announced keeps its present value.
func TestAnnouncedLimits(t *testing.T) {
	p, err := ParsePlatform("p.toml", strings.Replace(platformText, "[facts.workers]", "[facts.state]\nrps = 90.0\nwrite_rps = 30.0\n[facts.state.next]\nwrite_rps = 20.0\n[facts.workers]", 1))
	if err != nil {
		t.Fatal(err)
	}
	if n := p.Facts.Store.Next; n == nil || n.WriteRPS != 20 || n.RPS != 90 || n.ValueKB != 16 || n.TxnOps != 16 {
		t.Errorf("announced limits: %+v", n)
	}
}

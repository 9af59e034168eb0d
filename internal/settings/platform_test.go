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

// TestParsePlatform checks that unknown fields are ignored, and that the error for an invalid value
// names the field.
func TestParsePlatform(t *testing.T) {
	cases := []struct{ name, old, new, bad string }{
		{"valid, with an unknown field", "", "", ""},
		{"without a name", `host_name = "worker-0"`, "", "host_name"},
		{"an address without a port", "10.0.0.1:8080", "10.0.0.1", "public_addr"},
		{"a host name instead of an IP address", "10.2.0.1:2379", "store:2379", "services.state"},
		{"two controllers with the same name", `"worker-1"`, `"worker-0"`, "others[0].host_name"},
		{"a negative guarantee", "cpus = 4.0", "cpus = -4.0", "facts.teams[0].cpus"},
		{"a lease of 0 s", "lease_s = 36.0", "lease_s = 0.0", "facts.workers.lease_s"},
		{"a string instead of a number", "lease_s = 36.0", `lease_s = "long"`, "lease_s"},
		{"announced limits", "[facts.workers]", "[facts.state.next]\nwrite_rps = 20.0\nvalue_kb = 2.0\ntxn_ops = 6\n[facts.workers]", ""},
		{"a negative value size", "[facts.workers]", "[facts.state.next]\nvalue_kb = -2.0\n[facts.workers]", "facts.state.next.value_kb"},
		{"transactions limited to one operation", "[facts.workers]", "[facts.state.next]\ntxn_ops = 1\n[facts.workers]", "facts.state.next.txn_ops"},
		{"invalid TOML", "nodes = 2", "nodes = ", "p.toml:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParsePlatform("p.toml", strings.Replace(platformText, c.old, c.new, 1))
			if c.bad == "" && err != nil || c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad)) {
				t.Errorf("error %v, want one that contains %q (no error if empty)", err, c.bad)
			}
		})
	}
}

// TestAnnouncedLimits checks that an announced limit which is left out has its present value.
func TestAnnouncedLimits(t *testing.T) {
	platform, err := ParsePlatform("p.toml", strings.Replace(platformText, "[facts.workers]", "[facts.state]\nrps = 90.0\nwrite_rps = 30.0\n[facts.state.next]\nwrite_rps = 20.0\n[facts.workers]", 1))
	if err != nil {
		t.Fatal(err)
	}
	if next := platform.Facts.Store.Next; next == nil || next.WriteRPS != 20 || next.RPS != 90 || next.ValueKB != 16 || next.TxnOps != 16 {
		t.Errorf("announced limits %+v, want 20 writes/s and otherwise the present limits", next)
	}
}

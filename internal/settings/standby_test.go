package settings

import (
	"os"
	"testing"
)

// TestStandby checks that the example file of the section [standby] is valid, that following is
// disabled by default, and that invalid sections are rejected.
func TestStandby(t *testing.T) {
	text, err := os.ReadFile("../../deploy/standby.ini")
	if err != nil {
		t.Fatal(err)
	}
	operator, err := ParseOperator("standby.ini", string(text))
	if err != nil || !operator.Standby.Follow || operator.Standby.MaxMB != 64 {
		t.Errorf("deploy/standby.ini: read %+v, %v, want follow and 64 MB", operator.Standby, err)
	}
	if Defaults().Standby.Follow {
		t.Error("following is enabled by default")
	}
	for _, invalid := range []string{"follow = maybe", "max_mb = 0", "max_mb = lots", "warm = yes", "hints = yes", "follow = yes\nhints = perhaps"} {
		if _, err := ParseOperator("standby.ini", "[standby]\n"+invalid); err == nil {
			t.Errorf("%q is accepted", invalid)
		}
	}
}

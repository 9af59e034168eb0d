package settings

import (
	"os"
	"testing"
)

// TestStandby: the section is read, and its file is valid.
func TestStandby(t *testing.T) {
	text, err := os.ReadFile("../../deploy/standby.ini")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator("standby.ini", string(text))
	if err != nil || !o.Standby.Follow || o.Standby.MaxMB != 64 {
		t.Errorf("%+v, %v", o.Standby, err)
	}
	if Defaults().Standby.Follow {
		t.Error("standbys follow by default")
	}
	for _, wrong := range []string{"follow = maybe", "max_mb = 0", "max_mb = lots", "warm = yes", "hints = yes", "follow = yes\nhints = perhaps"} {
		if _, err := ParseOperator("standby.ini", "[standby]\n"+wrong); err == nil {
			t.Errorf("%q is accepted", wrong)
		}
	}
}

package failoverreport

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const earlierLog = `time=2026-12-02T10:23:00.105Z level=INFO msg=serving node=n1
time=2026-12-02T10:23:00.105Z level=INFO msg=takeover term=1015 warm=true view_s=0.008 decided_s=0.26 settled_s=1.5 jobs=1000 machines=12
time=2026-12-02T10:22:00.105Z level=INFO msg=takeover term=900 warm=false view_s=0.5 decided_s=0.76 settled_s=2.5 jobs=990 machines=11
`

// currentLog has the lines of earlierLog as this version logs them.
const currentLog = `time=2026-12-02T10:23:00.105Z level=INFO msg=serving node=n1
time=2026-12-02T10:23:00.105Z level=INFO msg="failover completed" leader_term=1015 from_standby=true ledger_known_s=0.008 first_decision_s=0.26 resolved_s=1.5 jobs=1000 machines=12
time=2026-12-02T10:22:00.105Z level=INFO msg="failover completed" leader_term=900 from_standby=false ledger_known_s=0.5 first_decision_s=0.76 resolved_s=2.5 jobs=990 machines=11
`

// TestReadLogFormats: lines of this version and of earlier ones say the same.
func TestReadLogFormats(t *testing.T) {
	earlier, err := readLog(strings.NewReader(earlierLog))
	if err != nil {
		t.Fatal(err)
	}
	current, err := readLog(strings.NewReader(currentLog))
	if err != nil {
		t.Fatal(err)
	}
	if len(current) != 2 || !slices.Equal(earlier, current) {
		t.Errorf("earlier form: %+v, current form: %+v", earlier, current)
	}
}

// TestReport: the page of some logs has the percentiles and the plots.
func TestReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.log")
	if err := os.WriteFile(file, []byte(earlierLog), 0o600); err != nil {
		t.Fatal(err)
	}
	all, err := ReadLogs(file)
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 2 || all[0].Term != 900 || all[0].FromStandby || all[1].ViewReady != 0.008 || all[1].Machines != 12 {
		t.Errorf("read %+v", all)
	}
	var page bytes.Buffer
	if err := WritePage(&page, all); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 failovers", "0.760", "until no host was in doubt", "standby&#39;s replica"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != len(Phases)+len(sizeAxes) {
		t.Errorf("%d plots, want %d", n, len(Phases)+len(sizeAxes))
	}
}

// FuzzReadLog: any text is read or refused.
func FuzzReadLog(f *testing.F) {
	f.Add([]byte(earlierLog))
	f.Add([]byte(currentLog))
	f.Add([]byte("time=x msg=takeover term=1 warm=true view_s=1 decided_s=1 settled_s=1 jobs=1 machines=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := readLog(bytes.NewReader(text))
		if err != nil {
			return
		}
		for _, x := range all {
			if x.At.IsZero() && x.Term == 0 {
				t.Errorf("%+v", x)
			}
		}
	})
}

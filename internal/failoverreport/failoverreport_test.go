package failoverreport

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// earlierLog has lines in the format of earlier versions.
const earlierLog = `time=2026-12-02T10:23:00.105Z level=INFO msg=serving node=n1
time=2026-12-02T10:23:00.105Z level=INFO msg=takeover term=1015 warm=true view_s=0.008 decided_s=0.26 settled_s=1.5 jobs=1000 machines=12
time=2026-12-02T10:22:00.105Z level=INFO msg=takeover term=900 warm=false view_s=0.5 decided_s=0.76 settled_s=2.5 jobs=990 machines=11
`

// currentLog has the same lines as earlierLog, in the format of this version.
const currentLog = `time=2026-12-02T10:23:00.105Z level=INFO msg=serving node=n1
time=2026-12-02T10:23:00.105Z level=INFO msg="failover completed" leader_term=1015 from_standby=true ledger_known_s=0.008 first_decision_s=0.26 resolved_s=1.5 jobs=1000 machines=12
time=2026-12-02T10:22:00.105Z level=INFO msg="failover completed" leader_term=900 from_standby=false ledger_known_s=0.5 first_decision_s=0.76 resolved_s=2.5 jobs=990 machines=11
`

// TestReadLogFormats checks that the lines of earlier versions are read like those of this version:
// logs that span an upgrade have both.
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
		t.Errorf("earlier format: %+v, current format: %+v; want the same 2 failovers", earlier, current)
	}
}

// TestReport checks that a log is read in the order of time, and that the page has the percentiles
// and the plots.
func TestReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.log")
	if err := os.WriteFile(file, []byte(earlierLog), 0o600); err != nil {
		t.Fatal(err)
	}
	failovers, err := ReadLogs(file)
	if err != nil {
		t.Fatal(err)
	}
	if len(failovers) != 2 || failovers[0].Term != 900 || failovers[0].FromStandby || failovers[1].ViewReady != 0.008 || failovers[1].Machines != 12 {
		t.Errorf("read %+v, want terms 900 and 1015 with the values of the log", failovers)
	}
	var page bytes.Buffer
	if err := WritePage(&page, failovers); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 failovers", "0.760", "until no host was in doubt", "standby&#39;s replica"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if plots := strings.Count(page.String(), "<svg"); plots != len(Phases)+len(sizeAxes) {
		t.Errorf("%d plots, want %d", plots, len(Phases)+len(sizeAxes))
	}
}

// FuzzReadLog checks that any text is either read or rejected with an error: no panic, and no
// failover without a time and a term.
func FuzzReadLog(f *testing.F) {
	f.Add([]byte(earlierLog))
	f.Add([]byte(currentLog))
	f.Add([]byte("time=x msg=takeover term=1 warm=true view_s=1 decided_s=1 settled_s=1 jobs=1 machines=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		failovers, err := readLog(bytes.NewReader(text))
		if err != nil {
			return
		}
		for _, failover := range failovers {
			if failover.At.IsZero() && failover.Term == 0 {
				t.Errorf("failover without time and term: %+v", failover)
			}
		}
	})
}

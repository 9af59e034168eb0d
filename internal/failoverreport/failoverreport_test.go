package failoverreport

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const exampleLog = `time=2026-12-02T10:23:00.105Z level=INFO msg=serving node=n1
time=2026-12-02T10:23:00.105Z level=INFO msg=takeover term=1015 warm=true view_s=0.008 decided_s=0.26 settled_s=1.5 jobs=1000 machines=12
time=2026-12-02T10:22:00.105Z level=INFO msg=takeover term=900 warm=false view_s=0.5 decided_s=0.76 settled_s=2.5 jobs=990 machines=11
`

// TestReport: the page of some logs has the percentiles and the plots.
func TestReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.log")
	if err := os.WriteFile(file, []byte(exampleLog), 0o600); err != nil {
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
	f.Add([]byte(exampleLog))
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

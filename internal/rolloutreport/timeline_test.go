package rolloutreport

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// firstLog is the log of a controller that led first. Everything after the invalid line is ignored.
const firstLog = `time=2026-12-02T10:00:00.000Z level=INFO msg=draining plan=winter phase=choosing machines=20
time=2026-12-02T10:00:01.000Z level=INFO msg=draining plan=winter phase=draining paused=false step=1 batch=1 drained=0 why=""
time=2026-12-02T10:00:02.000Z level=INFO msg="job is disrupted" job=job-1 team=florist class=c cause=move seconds=1
time=2026-12-02T10:00:03.000Z level=INFO msg="something else" job=job-1
not a line of ours = "
time=2026-12-02T10:00:04.000Z level=INFO msg="returning machine" machine=vm-1 why=drained allocations=0 age=20
time=2026-12-02T10:00:05.000Z level=INFO msg="returning machine" machine=vm-2 why=idle allocations=0 age=20
`

// secondLog is the log of a controller that became the leader later. It logs the ongoing disruption
// of job-1 again.
const secondLog = `time=2026-12-02T10:00:06.000Z level=INFO msg="job is disrupted" job=job-1 team=florist class=c cause=move seconds=4
time=2026-12-02T10:00:07.000Z level=INFO msg="job is disrupted" job=job-2 team=florist class=c cause="its machine is lost" seconds=0
time=2026-12-02T10:00:09.000Z level=INFO msg="job is whole again" job=job-1 team=florist class=c cause=move
time=2026-12-02T10:00:10.000Z level=INFO msg="returning machine" machine=vm-1 why=drained allocations=0 age=26
`

// TestTimeline checks that the logs of two controllers are merged into one timeline, in which
// events that both logged count once, and that the page shows the timeline.
func TestTimeline(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"b.log": secondLog, "a.log": firstLog} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	timeline, err := ReadLogs(files...)
	if err != nil {
		t.Fatal(err)
	}
	if len(timeline.Phases) != 1 || len(timeline.Returns) != 1 || len(timeline.Disruptions) != 2 || timeline.MaxDisrupted("florist") != 2 {
		t.Fatalf("timeline %+v, want 1 phase change, 1 returned machine, and 2 disruptions at the same time", timeline)
	}
	if first := timeline.Disruptions[0]; first.Duration() != "8s" || timeline.Disruptions[1].Duration() != "not over" {
		t.Errorf("disruptions %+v, want one of 8s and one without end", timeline.Disruptions)
	}
	var out bytes.Buffer
	if err := WritePage(&out, timeline); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "vm-1", "its machine is lost", "winter"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if _, err := ReadLogs(filepath.Join(dir, "none")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v for a missing file, want fs.ErrNotExist", err)
	}
}

package reportcmd

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestRun checks that a report that fails halfway leaves the existing file unchanged.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.html")
	command := commandLine{Logs: []string{"a.log", "b.log"}, HTML: file}
	complete := Report{Write: func(page io.Writer, logs []string) error {
		_, err := io.WriteString(page, logs[0]+" "+logs[1])
		return err
	}}
	if err := command.run(complete); err != nil {
		t.Fatal(err)
	}
	errNoEvents := errors.New("the logs have no events")
	failing := Report{Write: func(page io.Writer, _ []string) error {
		io.WriteString(page, "half a page")
		return errNoEvents
	}}
	if err := command.run(failing); !errors.Is(err, errNoEvents) {
		t.Errorf("error %v, want the error of the failing report", err)
	}
	if text, err := os.ReadFile(file); err != nil || string(text) != "a.log b.log" {
		t.Errorf("file content %q, error %v, want the first report", text, err)
	}
}

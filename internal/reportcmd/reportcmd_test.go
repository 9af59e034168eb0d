package reportcmd

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestRun: a report that fails leaves the existing file unchanged.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.html")
	cl := commandLine{Logs: []string{"a.log", "b.log"}, HTML: file}
	complete := Report{Write: func(page io.Writer, logs []string) error {
		_, err := io.WriteString(page, logs[0]+" "+logs[1])
		return err
	}}
	if err := cl.run(complete); err != nil {
		t.Fatal(err)
	}
	errNoEvents := errors.New("the logs have no events")
	failing := Report{Write: func(page io.Writer, _ []string) error {
		io.WriteString(page, "half a page")
		return errNoEvents
	}}
	if err := cl.run(failing); !errors.Is(err, errNoEvents) {
		t.Errorf("%v, want the reason", err)
	}
	if text, err := os.ReadFile(file); err != nil || string(text) != "a.log b.log" {
		t.Errorf("the file has %q, %v", text, err)
	}
}

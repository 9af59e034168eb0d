package reportcmd

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestRun: a report that can't be made leaves the file that is there alone.
func TestRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "page.html")
	cl := commandLine{Logs: []string{"a.log", "b.log"}, HTML: file}
	whole := Report{Write: func(page io.Writer, logs []string) error {
		_, err := io.WriteString(page, logs[0]+" "+logs[1])
		return err
	}}
	if err := cl.run(whole); err != nil {
		t.Fatal(err)
	}
	nothing := errors.New("the logs tell of nothing")
	broken := Report{Write: func(page io.Writer, _ []string) error {
		io.WriteString(page, "half a page")
		return nothing
	}}
	if err := cl.run(broken); !errors.Is(err, nothing) {
		t.Errorf("%v, want the reason", err)
	}
	if text, err := os.ReadFile(file); err != nil || string(text) != "a.log b.log" {
		t.Errorf("the file has %q, %v", text, err)
	}
}

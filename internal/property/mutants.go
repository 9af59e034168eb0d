package property

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a version of a package in which a text of one file, usually a safety check, is replaced
// once.
type Mutant struct{ Name, File, From, To string }

// CatchMutants runs the tests of a package that match a pattern against each mutant. A mutant that
// no test fails for shows that the replaced code is not tested. It has to be called in the package's
// directory.
func CatchMutants(t *testing.T, pattern string, mutants []Mutant, flags ...string) {
	t.Helper()
	for _, m := range mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			arguments := append([]string{"test", "-overlay", m.overlay(t), "-run", pattern, "."}, flags...)
			out, err := exec.Command("go", arguments...).CombinedOutput()
			if err == nil {
				t.Error("no test fails")
			} else if !strings.Contains(string(out), "--- FAIL: ") {
				t.Errorf("go test fails, but no test does: %s", out)
			}
		})
	}
}

// overlay writes the mutated file and returns the overlay file that makes go test use it in place of
// the original.
func (m *Mutant) overlay(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(m.File)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), m.From) {
		t.Fatalf("%s no longer has %q", m.File, m.From)
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	mutatedFile, overlayFile := filepath.Join(dir, m.File), filepath.Join(dir, "overlay.json")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: mutatedFile}})
	if err != nil {
		t.Fatal(err)
	}
	mutated := strings.Replace(string(text), m.From, m.To, 1)
	for file, content := range map[string]string{mutatedFile: mutated, overlayFile: string(overlay)} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return overlayFile
}

package property

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a modified version of a package: in File, the first occurrence of From, usually a safety
// check, is replaced by To.
type Mutant struct{ Name, File, From, To string }

// CatchMutants runs the tests whose names match pattern against each mutant of the package in the
// current directory, with additional flags for go test. It fails the test for each mutant that no test
// detects, because the replaced code is then not tested.
func CatchMutants(t *testing.T, pattern string, mutants []Mutant, flags ...string) {
	t.Helper()
	for _, m := range mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			arguments := append([]string{"test", "-overlay", m.overlay(t), "-run", pattern, "."}, flags...)
			output, err := exec.Command("go", arguments...).CombinedOutput()
			if err == nil {
				t.Error("no test detects the mutant")
			} else if !strings.Contains(string(output), "--- FAIL: ") {
				t.Errorf("go test failed without a failing test: %s", output)
			}
		})
	}
}

// overlay writes the mutated file and returns the path of an overlay file that makes go test compile it
// instead of the original. It fails the test if the original does not contain From.
func (m *Mutant) overlay(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(m.File)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), m.From) {
		t.Fatalf("%s does not contain the text to mutate: %q", m.File, m.From)
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	mutatedFile, overlayFile := filepath.Join(dir, filepath.Base(m.File)), filepath.Join(dir, "overlay.json")
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

package property

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a version of a package with one guard out.
type Mutant struct{ Name, File, From, To string }

// CatchMutants runs the tests of a package that match a pattern against each mutant: a
// guard whose loss none of them shows is not tested. It is called in the package's folder.
func CatchMutants(t *testing.T, pattern string, mutants []Mutant, flags ...string) {
	for _, m := range mutants {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			arguments := append([]string{"test", "-overlay", m.overlay(t), "-run", pattern, "."}, flags...)
			out, err := exec.Command("go", arguments...).CombinedOutput()
			if err == nil {
				t.Error("no test shows it")
			} else if !strings.Contains(string(out), "--- FAIL: ") {
				t.Errorf("it did not fail by a test: %s", out)
			}
		})
	}
}

// overlay writes the mutated file to where go test takes it from in place of the original.
func (m *Mutant) overlay(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(m.File)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), m.From) {
		t.Fatalf("%s has no %q any more", m.File, m.From)
	}
	original, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	mutated, file := filepath.Join(dir, m.File), filepath.Join(dir, "overlay.json")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{mutated: strings.Replace(string(text), m.From, m.To, 1), file: string(overlay)} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return file
}

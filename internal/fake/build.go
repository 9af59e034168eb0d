package fake

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildController compiles the controller of a source tree and returns the program's path.
func BuildController(t testing.TB, tree string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "leadproxy")
	compile := exec.Command("go", "build", "-o", program, "./cmd/leadproxy")
	compile.Dir = tree
	if out, err := compile.CombinedOutput(); err != nil {
		t.Fatalf("building %q: %v: %s", tree, err, out)
	}
	return program
}

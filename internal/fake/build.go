package fake

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildController compiles the controller from a source tree and returns the path of the
// executable, which is deleted when the test ends.
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

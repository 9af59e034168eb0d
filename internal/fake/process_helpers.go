package fake

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"leadproxy/internal/election"
)

// Leader is the index of the controller that the key-value store names as the leader, or -1.
func Leader(s *State, controllers []*Process) int {
	var holder struct {
		Node string `json:"node"`
	}
	if value := s.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &holder) != nil {
		return -1
	}
	return slices.IndexFunc(controllers, func(c *Process) bool { return c.Platform.Node == holder.Node })
}

// KeepLogs copies controllers' logs to a directory that outlives the test, and returns it.
func KeepLogs(t testing.TB, controllers []*Process) (dir string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "leadproxy-logs-")
	if err != nil {
		t.Error(err)
		return ""
	}
	for _, c := range controllers {
		text, err := os.ReadFile(c.logFile())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, c.Platform.Node+".log"), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	t.Logf("the controllers' logs are in %s", dir)
	return dir
}

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

// reserved are the addresses that were handed out: nothing listens there until a controller starts,
// and the next search could find the same port.
var reserved sync.Map

// Reserve finds free loopback addresses, each once in a test run. They are not on 127.0.0.1, where
// a fake or a connection could take the port before the controller does.
func Reserve(t testing.TB, n int) (addresses []string) {
	t.Helper()
	for len(addresses) < n {
		l, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		address := l.Addr().String()
		if _, taken := reserved.LoadOrStore(address, true); !taken {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Await waits for a condition, and fails the test when it does not become true in time.
func Await(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within %s: %s", limit, what)
}

package fake

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"leadproxy/internal/election"
	"leadproxy/internal/settings"
)

// Process is a real controller on the loopback interface: its settings stay, its
// processes come and go.
type Process struct {
	Platform settings.Platform
	// Arguments are given to the program besides the settings file.
	Arguments []string
	// LogLevel is that of its log; "": debug.
	LogLevel string
	t        testing.TB
	config   string
	command  *exec.Cmd // nil while it is down
}

// NewProcess writes a controller's settings file into a directory. The process that is
// up at the test's end is killed.
func NewProcess(t testing.TB, dir string, p settings.Platform, arguments ...string) *Process {
	t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(p); err != nil {
		t.Fatal(err)
	}
	c := &Process{Platform: p, Arguments: arguments, t: t, config: filepath.Join(dir, p.Node+".toml")}
	if err := os.WriteFile(c.config, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	return c
}

// Start starts it with a program. It appends to its log.
func (c *Process) Start(program string) {
	c.t.Helper()
	log, err := os.OpenFile(c.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	c.command = exec.Command(program, append([]string{"--config", c.config}, c.Arguments...)...)
	c.command.Env = append(os.Environ(), "LOG_LEVEL="+cmp.Or(c.LogLevel, "debug"))
	c.command.Stderr = log
	if err := c.command.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// Kill ends it without a signal that it could handle.
func (c *Process) Kill() {
	if c.command == nil {
		return
	}
	c.command.Process.Kill()
	c.command.Wait()
	c.command = nil
}

// Up tells whether it was started and not killed since.
func (c *Process) Up() bool { return c.command != nil }

// Freeze stops it in its tracks, or has it go on. One that is down stays so.
func (c *Process) Freeze(on bool) {
	c.t.Helper()
	if c.command == nil {
		return
	}
	what := syscall.SIGCONT
	if on {
		what = syscall.SIGSTOP
	}
	if err := c.command.Process.Signal(what); err != nil {
		c.t.Error(err)
	}
}

// Memory is how many bytes of memory it uses; 0: it is down.
func (c *Process) Memory() (bytes int) {
	if c.command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

// Log is what it has logged so far.
func (c *Process) Log() string {
	text, err := os.ReadFile(c.logFile())
	if err != nil {
		return "" // it has not started
	}
	return string(text)
}

func (c *Process) logFile() string { return c.config + ".log" }

// Leader is the place of the controller that a state service names, or -1.
func Leader(s *State, controllers []*Process) int {
	var holder struct {
		Node string `json:"node"`
	}
	if value := s.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &holder) != nil {
		return -1
	}
	return slices.IndexFunc(controllers, func(c *Process) bool { return c.Platform.Node == holder.Node })
}

// KeepLogs copies controllers' logs to where they outlive the test, and tells where.
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

// Build compiles the program of a source tree and returns its path.
func Build(t testing.TB, tree string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "leadproxy")
	compile := exec.Command("go", "build", "-o", program, "./cmd/leadproxy")
	compile.Dir = tree
	if out, err := compile.CombinedOutput(); err != nil {
		t.Fatalf("building %q: %v: %s", tree, err, out)
	}
	return program
}

// reserved are the addresses that were handed out: nobody listens there until a
// controller starts, and the next search could find the same.
var reserved sync.Map

// Reserve finds free loopback addresses, each once in a test run. They are not on
// 127.0.0.1, where a fake or a connection could take the port before the controller does.
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

// Await waits for a condition, and fails the test when it does not come true in time.
func Await(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within %s: %s", limit, what)
}

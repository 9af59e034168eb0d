package fake

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/BurntSushi/toml"

	"leadproxy/internal/election"
	"leadproxy/internal/settings"
)

// Process is a real controller on the loopback interface. Its settings stay the same while its
// operating-system processes are started and killed.
type Process struct {
	Platform settings.Platform
	// Arguments are given to the program besides the settings file.
	Arguments []string
	// LogLevel is that of its log; "": debug.
	LogLevel   string
	t          testing.TB
	configFile string
	command    *exec.Cmd // nil while it is down
}

// NewProcess writes a controller's settings file into a directory. A process that still runs at the
// test's end is killed.
func NewProcess(t testing.TB, dir string, p settings.Platform, arguments ...string) *Process {
	t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(p); err != nil {
		t.Fatal(err)
	}
	c := &Process{Platform: p, Arguments: arguments, t: t, configFile: filepath.Join(dir, p.Name+".toml")}
	if err := os.WriteFile(c.configFile, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Kill)
	return c
}

// Start starts a program with the controller's settings. Its log is appended to that of earlier
// processes.
func (c *Process) Start(program string) {
	c.t.Helper()
	log, err := os.OpenFile(c.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	c.command = exec.Command(program, append([]string{"--config", c.configFile}, c.Arguments...)...)
	c.command.Env = append(os.Environ(), "LOG_LEVEL="+cmp.Or(c.LogLevel, "debug"))
	c.command.Stderr = log
	if err := c.command.Start(); err != nil {
		c.t.Fatal(err)
	}
}

// Kill ends the process with SIGKILL, which it can't handle.
func (c *Process) Kill() {
	if c.command == nil {
		return
	}
	c.command.Process.Kill()
	c.command.Wait()
	c.command = nil
}

// Running reports whether it was started and not killed since.
func (c *Process) Running() bool { return c.command != nil }

// Suspend stops the process (SIGSTOP) until Resume; one that is down stays down.
func (c *Process) Suspend() {
	c.t.Helper()
	c.signal(syscall.SIGSTOP)
}

// Resume lets a suspended process continue; one that is down stays down.
func (c *Process) Resume() {
	c.t.Helper()
	c.signal(syscall.SIGCONT)
}

func (c *Process) signal(signal syscall.Signal) {
	c.t.Helper()
	if c.command == nil {
		return
	}
	if err := c.command.Process.Signal(signal); err != nil {
		c.t.Error(err)
	}
}

// ResidentBytes is its resident memory; 0: it is down.
func (c *Process) ResidentBytes() (bytes int) {
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

// Log is the log so far, of all its processes.
func (c *Process) Log() string {
	text, err := os.ReadFile(c.logFile())
	if err != nil {
		return "" // it has not started
	}
	return string(text)
}

func (c *Process) logFile() string { return c.configFile + ".log" }

// Leader is the index of the controller that the key-value store names as the leader, or -1.
func Leader(s *KVStore, controllers []*Process) int {
	var holder struct {
		Node string `json:"node"`
	}
	if value := s.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &holder) != nil {
		return -1
	}
	return slices.IndexFunc(controllers, func(c *Process) bool { return c.Platform.Name == holder.Node })
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
			err = os.WriteFile(filepath.Join(dir, c.Platform.Name+".log"), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	t.Logf("the controllers' logs are in %s", dir)
	return dir
}

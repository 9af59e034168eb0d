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

// Process is a real controller on the loopback interface. Its operating-system process can be
// started and killed repeatedly, with the same settings.
type Process struct {
	Platform settings.Platform
	// Arguments are the program's command-line arguments after --config and the settings file.
	Arguments []string
	// LogLevel is the value of LOG_LEVEL; "": debug.
	LogLevel   string
	t          testing.TB
	configFile string
	command    *exec.Cmd // nil while it is down
}

// NewProcess returns a controller that is not started, and writes its settings file to a directory.
// When the test ends the controller is killed if it runs.
func NewProcess(t testing.TB, dir string, platform settings.Platform, arguments ...string) *Process {
	t.Helper()
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(platform); err != nil {
		t.Fatal(err)
	}
	process := &Process{Platform: platform, Arguments: arguments, t: t, configFile: filepath.Join(dir, platform.Name+".toml")}
	if err := os.WriteFile(process.configFile, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process
}

// Start runs an executable with the controller's settings. Its standard error is appended to the
// controller's log file.
func (p *Process) Start(program string) {
	p.t.Helper()
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	p.command = exec.Command(program, append([]string{"--config", p.configFile}, p.Arguments...)...)
	p.command.Env = append(os.Environ(), "LOG_LEVEL="+cmp.Or(p.LogLevel, "debug"))
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// Kill sends SIGKILL, which the process can't handle, and waits until it has ended. It does nothing
// while the process is down.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	p.command.Process.Kill()
	p.command.Wait()
	p.command = nil
}

// Running reports whether the process was started and has not been killed since.
func (p *Process) Running() bool { return p.command != nil }

// Suspend stops the process with SIGSTOP until Resume. It does nothing while the process is down.
func (p *Process) Suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
}

// Resume continues a suspended process with SIGCONT. It does nothing while the process is down.
func (p *Process) Resume() {
	p.t.Helper()
	p.signal(syscall.SIGCONT)
}

func (p *Process) signal(signal syscall.Signal) {
	p.t.Helper()
	if p.command == nil {
		return
	}
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Error(err)
	}
}

// ResidentBytes returns the size of the process's resident memory; 0 if it is down or the size
// can't be read.
func (p *Process) ResidentBytes() (bytes int) {
	if p.command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

// Log returns the content of the log file, which has the output of all starts so far.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logFile())
	if err != nil {
		return "" // not started yet
	}
	return string(text)
}

func (p *Process) logFile() string { return p.configFile + ".log" }

// Leader returns the index of the controller that the leader key in the store names, or -1 if there
// is none.
func Leader(store *KVStore, controllers []*Process) int {
	var holder struct {
		Node string `json:"node"`
	}
	if value := store.Value(election.LeaderKey); value == nil || json.Unmarshal(value, &holder) != nil {
		return -1
	}
	return slices.IndexFunc(controllers, func(p *Process) bool { return p.Platform.Name == holder.Node })
}

// KeepLogs copies the controllers' logs to a new directory that is not deleted when the test ends,
// and returns its path.
func KeepLogs(t testing.TB, controllers []*Process) (dir string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "leadproxy-logs-")
	if err != nil {
		t.Error(err)
		return ""
	}
	for _, controller := range controllers {
		text, err := os.ReadFile(controller.logFile())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, controller.Platform.Name+".log"), text, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	t.Logf("the controllers' logs are in %s", dir)
	return dir
}

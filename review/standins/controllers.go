package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// controller is one controller process.
type controller struct {
	name         string
	public, back string
	program      string
	configFile   string
	command      *exec.Cmd // nil while it is down
}

// controllerProgram is the program of the deploy file.
const controllerProgram = "target/leadproxy"

// controllerCount is the number of controllers of a small deployment.
const controllerCount = 3

// reserveAddresses returns different free loopback addresses on which nothing listens yet. They are on
// 127.7.0.1, so that no outgoing connection takes a port meanwhile.
func reserveAddresses(count int) (addresses []string, err error) {
	for range count {
		listener, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// newControllers writes the settings files of the controllers, which are not started.
func newControllers(dir, root, cloud string, stores []string, timing timing) ([]*controller, error) {
	addresses, err := reserveAddresses(2 * controllerCount)
	if err != nil {
		return nil, err
	}
	var all []*controller
	for i := range controllerCount {
		name := fmt.Sprintf("worker-%d", i)
		all = append(all, &controller{name: name, public: addresses[2*i], back: addresses[2*i+1],
			program: filepath.Join(root, controllerProgram), configFile: filepath.Join(dir, name+".toml")})
	}
	for i, c := range all {
		if err := os.WriteFile(c.configFile, []byte(settingsText(all, i, cloud, stores[i], timing)), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// settingsText returns the settings file of one controller, in the form of DEPLOY-leadproxy.md with
// the values of the site andina-pagos.
func settingsText(all []*controller, self int, cloud, store string, timing timing) string {
	var text strings.Builder
	c := all[self]
	fmt.Fprintf(&text, "host_name = %q\nsite = \"lima-norte\"\npublic_addr = %q\nback = %q\n", c.name, c.public, c.back)
	for i, other := range all {
		if i != self {
			fmt.Fprintf(&text, "[[others]]\nhost_name = %q\nsite = \"lima-norte\"\nendpoint = %q\n", other.name, other.back)
		}
	}
	fmt.Fprintf(&text, "[services]\ncloud = %q\nstate = %q\n", cloud, store)
	fmt.Fprintf(&text, "[facts]\nnodes = %d\nzones = [\"lima-norte\"]\nclock_error_ms = 5.0\n", len(all))
	text.WriteString("[[facts.teams]]\nname = \"contabilidad\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n")
	fmt.Fprintf(&text, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
		timing.report.Seconds(), timing.lease.Seconds(), timing.cancel.Seconds())
	text.WriteString("[facts.state]\nrps = 250.0\nwrite_rps = 100.0\nvalue_kb = 16.0\ntxn_ops = 32\n")
	text.WriteString("[facts.cloud]\nrps = 4.0\nlist_lag_s = 4.0\n")
	text.WriteString("[facts.resources]\ncpu_share = 0.24\nram_mb = 179.0\nsockets = 2500\n")
	return text.String()
}

// start starts the process. It must be called on the main goroutine: the process is killed when the
// thread that started it ends.
func (c *controller) start() error {
	log, err := os.OpenFile(c.configFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c.command = exec.Command(c.program, "--config", c.configFile)
	c.command.Env = append(os.Environ(), "LOG_LEVEL=debug")
	c.command.Stderr = log
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c.command.Start()
}

// kill ends the process with SIGKILL, if it runs.
func (c *controller) kill() {
	if c.command == nil {
		return
	}
	c.command.Process.Kill()
	c.command.Wait()
	c.command = nil
}

// awaitHealthy waits until the controller answers health checks.
func (c *controller) awaitHealthy(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + c.public + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

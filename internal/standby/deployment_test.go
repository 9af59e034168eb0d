//go:build measure || standby

package standby_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

const (
	openShare   = 20 // one in so many jobs is not over
	controllers = 3
)

// phases are what a new leader logs, in seconds, and how long after the old one's end.
type phases struct {
	warm          bool
	view, decided float64 // since the term was won
	first, ending float64 // first decision and settled, since the old leader's end
}

var takeoverLine = regexp.MustCompile(`time=(\S+) .*msg=takeover .*warm=(\w+) view_s=(\S+) decided_s=(\S+) settled_s=(\S+)`)

// deployment is three controllers over a ledger of many jobs.
type deployment struct {
	t     *testing.T
	state *fake.State
	cloud *fake.Cloud
	check *fake.Checker
	users *fake.Users
	nodes []*fake.Process
}

func newDeployment(t *testing.T, jobs, machines int, warm bool) *deployment {
	t.Helper()
	network := outbound.TCP{}
	d := &deployment{t: t, state: fake.NewState(t, network, "127.0.0.1:0", nil)}
	for i := range jobs {
		ref := fmt.Sprintf("job-%08d", i)
		record := `{"accepted_ms":1796190522949,"fate":"done","tasks":16,"done":16,"ended_ms":1796190622949,"class":"c","team":"open","cores":16,"run_s":20}`
		if i%openShare == 0 {
			// It waits for one that is never submitted, so that the size stays.
			record = fmt.Sprintf(`{"job":{"ref":"%s","lane":"c","owner":"open","shape":"batch","urgency":"high","pieces":16,"vcpus":1,"gpus":0,"mem_gb":2,"bundle":"image","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":20,"snapshot_s":0,"flush_s":0,"due_s":600,"waits_on":["job-999999999"]},"accepted_ms":1796190522949}`, ref)
		}
		d.state.Put("job/"+ref, record)
	}
	d.check = fake.NewChecker(t, fake.Limits{Cancel: 20 * time.Second, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	public, back := fake.Reserve(t, controllers), fake.Reserve(t, controllers)
	d.users = fake.NewUsers(t, network, public, d.check, 1)
	config := fake.CloudConfig{}
	if machines > 0 {
		config = d.cloudOf(machines, public)
	}
	d.cloud = fake.NewCloud(t, network, "127.0.0.1:0", config)
	dir := t.TempDir()
	ini := filepath.Join(dir, "standby.ini")
	if err := os.WriteFile(ini, []byte(map[bool]string{true: "[standby]\nfollow = yes\nmax_mb = 256\n", false: ""}[warm]), 0o600); err != nil {
		t.Fatal(err)
	}
	facts := settings.Facts{Nodes: controllers, Zones: []string{"a"}, ClockErrorMS: 5, Teams: []settings.Team{{Name: "open"}},
		Workers: settings.Workers{ReportS: 1, LeaseS: 20, CancelS: 40}, State: settings.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32},
		Cloud: settings.CloudLimits{RPS: 5, ListLagS: 2}, Resources: settings.Resources{CPUShare: 1, RAMMB: 1000, Sockets: 2000}}
	for i := range controllers {
		p := settings.Platform{Node: fmt.Sprintf("n%d", i), Zone: "a", Listen: public[i], Back: back[i], Facts: facts, Services: settings.Services{State: d.state.Addr(), Cloud: d.cloud.Addr()}}
		for k := range controllers {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Node: fmt.Sprintf("n%d", k), Zone: "a", Addr: back[k]})
			}
		}
		d.nodes = append(d.nodes, fake.NewProcess(t, dir, p, "--settings", ini))
	}
	return d
}

// lines are the takeovers that the controllers have logged so far.
func (d *deployment) lines() (lines [][]string) {
	for _, n := range d.nodes {
		lines = append(lines, takeoverLine.FindAllStringSubmatch(n.Log(), -1)...)
	}
	return lines
}

// following counts the controllers whose latest state of the standby is following.
func (d *deployment) following() (n int) {
	for _, c := range d.nodes {
		text := c.Log()
		at := strings.LastIndex(text, "msg=standby state=")
		if at >= 0 && strings.HasPrefix(text[at:], "msg=standby state=following") {
			n++
		}
	}
	return n
}

// next waits for the takeover that follows a leader's end at a moment.
func (d *deployment) next(before int, ended time.Time) phases {
	d.t.Helper()
	fake.Await(d.t, "a takeover", 60*time.Second, func() bool { return len(d.lines()) > before })
	lines := d.lines()
	slices.SortFunc(lines, func(a, b []string) int { return strings.Compare(a[1], b[1]) })
	last := lines[len(lines)-1]
	at, err := time.Parse(time.RFC3339Nano, last[1])
	if err != nil {
		d.t.Fatal(err)
	}
	p := phases{warm: last[2] == "true", ending: at.Sub(ended).Seconds()}
	settled := 0.0
	for i, into := range []*float64{&p.view, &p.decided, &settled} {
		if *into, err = strconv.ParseFloat(last[3+i], 64); err != nil {
			d.t.Fatal(err)
		}
	}
	p.first = p.ending - settled + p.decided
	return p
}

// takeOver ends the leader, waits for what its successor logs, and starts it again.
func (d *deployment) takeOver(program string) phases {
	d.t.Helper()
	leader := fake.Leader(d.state, d.nodes)
	before, ended := len(d.lines()), time.Now()
	d.nodes[leader].Kill()
	p := d.next(before, ended)
	d.nodes[leader].Start(program)
	return p
}

// takeOverFrozen freezes the leader until its successor has begun, and a little longer.
func (d *deployment) takeOverFrozen() phases {
	d.t.Helper()
	leader := fake.Leader(d.state, d.nodes)
	before, ended := len(d.lines()), time.Now()
	d.nodes[leader].Freeze(true)
	p := d.next(before, ended)
	time.Sleep(time.Second)
	d.nodes[leader].Freeze(false)
	return p
}

// cloudOf is a cloud of machines that run tasks of two seconds.
func (d *deployment) cloudOf(machines int, public []string) fake.CloudConfig {
	var workers []fake.Node
	for i, addr := range public {
		workers = append(workers, fake.Node{Name: fmt.Sprintf("n%d", i), Addr: addr})
	}
	return fake.CloudConfig{
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}},
		Boot:  time.Second, ListLag: 2 * time.Second, Most: machines,
		Worker: fake.WorkerConfig{Nodes: workers, Report: time.Second, Lease: 20 * time.Second, Fetch: 200 * time.Millisecond,
			Run: func(string) time.Duration { return 2 * time.Second }, Check: d.check},
		Host: func(string) (outbound.Network, string) { return outbound.TCP{}, "127.0.0.1:0" },
	}
}

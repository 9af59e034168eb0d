package fake

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// DeploymentPlan is what a deployment is made of. Zero values stand for the usual.
type DeploymentPlan struct {
	Controllers, Machines int
	Teams                 []string
	// CPUs limits what teams use at a time; none: no limit.
	CPUs map[string]float64
	// Operator is the text of the operators' settings.
	Operator string
	// Report is how often machines report, Lease how long a worker goes on unanswered, and
	// Cancel how long tasks may be there after a cancellation.
	Report, Lease, Cancel time.Duration
	// Run is how long a task runs.
	Run func(task string) time.Duration
	// Saving has tasks take flush_s to save their progress.
	Saving bool
	// Seed is that of the users' choices.
	Seed uint64
	// Relayed has all that controllers and workers say to controllers, and controllers to the
	// state service, go through relays, which Links lists.
	Relayed bool
	// Writes befall transactions of the state service, Commands direct commands, and Calls
	// the cloud.
	Writes, Commands, Calls Troubles
}

// The times and sizes of a deployment's machines.
const (
	deploymentReport = time.Second
	deploymentLease  = 20 * time.Second
	deploymentCancel = 40 * time.Second
)

// What a deployment's platform grants, by machine where it must grow with them.
const (
	leastSockets      = 2000
	socketsPerMachine = 8
	leastStateRPS     = 200
	leastWriteRPS     = 80
	machinesPerWrite  = 10 // a second
)

// Deployment is controllers as real processes on the loopback interface, with fakes of all
// else.
type Deployment struct {
	State    *State
	Cloud    *Cloud
	Check    *Checker
	Users    *Users
	Nodes    []*Process
	Platform *settings.Platform // of one controller
	Links    []Links            // by controller, with relays
}

// Links are the relays of one controller.
type Links struct {
	State   *Relay
	Workers *Relay   // from workers to it
	Peers   []*Relay // from it to the others
}

// NewDeployment makes a deployment. Its controllers are not started yet.
func NewDeployment(t *testing.T, p DeploymentPlan) *Deployment {
	t.Helper()
	p.Report = cmp.Or(p.Report, deploymentReport)
	p.Lease = cmp.Or(p.Lease, deploymentLease)
	p.Cancel = cmp.Or(p.Cancel, deploymentCancel)
	network := transport.TCP{}
	d := &Deployment{State: NewState(t, network, "127.0.0.1:0", p.Writes)}
	d.Check = NewChecker(t, Limits{Cancel: p.Cancel, CPUs: p.CPUs, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	public, back := Reserve(t, p.Controllers), Reserve(t, p.Controllers)
	d.Users = NewUsers(t, network, public, d.Check, cmp.Or(p.Seed, 1))
	reportTo := public
	if p.Relayed {
		reportTo = d.relay(t, public)
	}
	d.Cloud = NewCloud(t, network, "127.0.0.1:0", p.cloud(reportTo, d.Check))
	dir := t.TempDir()
	operator := filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(operator, []byte(p.Operator), 0o600); err != nil {
		t.Fatal(err)
	}
	facts := p.facts()
	for i := range p.Controllers {
		node := settings.Platform{Node: nodeName(i), Zone: "a", Listen: public[i], Back: back[i], Facts: facts, Services: settings.Services{State: d.State.Addr(), Cloud: d.Cloud.Addr()}}
		if p.Relayed {
			node.Services.State = d.Links[i].State.Addr()
		}
		for k := range p.Controllers {
			if k != i {
				node.Peers = append(node.Peers, settings.Peer{Node: nodeName(k), Zone: "a", Addr: d.peerAddr(t, p.Relayed, i, back[k])})
			}
		}
		d.Platform = &node
		d.Nodes = append(d.Nodes, NewProcess(t, dir, node, "--settings", operator))
	}
	return d
}

// relay puts relays before the state service and the controllers' public addresses. It
// returns where workers report.
func (d *Deployment) relay(t *testing.T, public []string) (reportTo []string) {
	for _, addr := range public {
		links := Links{State: NewRelay(t, d.State.Addr()), Workers: NewRelay(t, addr)}
		d.Links = append(d.Links, links)
		reportTo = append(reportTo, links.Workers.Addr())
	}
	return reportTo
}

// peerAddr is where one controller reaches another.
func (d *Deployment) peerAddr(t *testing.T, relayed bool, from int, back string) string {
	if !relayed {
		return back
	}
	link := NewRelay(t, back)
	d.Links[from].Peers = append(d.Links[from].Peers, link)
	return link.Addr()
}

// facts is what the platform tells its controllers.
func (p *DeploymentPlan) facts() settings.Facts {
	writes := float64(leastWriteRPS + p.Machines/machinesPerWrite)
	facts := settings.Facts{Nodes: p.Controllers, Zones: []string{"a"}, ClockErrorMS: 5,
		Workers: settings.Workers{ReportS: p.Report.Seconds(), LeaseS: p.Lease.Seconds(), CancelS: p.Cancel.Seconds()},
		State:   settings.StateLimits{RPS: writes * leastStateRPS / leastWriteRPS, WriteRPS: writes, ValueKB: 16, TxnOps: 32},
		Cloud:   settings.CloudLimits{RPS: 5, ListLagS: 2}, Resources: settings.Resources{CPUShare: 1, RAMMB: 1000, Sockets: max(leastSockets, socketsPerMachine*p.Machines)}}
	for _, team := range p.Teams {
		facts.Teams = append(facts.Teams, settings.Team{Name: team, CPUsMax: p.CPUs[team]})
	}
	return facts
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// cloud is a cloud whose machines boot within a second.
func (p *DeploymentPlan) cloud(reportTo []string, check *Checker) CloudConfig {
	if p.Machines == 0 {
		return CloudConfig{}
	}
	var workers []Node
	for i, addr := range reportTo {
		workers = append(workers, Node{Name: nodeName(i), Addr: addr})
	}
	return CloudConfig{
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}},
		Boot:  time.Second, ListLag: 2 * time.Second, Most: p.Machines,
		Worker:  WorkerConfig{Nodes: workers, Report: p.Report, Lease: p.Lease, Fetch: 200 * time.Millisecond, Run: p.Run, Check: check, Saving: p.Saving, Trouble: p.Commands},
		Trouble: p.Calls,
		Host:    func(string) (transport.Network, string) { return transport.TCP{}, "127.0.0.1:0" },
	}
}

package fake

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// DeploymentPlan is what a deployment is made of.
type DeploymentPlan struct {
	Controllers, Machines int
	Teams                 []string
	// Operator is the text of the operators' settings.
	Operator string
	// Report is how often machines report; 0: each second.
	Report time.Duration
	// Run is how long a task runs.
	Run func(task string) time.Duration
}

// The times and sizes of a deployment's machines.
const (
	deploymentReport = time.Second
	deploymentLease  = 20 * time.Second
	deploymentCancel = 40 * time.Second
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
}

// NewDeployment makes a deployment. Its controllers are not started yet.
func NewDeployment(t *testing.T, p DeploymentPlan) *Deployment {
	t.Helper()
	p.Report = cmp.Or(p.Report, deploymentReport)
	network := outbound.TCP{}
	d := &Deployment{State: NewState(t, network, "127.0.0.1:0", nil)}
	d.Check = NewChecker(t, Limits{Cancel: deploymentCancel, Waiting: 90 * time.Second, Silent: 75 * time.Second})
	public, back := Reserve(t, p.Controllers), Reserve(t, p.Controllers)
	d.Users = NewUsers(t, network, public, d.Check, 1)
	d.Cloud = NewCloud(t, network, "127.0.0.1:0", p.cloud(public, d.Check))
	dir := t.TempDir()
	operator := filepath.Join(dir, "operator.ini")
	if err := os.WriteFile(operator, []byte(p.Operator), 0o600); err != nil {
		t.Fatal(err)
	}
	facts := settings.Facts{Nodes: p.Controllers, Zones: []string{"a"}, ClockErrorMS: 5,
		Workers: settings.Workers{ReportS: p.Report.Seconds(), LeaseS: deploymentLease.Seconds(), CancelS: deploymentCancel.Seconds()},
		State:   settings.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 32},
		Cloud:   settings.CloudLimits{RPS: 5, ListLagS: 2}, Resources: settings.Resources{CPUShare: 1, RAMMB: 1000, Sockets: 2000}}
	for _, team := range p.Teams {
		facts.Teams = append(facts.Teams, settings.Team{Name: team})
	}
	for i := range p.Controllers {
		node := settings.Platform{Node: nodeName(i), Zone: "a", Listen: public[i], Back: back[i], Facts: facts, Services: settings.Services{State: d.State.Addr(), Cloud: d.Cloud.Addr()}}
		for k := range p.Controllers {
			if k != i {
				node.Peers = append(node.Peers, settings.Peer{Node: nodeName(k), Zone: "a", Addr: back[k]})
			}
		}
		d.Platform = &node
		d.Nodes = append(d.Nodes, NewProcess(t, dir, node, "--settings", operator))
	}
	return d
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// cloud is a cloud whose machines boot within a second.
func (p *DeploymentPlan) cloud(public []string, check *Checker) CloudConfig {
	if p.Machines == 0 {
		return CloudConfig{}
	}
	var workers []Node
	for i, addr := range public {
		workers = append(workers, Node{Name: nodeName(i), Addr: addr})
	}
	return CloudConfig{
		Types: []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}},
		Boot:  time.Second, ListLag: 2 * time.Second, Most: p.Machines,
		Worker: WorkerConfig{Nodes: workers, Report: p.Report, Lease: deploymentLease, Fetch: 200 * time.Millisecond, Run: p.Run, Check: check},
		Host:   func(string) (outbound.Network, string) { return outbound.TCP{}, "127.0.0.1:0" },
	}
}

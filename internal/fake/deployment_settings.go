package fake

import (
	"fmt"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The limits in the platform settings of a deployment. The limit on sockets is at least minSockets.
// The limits on requests and writes per second start at minStoreRPS and minWriteRPS and keep this
// ratio; they grow by one write per second for every machinesPerWritePerSecond machines.
const (
	minSockets                = 2000
	socketsPerMachine         = 8
	minStoreRPS               = 200
	minWriteRPS               = 80
	machinesPerWritePerSecond = 10
)

// facts returns the facts in the controllers' platform settings.
func (plan *DeploymentPlan) facts() settings.Facts {
	writes := float64(minWriteRPS + plan.Machines/machinesPerWritePerSecond)
	facts := settings.Facts{
		ControllerCount: plan.Controllers, Zones: []string{"a"}, ClockErrorMS: 5,
		AgentTiming: settings.AgentTiming{HeartbeatS: plan.HeartbeatInterval.Seconds(), LeaseS: plan.AgentLease.Seconds(), CancelS: plan.CancelDeadline.Seconds()},
		Store:       settings.StoreLimits{RPS: writes * minStoreRPS / minWriteRPS, WriteRPS: writes, ValueKB: 16, TxnOps: 32},
		Cloud:       settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 1000, Sockets: max(minSockets, socketsPerMachine*plan.Machines)},
	}
	for _, team := range plan.Teams {
		facts.Teams = append(facts.Teams, settings.Team{Name: team, CPUsMax: plan.TeamCPULimits[team]})
	}
	return facts
}

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// cloudConfig returns the configuration of a cloud with one machine type whose machines boot in a
// second.
func (plan *DeploymentPlan) cloudConfig(heartbeatAddresses []string, checker *Checker) CloudConfig {
	if plan.Machines == 0 {
		return CloudConfig{}
	}
	return CloudConfig{
		Types:    []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}},
		BootTime: time.Second, ListLag: 2 * time.Second, MaxMachines: plan.Machines,
		Agent:   plan.agentConfig(heartbeatAddresses, checker),
		Faults:  plan.CloudFaults,
		NewHost: func(string) (transport.Network, string) { return transport.TCP{}, "127.0.0.1:0" },
	}
}

// agentConfig returns the configuration of the agents on the cloud's machines.
func (plan *DeploymentPlan) agentConfig(heartbeatAddresses []string, checker *Checker) AgentConfig {
	var controllers []ControllerAddress
	for i, addr := range heartbeatAddresses {
		controllers = append(controllers, ControllerAddress{Name: controllerName(i), Addr: addr})
	}
	return AgentConfig{
		Controllers: controllers, HeartbeatInterval: plan.HeartbeatInterval, Lease: plan.AgentLease, ImageFetchTime: 200 * time.Millisecond,
		RunTime: plan.RunTime, Checker: checker, SlowCheckpoints: plan.SlowCheckpoints, CommandFaults: plan.CommandFaults,
	}
}

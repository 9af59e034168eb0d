package fake

import (
	"fmt"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The limits that a deployment's platform grants, some of which grow with the number of machines.
const (
	minSockets                = 2000
	socketsPerMachine         = 8
	minStoreRPS               = 200
	minWriteRPS               = 80
	machinesPerWritePerSecond = 10
)

// facts are the facts in the controllers' platform settings.
func (p *DeploymentPlan) facts() settings.Facts {
	writes := float64(minWriteRPS + p.Machines/machinesPerWritePerSecond)
	facts := settings.Facts{
		ControllerCount: p.Controllers, Zones: []string{"a"}, ClockErrorMS: 5,
		AgentTiming: settings.AgentTiming{HeartbeatS: p.HeartbeatInterval.Seconds(), LeaseS: p.AgentLease.Seconds(), CancelS: p.CancelDeadline.Seconds()},
		Store:       settings.StoreLimits{RPS: writes * minStoreRPS / minWriteRPS, WriteRPS: writes, ValueKB: 16, TxnOps: 32},
		Cloud:       settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 1000, Sockets: max(minSockets, socketsPerMachine*p.Machines)},
	}
	for _, team := range p.Teams {
		facts.Teams = append(facts.Teams, settings.Team{Name: team, CPUsMax: p.TeamCPULimits[team]})
	}
	return facts
}

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// cloudConfig describes a cloud whose machines boot within a second.
func (p *DeploymentPlan) cloudConfig(heartbeatAddresses []string, checker *Checker) CloudConfig {
	if p.Machines == 0 {
		return CloudConfig{}
	}
	return CloudConfig{
		Types:    []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}},
		BootTime: time.Second, ListLag: 2 * time.Second, MaxMachines: p.Machines,
		Agent:   p.agentConfig(heartbeatAddresses, checker),
		Faults:  p.CloudFaults,
		NewHost: func(string) (transport.Network, string) { return transport.TCP{}, "127.0.0.1:0" },
	}
}

// agentConfig describes the workers on those machines.
func (p *DeploymentPlan) agentConfig(heartbeatAddresses []string, checker *Checker) AgentConfig {
	var controllers []ControllerAddress
	for i, addr := range heartbeatAddresses {
		controllers = append(controllers, ControllerAddress{Name: controllerName(i), Addr: addr})
	}
	return AgentConfig{
		Controllers: controllers, HeartbeatInterval: p.HeartbeatInterval, Lease: p.AgentLease, ImageFetchTime: 200 * time.Millisecond,
		RunTime: p.RunTime, Checker: checker, SlowCheckpoints: p.SlowCheckpoints, CommandFaults: p.CommandFaults,
	}
}

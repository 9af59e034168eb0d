//go:build upgrade

package compat

import (
	"fmt"
	"net"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The times and sizes of the deployment. The times are short, since these tests take real time.
const (
	heartbeatInterval = time.Second
	agentLease        = 8 * time.Second
	cancelDeadline    = 20 * time.Second
	machineBootTime   = time.Second
	taskRunTime       = 2 * time.Second
	controllerCount   = 3
	tightTeamCPULimit = 6 // the CPU limit of the team "tight"
)

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// platformFacts are the facts in the controllers' platform settings.
func platformFacts(zones []string) settings.Facts {
	return settings.Facts{
		ControllerCount: controllerCount, Zones: zones, ClockErrorMS: 5,
		Teams:       []settings.Team{{Name: "open"}, {Name: "tight", CPUsMax: tightTeamCPULimit}},
		AgentTiming: settings.AgentTiming{HeartbeatS: heartbeatInterval.Seconds(), LeaseS: agentLease.Seconds(), CancelS: cancelDeadline.Seconds()},
		Store:       settings.StoreLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32},
		Cloud:       settings.CloudLimits{RPS: 5, ListLagS: 2},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 2000},
	}
}

// newCloud starts the cloud, whose workers send heartbeats to the controllers.
func newCloud(t *testing.T, controllerAddresses, zones []string, checker *fake.Checker) *fake.Cloud {
	t.Helper()
	network := transport.TCP{}
	var controllers []fake.ControllerAddress
	for i, addr := range controllerAddresses {
		controllers = append(controllers, fake.ControllerAddress{Name: controllerName(i), Addr: addr})
	}
	return fake.NewCloud(t, network, "127.0.0.1:0", fake.CloudConfig{
		Types:    []wire.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: machineBootTime.Seconds(), Zones: zones}},
		BootTime: machineBootTime, ListLag: 2 * time.Second, MaxMachines: 12,
		Agent: fake.AgentConfig{
			Controllers: controllers, HeartbeatInterval: heartbeatInterval, Lease: agentLease, ImageFetchTime: 200 * time.Millisecond,
			RunTime: func(string) time.Duration { return taskRunTime }, Checker: checker,
		},
		NewHost: func(string) (transport.Network, string) { return network, "127.0.0.1:0" },
	})
}

// addControllers writes the controllers' settings. What they send one another goes through relays.
func (d *deployment) addControllers(public, zones []string) {
	d.t.Helper()
	peerAddresses := fake.ReserveAddresses(d.t, controllerCount)
	relayAddresses := d.startPeerRelays(peerAddresses)
	facts := platformFacts(zones)
	dir := d.t.TempDir()
	for i := range controllerCount {
		p := settings.Platform{
			Name: controllerName(i), Zone: zones[i], PublicAddr: public[i], PeerAddr: peerAddresses[i], Facts: facts,
			Services: settings.Services{Store: d.store.Addr(), Cloud: d.cloud.Addr()},
		}
		for k := range controllerCount {
			if k != i {
				p.Peers = append(p.Peers, settings.Peer{Name: controllerName(k), Zone: zones[k], Addr: relayAddresses[k]})
			}
		}
		d.controllers = append(d.controllers, fake.NewProcess(d.t, dir, p))
	}
}

// startPeerRelays starts a recording relay before each controller and returns the relays' addresses.
func (d *deployment) startPeerRelays(peerAddresses []string) (relayAddresses []string) {
	d.t.Helper()
	for _, target := range peerAddresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		startGRPCRelay(d.t, l, target, d.recorder)
		relayAddresses = append(relayAddresses, l.Addr().String())
	}
	return relayAddresses
}

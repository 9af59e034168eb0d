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

// Sizes and durations of the deployment. The durations are short because these tests run in real time.
const (
	heartbeatInterval = time.Second
	agentLease        = 8 * time.Second
	cancelDeadline    = 20 * time.Second
	machineBootTime   = time.Second
	taskRunTime       = 2 * time.Second
	controllerCount   = 3
	tightTeamCPULimit = 6 // of the team "tight"
)

func controllerName(i int) string { return fmt.Sprintf("n%d", i) }

// platformFacts returns the facts for the controllers' platform settings.
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

// newCloud starts a fake cloud whose agents send heartbeats to the controllers.
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

// addControllers adds the controllers without starting them, and writes their settings. The calls
// between controllers pass through recording relays.
func (d *deployment) addControllers(publicAddresses, zones []string) {
	d.t.Helper()
	peerAddresses := fake.ReserveAddresses(d.t, controllerCount)
	relayAddresses := d.startPeerRelays(peerAddresses)
	facts := platformFacts(zones)
	dir := d.t.TempDir()
	for i := range controllerCount {
		platform := settings.Platform{
			Name: controllerName(i), Zone: zones[i], PublicAddr: publicAddresses[i], PeerAddr: peerAddresses[i], Facts: facts,
			Services: settings.Services{Store: d.store.Addr(), Cloud: d.cloud.Addr()},
		}
		for peer := range controllerCount {
			if peer != i {
				platform.Peers = append(platform.Peers, settings.Peer{Name: controllerName(peer), Zone: zones[peer], Addr: relayAddresses[peer]})
			}
		}
		d.controllers = append(d.controllers, fake.NewProcess(d.t, dir, platform))
	}
}

// startPeerRelays starts a recording relay in front of each peer address and returns the addresses of
// the relays.
func (d *deployment) startPeerRelays(peerAddresses []string) (relayAddresses []string) {
	d.t.Helper()
	for _, target := range peerAddresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		startGRPCRelay(d.t, listener, target, d.recorder)
		relayAddresses = append(relayAddresses, listener.Addr().String())
	}
	return relayAddresses
}

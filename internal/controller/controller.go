// Package controller assembles one controller process from its components and serves its two
// addresses: HTTP for users, agents and health checks, gRPC for the other controllers.
// It owns no cluster state. Run is the entry point.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"leadproxy/internal/capability"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// Run runs a controller on a network until ctx ends, and then returns nil. It returns an error
// if the controller can't be assembled or one of its addresses can't be served.
func Run(ctx context.Context, network transport.Network, platform *settings.Platform, operator settings.Operator, log *slog.Logger) error {
	return runAtLevel(ctx, capability.CurrentLevel, network, platform, operator, log)
}

// runAtLevel is Run for a version that supports the given capability level: the controller
// announces that level and uses only capabilities that all controllers have announced.
func runAtLevel(ctx context.Context, level int, network transport.Network, platform *settings.Platform, operator settings.Operator, log *slog.Logger) error {
	limitMemory(platform.Facts.Resources)
	public, err := network.Listen(ctx, platform.PublicAddr)
	if err != nil {
		return fmt.Errorf("public_addr %s: %w", platform.PublicAddr, err)
	}
	defer public.Close()
	internal, err := network.Listen(ctx, platform.PeerAddr)
	if err != nil {
		return fmt.Errorf("back %s: %w", platform.PeerAddr, err)
	}
	defer internal.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	components, err := assemble(ctx, level, network, platform, operator, log)
	if err != nil {
		return err
	}
	log.Info("serving", "node", platform.Name, "zone", platform.Zone, "public_address", platform.PublicAddr, "peer_address", platform.PeerAddr, "peers", len(platform.Peers))
	components.start(ctx)
	if operator.MetricsAddress != "" {
		go serveMetrics(ctx, network, operator.MetricsAddress, components.metrics, log)
	}
	return components.serve(ctx, public, internal)
}

// Garbage collection settings. CPU time is scarcer than memory, so the collector runs rarely;
// near the memory limit it runs more often, so that the process is not killed for exceeding it.
const (
	gcPercent        = 400
	memoryLimitShare = 0.7 // of the memory that the settings allow the process
)

// limitMemory configures the garbage collector for the memory that the settings allow.
func limitMemory(r settings.Resources) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(r.RAMMB * memoryLimitShare * (1 << 20)))
}

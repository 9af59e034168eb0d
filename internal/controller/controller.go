// Package controller assembles one controller process from its parts and serves its two
// addresses: HTTP for users, workers and health checks, gRPC for the other controllers.
// It owns no cluster state. Reading begins with Run.
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

// Run runs a controller on a network until ctx ends or an address can't be served.
func Run(ctx context.Context, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	return runAtLevel(ctx, capability.CurrentLevel, n, p, op, log)
}

// runAtLevel is Run for a version that knows the capabilities of a level: it announces
// that level and uses what all controllers have announced.
func runAtLevel(ctx context.Context, level int, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	limitMemory(p.Facts.Resources)
	public, err := n.Listen(ctx, p.PublicAddr)
	if err != nil {
		return fmt.Errorf("public_addr %s: %w", p.PublicAddr, err)
	}
	defer public.Close()
	internal, err := n.Listen(ctx, p.PeerAddr)
	if err != nil {
		return fmt.Errorf("back %s: %w", p.PeerAddr, err)
	}
	defer internal.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	components, err := assemble(ctx, level, n, p, op, log)
	if err != nil {
		return err
	}
	log.Info("serving", "node", p.Name, "zone", p.Zone, "public_address", p.PublicAddr, "peer_address", p.PeerAddr, "peers", len(p.Peers))
	components.start(ctx)
	return components.serve(ctx, public, internal)
}

// How the process uses its memory. It is there to be used, and the processor is short:
// garbage is collected seldom, but harder near the limit rather than have the process
// killed.
const (
	gcPercent        = 400
	memoryLimitShare = 0.7
)

func limitMemory(r settings.Resources) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(r.RAMMB * memoryLimitShare * (1 << 20)))
}

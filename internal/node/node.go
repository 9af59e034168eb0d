// Package node puts the slices of one controller together and serves its
// addresses.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/fleet"
	"leadproxy/internal/intake"
	"leadproxy/internal/outbound"
	"leadproxy/internal/peers"
	"leadproxy/internal/settings"
	"leadproxy/internal/state"
	"leadproxy/internal/upgrade"
	"leadproxy/internal/wire"
)

// Run runs a controller on a network until ctx ends or an address can't be served.
func Run(ctx context.Context, n outbound.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	return runAtLevel(ctx, upgrade.Level, n, p, op, log)
}

// runAtLevel is Run for a version that knows the capabilities of a level: it announces
// that level and uses what all nodes have announced.
func runAtLevel(ctx context.Context, level int, n outbound.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	f := p.Facts
	// Memory is there to be used, the processor is short: collect seldom, but
	// harder near the limit rather than have the process killed.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(f.Resources.RAMMB * 0.7 * (1 << 20)))

	public, err := n.Listen(ctx, p.Listen)
	if err != nil {
		return fmt.Errorf("public_addr %s: %w", p.Listen, err)
	}
	defer public.Close()
	back, err := n.Listen(ctx, p.Back)
	if err != nil {
		return fmt.Errorf("back %s: %w", p.Back, err)
	}
	defer back.Close()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	share := divide(f.Resources)
	rate := dispatch.FollowerShare(f.Nodes)
	store := state.New(ctx, n, p.Services.State, f.State, rate, log)
	elector := election.New(p.Node, op, store, log)
	socketUse := &socketUse{crowded: int64(share.crowded), roomy: int64(share.roomy)}
	lines := dispatch.ConnLimits{AtOnce: share.orders, Kept: share.kept, Few: share.few, Crowded: socketUse.Crowded}
	dispatcher := dispatch.NewDispatcher(n, p, op, elector, store, lines, log)
	socketUse.makeRoom = dispatcher.HangUp
	others, err := peers.Dial(ctx, n, p.Node, p.Peers)
	if err != nil {
		return err
	}
	elector.Others = others
	versions := upgrade.New(p.Node, level, others.Names(), store, log)
	dispatcher.Upgraded = versions.Done
	go versions.Run(ctx)
	types := watchTypes(ctx, fleet.NewClient(n, p.Services.Cloud, f.Cloud.RPS), log)
	in := intake.New(ctx, p, elector, store, dispatcher, others, types, rate, log)
	in.Upgraded = versions.Done

	router := httprouter.New()
	fit := &health{serving: store.Serving, peers: others, log: log}
	in.Healthy = fit.OK
	in.Routes(router)
	reports := newReportHandler(ctx, p.Node, elector, dispatcher, others, socketUse, log)
	go reports.keepConnected(ctx)
	router.POST("/v1/report", reports.serve)

	log.Info("serving", "node", p.Node, "zone", p.Zone, "public", p.Listen, "back", p.Back, "others", len(p.Peers))
	go elector.Run(ctx)
	go fit.run(ctx)
	view := &reachability{elector: elector, heard: reports.heard, shared: reports.forwarded, up: dispatcher.Machines, unanswered: dispatcher.Unanswered, report: settings.Seconds(f.Workers.ReportS), peers: others, log: log}
	go view.run(ctx)
	go dispatcher.Run(ctx)
	failed := make(chan error, 2)
	grpcServer := peers.NewServer(in, reports, elector.GrantExtension, reports.heard.last)
	go func() { failed <- grpcServer.Serve(back) }()
	web := newServer(router, socketUse, settings.Seconds(f.Workers.LeaseS), log)
	go func() { failed <- web.Serve(netutil.LimitListener(public, share.inbound)) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
		grpcServer.Stop()
		if err := web.Close(); err != nil {
			log.Debug("closing", "error", err)
		}
		return nil
	}
}

// watchTypes reads the machine types until they are known, and now and then
// after that, as types may come.
func watchTypes(ctx context.Context, cloud *fleet.Client, log *slog.Logger) intake.Types {
	var known atomic.Pointer[[]wire.MachineType]
	go func() {
		for ctx.Err() == nil {
			wait := 2 * time.Minute
			types, err := cloud.Types(ctx)
			if err == nil && len(types) > 0 {
				known.Store(&types)
			} else {
				log.Debug("machine types not read", "error", err)
				wait = time.Second
			}
			outbound.Pause(ctx, wait)
		}
	}()
	return func() ([]wire.MachineType, bool) {
		t := known.Load()
		if t == nil {
			return nil, false
		}
		return *t, true
	}
}

// Package controller assembles one controller process from its parts and serves its two
// addresses: HTTP for users, workers and health checks, gRPC for the other controllers.
// It owns no cluster state. Reading begins with Run.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/capability"
	"leadproxy/internal/cells"
	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/jobapi"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/leadertransfer"
	"leadproxy/internal/leadertransfer/handoverpb"
	"leadproxy/internal/ledger"
	"leadproxy/internal/peers"
	"leadproxy/internal/rolloutservice"
	"leadproxy/internal/rolloutservice/rolloutpb"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/softstate/hintpb"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Run runs a controller on a network until ctx ends or an address can't be served.
func Run(ctx context.Context, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	return runAtLevel(ctx, capability.Level, n, p, op, log)
}

// runAtLevel is Run for a version that knows the capabilities of a level: it announces
// that level and uses what all nodes have announced.
func runAtLevel(ctx context.Context, level int, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) error {
	limitMemory(p.Facts.Resources)
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
	parts, err := assemble(ctx, level, n, p, op, log)
	if err != nil {
		return err
	}
	log.Info("serving", "node", p.Node, "zone", p.Zone, "public", p.Listen, "back", p.Back, "others", len(p.Peers))
	parts.start(ctx)
	return parts.serve(ctx, public, back)
}

// How the process uses its memory. It is there to be used, and the processor is short:
// garbage is collected seldom, but harder near the limit rather than have the process
// killed.
const (
	gcPercent    = 400
	memoryToFill = 0.7
)

func limitMemory(r settings.Resources) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(r.RAMMB * memoryToFill * (1 << 20)))
}

// parts are the slices of a controller.
type parts struct {
	platform   *settings.Platform
	log        *slog.Logger
	share      sockets
	sockets    *socketUse
	elector    *election.Elector
	dispatcher *dispatch.Dispatcher
	versions   *capability.Negotiator
	intake     *jobapi.Service
	health     *health
	reports    *reportHandler
	workers    *reachability
	cells      *cells.Server
	standby    *standby.Follower // nil: it does not follow
	handover   *leadertransfer.Server
	hintServer *softstate.Server
	hints      *softstate.Follower // nil: this node follows no hints
}

// assemble makes the slices of a controller and introduces them to each other. What
// they do until they are started ends with ctx.
func assemble(ctx context.Context, level int, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) (*parts, error) {
	f := p.Facts
	c := &parts{platform: p, log: log, share: divide(f.Resources)}
	rate := dispatch.FollowerShare(f.Nodes)
	store := kvstore.New(ctx, n, p.Services.State, f.State, rate, log)
	c.elector = election.New(p.Node, op, store, log)
	c.sockets = &socketUse{crowded: int64(c.share.crowded), roomy: int64(c.share.roomy)}
	limits := dispatch.ConnectionLimits{MaxInFlight: c.share.orders, MaxIdle: c.share.kept, MaxIdleWhenScarce: c.share.few, SocketsScarce: c.sockets.Crowded}
	c.dispatcher = dispatch.NewDispatcher(n, p, op, c.elector, store, limits, log)
	c.sockets.makeRoom = c.dispatcher.CloseIdleConnections
	others, err := peers.Dial(ctx, n, p.Node, p.Peers)
	if err != nil {
		return nil, err
	}
	c.elector.Peers = others
	c.versions = capability.New(p.Node, level, others.Names(), store, log)
	pipelines := func() bool { return c.versions.AllSupport(capability.Pipelines) }
	c.dispatcher.AllUpgraded = pipelines
	c.followLeader(n, op, store, others)
	c.dispatcher.TransfersSupported = func() bool { return c.versions.AllSupport(capability.Transfers) }
	if c.dispatcher.Cells, err = cells.Dial(ctx, n, op.Cells, f.Workers.CancelS); err != nil {
		return nil, err
	}
	tracer, err := cells.NewTracer(ctx, op.Cells.Name, op.Cells.TraceFile, log)
	if err != nil {
		return nil, err
	}
	c.dispatcher.TraceTransfer = tracer.Note
	c.cells = cells.NewServer(op.Cells, f.Workers.CancelS, c.dispatcher)
	types := watchTypes(ctx, autoscaler.NewClient(n, p.Services.Cloud, f.Cloud.RPS), log)
	c.intake = jobapi.New(ctx, p, c.elector, store, c.dispatcher, others, types, rate, log)
	c.intake.Upgraded = pipelines
	c.health = &health{serving: store.Serving, peers: others, log: log}
	c.intake.Healthy = c.health.OK
	c.reports = newReportHandler(ctx, p.Node, c.elector, c.dispatcher, others, c.sockets, log)
	c.workers = &reachability{elector: c.elector, heard: c.reports.heard, shared: c.reports.forwarded, up: c.dispatcher.Machines,
		unanswered: c.dispatcher.UnansweredCommands, report: settings.Seconds(f.Workers.ReportS), peers: others, log: log}
	return c, nil
}

// followLeader prepares this controller for taking over, as far as the settings ask for it.
func (c *parts) followLeader(n transport.Network, op settings.Operator, store *kvstore.Client, others *peers.Peers) {
	if op.Standby.Follow {
		c.standby = standby.NewFollower(store, ledger.Prefixes(), int(op.Standby.MaxMB*(1<<20)), c.log)
		c.dispatcher.Standby = c.standby
		c.elector.Ready = c.standby.Ready
	}
	c.hintServer = softstate.NewServer(c.dispatcher, others.Names(), c.log)
	if op.Standby.Hints {
		c.hints = softstate.NewFollower(c.platform.Node, func() string { return c.elector.View().Leader }, others.Conn, c.log)
		c.dispatcher.SoftStateView = c.hints
	}
	c.handover = leadertransfer.NewServer(n, c.platform, c.elector, c.standby, c.hints, c.log)
}

// start has the slices do by themselves what they do, until ctx ends.
func (c *parts) start(ctx context.Context) {
	go c.versions.Run(ctx)
	if c.standby != nil {
		go c.standby.Run(ctx)
		go c.handover.Run(ctx)
	}
	if c.hints != nil {
		go c.hints.Run(ctx)
	}
	go c.reports.keepConnected(ctx)
	go c.elector.Run(ctx)
	go c.health.run(ctx)
	go c.workers.run(ctx)
	go c.dispatcher.Run(ctx)
}

// serve serves both addresses until one fails or ctx ends.
func (c *parts) serve(ctx context.Context, public, back net.Listener) error {
	router := httprouter.New()
	c.intake.Routes(router)
	router.POST("/v1/report", c.reports.serve)
	grpcServer := peers.NewServer(c.intake, c.reports, c.elector.GrantExtension, c.reports.heard.last)
	cellpb.RegisterCellServer(grpcServer, c.cells)
	handoverpb.RegisterHandoverServer(grpcServer, c.handover)
	hintpb.RegisterHintsServer(grpcServer, c.hintServer)
	rolloutpb.RegisterRolloutsServer(grpcServer, rolloutservice.NewServer(c.dispatcher))
	web := newServer(router, c.sockets, settings.Seconds(c.platform.Facts.Workers.LeaseS), c.log)
	failed := make(chan error, 2)
	go func() { failed <- grpcServer.Serve(back) }()
	go func() { failed <- web.Serve(netutil.LimitListener(public, c.share.inbound)) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
		grpcServer.Stop()
		if err := web.Close(); err != nil {
			c.log.Debug("closing", "error", err)
		}
		return nil
	}
}

// watchTypes reads the machine types until they are known, and now and then
// after that, as types may come.
func watchTypes(ctx context.Context, cloud *autoscaler.Client, log *slog.Logger) jobapi.Types {
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
			transport.Pause(ctx, wait)
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

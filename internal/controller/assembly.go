package controller

import (
	"context"
	"log/slog"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/capability"
	"leadproxy/internal/cells"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/jobapi"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/leadertransfer"
	"leadproxy/internal/ledger"
	"leadproxy/internal/peers"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
)

// components are the parts of a controller.
type components struct {
	platform     *settings.Platform
	log          *slog.Logger
	sockets      socketBudget
	connections  *connectionTracker
	elector      *election.Elector
	dispatcher   *dispatch.Dispatcher
	capabilities *capability.Negotiator
	jobs         *jobapi.Service
	heartbeats   *heartbeatHandler
	health       *healthMonitor
	reachability *reachabilityMonitor
	followers    followers
	services     peerServices
}

// followers follow the leader, so that a term that begins here knows what it knew. Each is
// nil unless the settings enable it.
type followers struct {
	standby   *standby.Follower
	softState *softstate.Follower
}

// peerServices are the gRPC services for other controllers, cells and operators that have a
// package of their own.
type peerServices struct {
	cells          *cells.Server
	leaderTransfer *leadertransfer.Server
	softState      *softstate.Server
}

// assemble makes the parts of a controller and connects them. What they do before they are
// started ends with ctx.
func assemble(ctx context.Context, level int, n transport.Network, p *settings.Platform, op settings.Operator, log *slog.Logger) (*components, error) {
	facts := p.Facts
	c := &components{platform: p, log: log, sockets: divideSockets(facts.Resources)}
	c.connections = &connectionTracker{closeAbove: int64(c.sockets.closeAbove), scarceAbove: int64(c.sockets.scarceAbove)}
	rate := dispatch.FollowerShare(facts.ControllerCount)
	store := kvstore.New(ctx, n, p.Services.Store, facts.Store, rate, log)
	c.elector = election.New(p.Name, op, store, log)
	others, err := peers.Dial(ctx, n, p.Name, p.Peers)
	if err != nil {
		return nil, err
	}
	c.elector.Peers = others
	c.capabilities = capability.New(p.Name, level, others.Names(), store, log)
	c.followers = c.newFollowers(op, store, others)
	if err := c.addDispatcher(ctx, n, op, store); err != nil {
		return nil, err
	}
	c.connections.closeIdle = c.dispatcher.CloseIdleConnections
	c.services = peerServices{
		cells:          cells.NewServer(op.Cells, facts.AgentTiming.CancelS, c.dispatcher),
		leaderTransfer: leadertransfer.NewServer(n, p, c.elector, c.followers.standby, c.followers.softState, log),
		softState:      softstate.NewServer(c.dispatcher, others.Names(), log),
	}
	types := watchMachineTypes(ctx, autoscaler.NewClient(n, p.Services.Cloud, facts.Cloud.RPS), log)
	c.health = &healthMonitor{storeServing: store.Serving, peers: others, log: log}
	c.jobs = jobapi.New(ctx, jobapi.Config{
		Platform: p, Elector: c.elector, Store: store, Dispatcher: c.dispatcher, Peers: others, MachineTypes: types,
		StoreShare: rate, PipelinesSupported: c.capabilityCheck(capability.Pipelines), Healthy: c.health.Healthy, Log: log,
	})
	c.heartbeats = newHeartbeatHandler(ctx, p.Name, c.elector, c.dispatcher, others, c.connections, log)
	c.reachability = &reachabilityMonitor{
		elector:             c.elector,
		directHeartbeats:    c.heartbeats.directHeartbeats,
		forwardedHeartbeats: c.heartbeats.forwardedHeartbeats,
		expectedMachines:    c.dispatcher.ExpectedMachines,
		unansweredCommands:  c.dispatcher.UnansweredCommands,
		heartbeatInterval:   settings.Seconds(facts.AgentTiming.HeartbeatS),
		peers:               others,
		log:                 log,
	}
	return c, nil
}

// capabilityCheck returns a check whether all controllers have announced a level of capabilities.
func (c *components) capabilityCheck(level int) func() bool {
	return func() bool { return c.capabilities.AllSupport(level) }
}

// newFollowers makes the followers that the settings enable.
func (c *components) newFollowers(op settings.Operator, store *kvstore.Client, others *peers.Peers) followers {
	var f followers
	if op.Standby.Follow {
		f.standby = standby.NewFollower(store, ledger.Prefixes(), int(op.Standby.MaxMB*(1<<20)), c.log)
		c.elector.Ready = f.standby.Ready
	}
	if op.Standby.SoftState {
		leader := func() string { return c.elector.View().Leader }
		f.softState = softstate.NewFollower(c.platform.Name, leader, others.Conn, c.log)
	}
	return f
}

// addDispatcher makes the dispatcher with its connections to workers and to other cells.
func (c *components) addDispatcher(ctx context.Context, n transport.Network, op settings.Operator, store *kvstore.Client) error {
	neighbours, err := cells.Dial(ctx, n, op.Cells, c.platform.Facts.AgentTiming.CancelS)
	if err != nil {
		return err
	}
	tracer, err := cells.NewTracer(ctx, op.Cells.Name, op.Cells.TraceFile, c.log)
	if err != nil {
		return err
	}
	config := dispatch.Config{
		Network: n, Platform: c.platform, Operator: op, Elector: c.elector, Store: store, Log: c.log,
		Connections: dispatch.ConnectionLimits{
			MaxInFlight: c.sockets.commands, MaxIdle: c.sockets.idle, MaxIdleWhenScarce: c.sockets.idleWhenScarce, SocketsScarce: c.connections.scarce,
		},
		PipelinesSupported: c.capabilityCheck(capability.Pipelines),
		TransfersSupported: c.capabilityCheck(capability.Transfers),
		Neighbours:         neighbours,
		TraceTransfer:      tracer.RecordStep,
	}
	// A nil pointer in an interface would not be nil.
	if c.followers.standby != nil {
		config.Standby = c.followers.standby
	}
	if c.followers.softState != nil {
		config.SoftState = c.followers.softState
	}
	c.dispatcher = dispatch.NewDispatcher(config)
	return nil
}

// start starts what the parts do by themselves, until ctx ends.
func (c *components) start(ctx context.Context) {
	go c.capabilities.Run(ctx)
	if c.followers.standby != nil {
		go c.followers.standby.Run(ctx)
		go c.services.leaderTransfer.Run(ctx)
	}
	if c.followers.softState != nil {
		go c.followers.softState.Run(ctx)
	}
	go c.heartbeats.keepConnected(ctx)
	go c.elector.Run(ctx)
	go c.health.run(ctx)
	go c.reachability.run(ctx)
	go c.dispatcher.Run(ctx)
}

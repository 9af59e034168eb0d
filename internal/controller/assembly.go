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
	"leadproxy/internal/metrics"
	"leadproxy/internal/peers"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
)

// components are the parts of a controller process.
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
	metrics      *metrics.Metrics
}

// followers replicate the leader's state, so that this controller can take over quickly. Each
// is nil unless the settings enable it.
type followers struct {
	standby   *standby.Follower
	softState *softstate.Follower
}

// peerServices are the gRPC services for other controllers, other cells and operators that are
// implemented in packages of their own.
type peerServices struct {
	cells          *cells.Server
	leaderTransfer *leadertransfer.Server
	softState      *softstate.Server
}

// assemble creates the components of a controller and connects them. Connections and goroutines
// that it already starts end with ctx; start starts the rest.
func assemble(ctx context.Context, level int, network transport.Network, platform *settings.Platform, operator settings.Operator, log *slog.Logger) (*components, error) {
	facts := platform.Facts
	c := &components{platform: platform, log: log, sockets: divideSockets(facts.Resources), metrics: metrics.New()}
	c.connections = &connectionTracker{closeAbove: int64(c.sockets.closeAbove), scarceAbove: int64(c.sockets.scarceAbove)}
	rate := dispatch.FollowerShare(facts.ControllerCount)
	store := kvstore.New(ctx, network, platform.Services.Store, facts.Store, rate, log)
	c.elector = election.New(platform.Name, operator, store, log)
	others, err := peers.Dial(ctx, network, platform.Name, platform.Peers)
	if err != nil {
		return nil, err
	}
	c.elector.Peers = others
	c.capabilities = capability.New(platform.Name, level, others.Names(), store, log)
	c.followers = c.newFollowers(operator, store, others)
	if err := c.addDispatcher(ctx, network, operator, store); err != nil {
		return nil, err
	}
	c.connections.closeIdle = c.dispatcher.CloseIdleConnections
	c.services = peerServices{
		cells:          cells.NewServer(operator.Cells, facts.AgentTiming.CancelS, c.dispatcher),
		leaderTransfer: leadertransfer.NewServer(network, platform, c.elector, c.followers.standby, c.followers.softState, log),
		softState:      softstate.NewServer(c.dispatcher, others.Names(), log),
	}
	types := watchMachineTypes(ctx, autoscaler.NewClient(network, platform.Services.Cloud, facts.Cloud.RPS), log)
	c.health = &healthMonitor{storeServing: store.Serving, peers: others, log: log}
	c.jobs = jobapi.New(ctx, jobapi.Config{
		Platform: platform, Elector: c.elector, Store: store, Dispatcher: c.dispatcher, Peers: others, MachineTypes: types,
		StoreShare: rate, PipelinesSupported: c.capabilityCheck(capability.Pipelines), Healthy: c.health.Healthy, Metrics: c.metrics, Log: log,
	})
	c.registerMetricSources(store)
	c.heartbeats = newHeartbeatHandler(ctx, platform.Name, c.elector, c.dispatcher, others, c.connections, log)
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

// capabilityCheck returns a function that reports whether all controllers have announced
// support for a capability level.
func (c *components) capabilityCheck(level int) func() bool {
	return func() bool { return c.capabilities.AllSupport(level) }
}

// newFollowers creates the followers that the settings enable.
func (c *components) newFollowers(operator settings.Operator, store *kvstore.Client, others *peers.Peers) followers {
	var f followers
	if operator.Standby.Follow {
		f.standby = standby.NewFollower(store, ledger.Prefixes(), int(operator.Standby.MaxMB*(1<<20)), c.log)
		c.elector.Ready = f.standby.Ready
	}
	if operator.Standby.SoftState {
		leader := func() string { return c.elector.View().Leader }
		f.softState = softstate.NewFollower(c.platform.Name, leader, others.Conn, c.log)
	}
	return f
}

// addDispatcher creates the dispatcher and its connections to agents and to other cells.
func (c *components) addDispatcher(ctx context.Context, network transport.Network, operator settings.Operator, store *kvstore.Client) error {
	neighbours, err := cells.Dial(ctx, network, operator.Cells, c.platform.Facts.AgentTiming.CancelS)
	if err != nil {
		return err
	}
	tracer, err := cells.NewTracer(ctx, operator.Cells.Name, operator.Cells.TraceFile, c.log)
	if err != nil {
		return err
	}
	config := dispatch.Config{
		Network: network, Platform: c.platform, Operator: operator, Elector: c.elector, Store: store, Log: c.log,
		Connections: dispatch.ConnectionLimits{
			MaxInFlight: c.sockets.commands, MaxIdle: c.sockets.idle, MaxIdleWhenScarce: c.sockets.idleWhenScarce, SocketsScarce: c.connections.scarce,
		},
		PipelinesSupported: c.capabilityCheck(capability.Pipelines),
		TransfersSupported: c.capabilityCheck(capability.Transfers),
		Neighbours:         neighbours,
		Metrics:            c.metrics,
		TraceTransfer:      tracer.RecordStep,
	}
	// Assigning a nil pointer would make the interface fields non-nil.
	if c.followers.standby != nil {
		config.Standby = c.followers.standby
	}
	if c.followers.softState != nil {
		config.SoftState = c.followers.softState
	}
	c.dispatcher = dispatch.NewDispatcher(config)
	return nil
}

// start starts the components' background goroutines, which run until ctx ends.
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

package controller

import (
	"context"
	"fmt"
	"net"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/net/netutil"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/leadertransfer/handoverpb"
	"leadproxy/internal/peers"
	"leadproxy/internal/rolloutservice"
	"leadproxy/internal/rolloutservice/rolloutpb"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate/hintpb"
)

// serve serves HTTP on the public listener and gRPC on the internal one. It returns an error if one
// of them fails, and nil when ctx ends.
func (c *components) serve(ctx context.Context, public, internal net.Listener) error {
	router := httprouter.New()
	c.jobs.RegisterRoutes(router)
	router.POST("/v1/report", c.heartbeats.serve)
	grpcServer := peers.NewServer(peers.ServerConfig{
		Jobs: c.jobs, Heartbeats: c.heartbeats, GrantExtension: c.elector.GrantExtension, DirectHeartbeats: c.heartbeats.directHeartbeats.countWithin,
	})
	cellpb.RegisterCellServer(grpcServer, c.services.cells)
	handoverpb.RegisterHandoverServer(grpcServer, c.services.leaderTransfer)
	hintpb.RegisterHintsServer(grpcServer, c.services.softState)
	rolloutpb.RegisterRolloutsServer(grpcServer, rolloutservice.NewServer(c.dispatcher))
	web := newHTTPServer(router, c.connections, settings.Seconds(c.platform.Facts.AgentTiming.LeaseS), c.log)
	failed := make(chan error, 2)
	go func() { failed <- grpcServer.Serve(internal) }()
	go func() { failed <- web.Serve(netutil.LimitListener(public, c.sockets.inbound)) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving HTTP or gRPC: %w", err)
	case <-ctx.Done():
		grpcServer.Stop()
		if err := web.Close(); err != nil {
			c.log.Debug("closing the HTTP server failed", "error", err)
		}
		return nil
	}
}

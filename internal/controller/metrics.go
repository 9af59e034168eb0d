package controller

import (
	"context"
	"log/slog"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/metrics"
	"leadproxy/internal/transport"
)

// registerMetricSources connects the gauges with the components.
func (c *components) registerMetricSources(store *kvstore.Client) {
	c.metrics.RegisterSources(metrics.Sources{
		Leading:    func() bool { return c.elector.View().IsLeader(time.Now()) },
		LeaderTerm: func() uint64 { return c.elector.View().Term },
		LeaseRemaining: func() time.Duration {
			if view := c.elector.View(); view.Elected {
				return max(0, time.Until(view.LeaseExpiry))
			}
			return 0
		},
		StoreServing:      store.Serving,
		StoreRevision:     store.Revision,
		WatchRevision:     c.dispatcher.WatchRevision,
		WatchAge:          c.dispatcher.WatchAge,
		Unknown:           c.dispatcher.UnknownPredecessors,
		OldestUnknownTime: c.dispatcher.OldestUnknownPredecessor,
	})
}

// serveMetrics serves the metrics at an address until ctx ends. A controller without metrics works
// as well as one with them, so an address that can't be used is only logged.
func serveMetrics(ctx context.Context, network transport.Network, address string, m *metrics.Metrics, log *slog.Logger) {
	listener, err := network.Listen(ctx, address)
	if err != nil {
		log.Error("metrics are not served", "address", address, "error", err)
		return
	}
	log.Info("serving metrics", "address", address, "path", metrics.Path)
	if err := m.Serve(ctx, listener); err != nil {
		log.Error("metrics are no longer served", "address", address, "error", err)
	}
}

package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Path is the HTTP path under which the metrics are served.
const Path = "/metrics"

const (
	// maxScrapes is how many requests are answered at the same time.
	maxScrapes = 2
	// scrapeTimeout bounds the reading of a request and the writing of its response.
	scrapeTimeout = 5 * time.Second
)

// Serve serves the metrics, and nothing else, on a listener until ctx ends, and then returns nil. It
// returns an error if the listener fails.
func (m *Metrics) Serve(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	server := &http.Server{Handler: mux, ReadTimeout: scrapeTimeout, WriteTimeout: scrapeTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

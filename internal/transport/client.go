package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = time.Second
	// idleConnTimeout is how long a client keeps an idle connection.
	idleConnTimeout = time.Minute
	// clientBufferSize is the size in bytes of each connection's read buffer and write buffer.
	// There are many connections, and most messages are short.
	clientBufferSize = 2 << 10
)

// NewClient returns a client that keeps up to maxIdle idle connections to each address.
func NewClient(network Network, maxIdle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return network.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      clientBufferSize,
		WriteBufferSize:     clientBufferSize,
	}}
}

// NotSent reports whether a failed call was certainly not executed because there was no connection.
// A cancelled attempt to connect never completes later.
func NotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

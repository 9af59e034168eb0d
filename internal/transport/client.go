package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds how long a client tries to connect.
	dialTimeout = time.Second
	// idleConnTimeout is how long a client keeps an idle connection.
	idleConnTimeout = time.Minute
	// clientBufferSize is the size of each connection's read and of its write buffer. There are
	// many connections, and most messages are short.
	clientBufferSize = 2 << 10
)

// NewClient returns a client that keeps up to maxIdle idle connections to each address.
func NewClient(n Network, maxIdle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return n.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      clientBufferSize,
		WriteBufferSize:     clientBufferSize,
	}}
}

// NotSent reports whether a failed call was certainly not executed since there was no connection.
// An attempt to connect that was given up never completes later.
func NotSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

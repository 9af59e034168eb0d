// Package transport has what all calls to other systems share: the network interface, the HTTP
// client, whether a failed call can have been executed, and the pause before a retry.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// bufferSize is for each connection both ways: there are many, and most messages
// are short.
const bufferSize = 2 << 10

// Network is how a node reaches others and is reached.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

// TCP is the network of the machine. Every call has a time limit and who is silent
// for long is hung up on, so that probes of idle connections would tell nothing;
// they cost four system calls for each connection.
type TCP struct{}

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// Listen serves an address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

// dialLimit bounds how long a client tries to connect.
const dialLimit = time.Second

// NewClient makes a client that keeps up to idle connections to each address.
func NewClient(n Network, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialLimit)
			defer cancel()
			return n.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}}
}

// NotSent tells of a failed call that it was surely not carried out: there
// was no connection, and an attempt to connect that was given up never
// completes later.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Pause waits for a while, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

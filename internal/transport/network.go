// Package transport provides what all calls to other systems share: the network interface, HTTP
// clients for calls from many goroutines and for calls from one, a check whether a failed call can
// have been executed, and the pause before a retry.
//
// It knows no protocol above HTTP, and does not retry.
package transport

import (
	"context"
	"net"
)

// Network is how a controller connects to other systems and accepts their connections.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

// TCP is the machine's network. Keep-alive probes are off, because every call has a timeout and idle
// connections are closed: probes would detect nothing more, and cost four system calls per
// connection.
type TCP struct{}

// Dial connects to an address.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// Listen listens for connections at an address.
func (TCP) Listen(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr)
}

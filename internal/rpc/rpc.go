// Package rpc sets up gRPC connections to controllers.
package rpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"leadproxy/internal/outbound"
)

// maxReconnect bounds how long a broken connection rests: a controller that was restarted
// must not be shunned for long.
const maxReconnect = time.Second

var reconnect = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxReconnect}

// Connect prepares a connection to an address of a controller. Nothing is sent before the
// first call.
func Connect(n outbound.Network, addr string, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnect}),
		grpc.WithContextDialer(n.Dial),
	}, more...)
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// Call makes one call over a connection of its own, within a time.
func Call(ctx context.Context, n outbound.Network, addr string, limit time.Duration, do func(ctx context.Context, conn *grpc.ClientConn) error) error {
	conn, err := Connect(n, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return do(ctx, conn)
}

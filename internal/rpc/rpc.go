// Package rpc sets up gRPC connections to controllers.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// maxReconnect bounds how long a broken connection rests: a controller that was restarted
// must not be shunned for long.
const maxReconnect = time.Second

var reconnect = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxReconnect}

// Connect prepares a connection to an address of a controller. Nothing is sent before the
// first call.
func Connect(n transport.Network, addr string, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnect}),
		grpc.WithContextDialer(n.Dial),
	}, more...)
	return grpc.NewClient("passthrough:///"+addr, options...)
}

// Call makes one call over a connection of its own, within a time.
func Call(ctx context.Context, n transport.Network, addr string, limit time.Duration, do func(ctx context.Context, conn *grpc.ClientConn) error) error {
	conn, err := Connect(n, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return do(ctx, conn)
}

// CallLeader has controllers asked one after the other until one answers, which is the one
// that leads. What that one refuses, none of the others would do.
func CallLeader(ctx context.Context, n transport.Network, controllers []settings.Peer, limit time.Duration, ask func(ctx context.Context, conn *grpc.ClientConn) error) error {
	var errs []error
	for _, c := range controllers {
		err := Call(ctx, n, c.Addr, limit, ask)
		switch status.Code(err) {
		case codes.OK:
			return nil
		case codes.FailedPrecondition, codes.InvalidArgument:
			return errors.New(status.Convert(err).Message())
		}
		errs = append(errs, fmt.Errorf("controller %s: %w", c.Node, err))
	}
	return errors.Join(errs...)
}

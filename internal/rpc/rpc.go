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

// maxReconnectDelay bounds the back-off before a broken connection is reopened, so that a controller
// that was restarted is soon reachable again.
const maxReconnectDelay = time.Second

var reconnectBackoff = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxReconnectDelay}

// RefusedError means that a controller refused a call for a reason that applies to all controllers.
type RefusedError struct{ Reason string }

// Error returns the reason as the controller gave it.
func (e *RefusedError) Error() string { return e.Reason }

// Connect prepares a connection to the address of a controller. Nothing is sent before the first
// call.
func Connect(network transport.Network, address string, extraOptions ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithContextDialer(network.Dial),
	}, extraOptions...)
	return grpc.NewClient("passthrough:///"+address, options...)
}

// Call makes one call over a new connection, which it closes afterwards. The timeout bounds the call.
func Call(ctx context.Context, network transport.Network, address string, timeout time.Duration, call func(ctx context.Context, conn *grpc.ClientConn) error) error {
	conn, err := Connect(network, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx, conn)
}

// CallLeader makes a call to one controller after the other until one succeeds: only the leader serves
// such calls. If a controller refuses the call with FailedPrecondition or InvalidArgument, the error
// is a RefusedError and the remaining controllers are not called. Otherwise it joins the errors of all
// controllers.
func CallLeader(ctx context.Context, network transport.Network, controllers []settings.Peer, timeout time.Duration, call func(ctx context.Context, conn *grpc.ClientConn) error) error {
	var errs []error
	for _, controller := range controllers {
		err := Call(ctx, network, controller.Addr, timeout, call)
		switch status.Code(err) {
		case codes.OK:
			return nil
		case codes.FailedPrecondition, codes.InvalidArgument:
			return &RefusedError{Reason: status.Convert(err).Message()}
		}
		errs = append(errs, fmt.Errorf("controller %s: %w", controller.Name, err))
	}
	return errors.Join(errs...)
}

package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/emptypb"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// startController starts a server that answers every call with a status code, and returns its address.
func startController(t *testing.T, code codes.Code) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpc.UnknownServiceHandler(func(_ any, stream grpc.ServerStream) error {
		if code != codes.OK {
			return status.Error(code, "because")
		}
		if err := stream.RecvMsg(&emptypb.Empty{}); err != nil {
			return err
		}
		return stream.SendMsg(&emptypb.Empty{})
	}))
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// TestCallLeader checks that controllers that don't lead are skipped, and that after a refusal no other
// controller is called.
func TestCallLeader(t *testing.T) {
	cases := []struct {
		name        string
		controllers []codes.Code
		refused     bool
		failed      []string // controllers named in the error
	}{
		{"the first leads", []codes.Code{codes.OK, codes.InvalidArgument}, false, nil},
		{"the second leads", []codes.Code{codes.Unavailable, codes.OK}, false, nil},
		{"the leader refuses the call", []codes.Code{codes.Unavailable, codes.FailedPrecondition, codes.OK}, true, nil},
		{"the call is invalid", []codes.Code{codes.InvalidArgument, codes.OK}, true, nil},
		{"none leads", []codes.Code{codes.Unavailable, codes.Unavailable}, false, []string{"controller n0", "controller n1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var controllers []settings.Peer
			for i, code := range c.controllers {
				controllers = append(controllers, settings.Peer{Name: fmt.Sprintf("n%d", i), Addr: startController(t, code)})
			}
			err := CallLeader(t.Context(), transport.TCP{}, controllers, 5*time.Second, func(ctx context.Context, conn *grpc.ClientConn) error {
				return conn.Invoke(ctx, "/test.Service/Call", &emptypb.Empty{}, &emptypb.Empty{})
			})
			var refusal *RefusedError
			if refused := errors.As(err, &refusal); refused != c.refused || refused && refusal.Error() != "because" {
				t.Errorf("error %v, refused %v, want %v", err, refused, c.refused)
			}
			if !c.refused && (err != nil) != (len(c.failed) > 0) {
				t.Errorf("error %v, want an error: %v", err, len(c.failed) > 0)
			}
			for _, name := range c.failed {
				if !strings.Contains(err.Error(), name) {
					t.Errorf("error %v does not name %s", err, name)
				}
			}
		})
	}
}

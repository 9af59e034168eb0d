package rolloutservice

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/rollout"
	"leadproxy/internal/rolloutservice/rolloutpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// callTimeout bounds a call to one controller. It is long because the leader responds to a command
// only once the command is durable.
const callTimeout = 5 * time.Second

// callLeader calls the controllers one after the other until send succeeds, which it does only at
// the leader. A request that the leader refuses is an *rpc.RefusedError.
func callLeader(ctx context.Context, network transport.Network, platform *settings.Platform, send func(ctx context.Context, leader rolloutpb.RolloutsClient) error) error {
	return rpc.CallLeader(ctx, network, platform.Controllers(), callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		return send(ctx, rolloutpb.NewRolloutsClient(conn))
	})
}

// Create creates a plan from the text of its INI file and returns the plan's name.
func Create(ctx context.Context, network transport.Network, platform *settings.Platform, text string) (string, error) {
	var name string
	err := callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		reply, err := leader.Create(ctx, &rolloutpb.CreateRequest{Text: text})
		name = reply.GetName()
		return err
	})
	return name, err
}

// Steer sends a command to a plan. It returns nil once the command is durable. The argument is
// empty for commands that have none.
func Steer(ctx context.Context, network transport.Network, platform *settings.Platform, name string, command rollout.Command, argument string) error {
	return callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		_, err := leader.Steer(ctx, &rolloutpb.SteerRequest{Name: name, Command: string(command), Argument: argument})
		return err
	})
}

// List returns all plans and the disrupted jobs.
func List(ctx context.Context, network transport.Network, platform *settings.Platform) (*rolloutpb.ListReply, error) {
	var list *rolloutpb.ListReply
	err := callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		reply, err := leader.List(ctx, &rolloutpb.ListRequest{})
		list = reply
		return err
	})
	return list, err
}

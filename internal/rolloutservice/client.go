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

// callTimeout bounds a call. It is long because a command is answered once it is durable.
const callTimeout = 5 * time.Second

// callLeader sends a request to the leader of a deployment.
func callLeader(ctx context.Context, network transport.Network, platform *settings.Platform, send func(ctx context.Context, leader rolloutpb.RolloutsClient) error) error {
	return rpc.CallLeader(ctx, network, platform.Controllers(), callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		return send(ctx, rolloutpb.NewRolloutsClient(conn))
	})
}

// Create creates a plan from its text and returns its name.
func Create(ctx context.Context, network transport.Network, platform *settings.Platform, text string) (string, error) {
	var name string
	err := callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		reply, err := leader.Create(ctx, &rolloutpb.CreateRequest{Text: text})
		name = reply.GetName()
		return err
	})
	return name, err
}

// Steer gives a command to a plan.
func Steer(ctx context.Context, network transport.Network, platform *settings.Platform, name string, command rollout.Command, argument string) error {
	return callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		_, err := leader.Steer(ctx, &rolloutpb.SteerRequest{Name: name, Command: string(command), Argument: argument})
		return err
	})
}

// List requests the list of all plans and the disrupted jobs.
func List(ctx context.Context, network transport.Network, platform *settings.Platform) (*rolloutpb.ListReply, error) {
	var list *rolloutpb.ListReply
	err := callLeader(ctx, network, platform, func(ctx context.Context, leader rolloutpb.RolloutsClient) error {
		reply, err := leader.List(ctx, &rolloutpb.ListRequest{})
		list = reply
		return err
	})
	return list, err
}

package peers

import (
	"context"
	"fmt"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// Ask forwards a user's request to a controller and returns the response.
func (p *Peers) Ask(ctx context.Context, controller string, request jobapi.Request) (jobapi.Response, error) {
	peer, err := p.find(controller)
	if err != nil {
		return jobapi.Response{}, err
	}
	reply, err := peer.client.Ask(ctx, &peerpb.AskRequest{Kind: peerpb.AskRequest_Kind(request.Kind), Ref: request.JobID, Body: request.Body})
	if err != nil {
		return jobapi.Response{}, fmt.Errorf("controller %s: %w", controller, err)
	}
	return jobapi.Response{Status: int(reply.Status), Body: reply.Body, RetryAfter: int(reply.RetryAfterS)}, nil
}

// Ping checks whether a controller responds, and returns how many heartbeats agents have sent
// directly to it within the given time.
func (p *Peers) Ping(ctx context.Context, controller string, within time.Duration) (heartbeats int, err error) {
	peer, err := p.find(controller)
	if err != nil {
		return 0, err
	}
	reply, err := peer.client.Ping(ctx, &peerpb.PingRequest{WithinMs: within.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("controller %s: %w", controller, err)
	}
	return int(reply.Reports), nil
}

// RequestExtension asks a controller to grant an extension of the leader's lease: not to act as
// the leader for the duration. It reports whether the controller granted it.
func (p *Peers) RequestExtension(ctx context.Context, controller string, duration time.Duration) (bool, error) {
	peer, err := p.find(controller)
	if err != nil {
		return false, err
	}
	reply, err := peer.client.Vouch(ctx, &peerpb.VouchRequest{ForMs: duration.Milliseconds()})
	if err != nil {
		return false, fmt.Errorf("controller %s: %w", controller, err)
	}
	return reply.Promised, nil
}

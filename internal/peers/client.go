package peers

import (
	"context"
	"fmt"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// Ask forwards a user's request to a controller.
func (p *Peers) Ask(ctx context.Context, node string, request jobapi.Request) (jobapi.Response, error) {
	peer, err := p.find(node)
	if err != nil {
		return jobapi.Response{}, err
	}
	reply, err := peer.client.Ask(ctx, &peerpb.AskRequest{Kind: peerpb.AskRequest_Kind(request.Kind), Ref: request.JobID, Body: request.Body})
	if err != nil {
		return jobapi.Response{}, fmt.Errorf("node %s: %w", node, err)
	}
	return jobapi.Response{Status: int(reply.Status), Body: reply.Body, RetryAfter: int(reply.RetryAfterS)}, nil
}

// Ping checks whether a controller responds, and returns how many heartbeats workers have
// sent it within a time.
func (p *Peers) Ping(ctx context.Context, node string, within time.Duration) (heartbeats int, err error) {
	peer, err := p.find(node)
	if err != nil {
		return 0, err
	}
	reply, err := peer.client.Ping(ctx, &peerpb.PingRequest{WithinMs: within.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("node %s: %w", node, err)
	}
	return int(reply.Reports), nil
}

// RequestExtension asks a controller to grant an extension of the lease: that it won't act
// as the leader for a while.
func (p *Peers) RequestExtension(ctx context.Context, node string, duration time.Duration) (bool, error) {
	peer, err := p.find(node)
	if err != nil {
		return false, err
	}
	reply, err := peer.client.Vouch(ctx, &peerpb.VouchRequest{ForMs: duration.Milliseconds()})
	if err != nil {
		return false, fmt.Errorf("node %s: %w", node, err)
	}
	return reply.Promised, nil
}

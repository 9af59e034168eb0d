package peers

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// ServerConfig holds the dependencies of the server for the other controllers.
type ServerConfig struct {
	Jobs *jobapi.Service
	// Heartbeats responds to forwarded heartbeats if this controller leads.
	Heartbeats HeartbeatReceiver
	// GrantExtension is the method of the elector.
	GrantExtension func(ctx context.Context, duration time.Duration) bool
	// DirectHeartbeats returns how many heartbeats agents have sent directly to this controller
	// within the given time. Forwarded heartbeats don't count.
	DirectHeartbeats func(within time.Duration) int
}

// NewServer returns the gRPC server for the other controllers. The caller may register further
// services with it.
func NewServer(config ServerConfig) *grpc.Server {
	grpcServer := grpc.NewServer(grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes))
	peerpb.RegisterPeerServer(grpcServer, &server{config: config})
	return grpcServer
}

// server implements the gRPC service for the other controllers.
type server struct {
	peerpb.UnimplementedPeerServer
	config ServerConfig
}

// Ping returns how many heartbeats agents have sent directly to this controller.
func (s *server) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	within := time.Duration(r.WithinMs) * time.Millisecond
	return &peerpb.PingReply{Reports: int64(s.config.DirectHeartbeats(within))}, nil
}

// Vouch grants or refuses an extension of the leader's lease.
func (s *server) Vouch(ctx context.Context, r *peerpb.VouchRequest) (*peerpb.VouchReply, error) {
	duration := time.Duration(r.ForMs) * time.Millisecond
	return &peerpb.VouchReply{Promised: s.config.GrantExtension(ctx, duration)}, nil
}

// Ask serves a user's request that another controller has forwarded.
func (s *server) Ask(ctx context.Context, r *peerpb.AskRequest) (*peerpb.AskReply, error) {
	response := s.config.Jobs.Handle(ctx, jobapi.Request{Kind: jobapi.Kind(r.Kind), JobID: r.Ref, Body: r.Body, LocalOnly: true})
	return &peerpb.AskReply{Status: int32(response.Status), Body: response.Body, RetryAfterS: int32(response.RetryAfter)}, nil
}

// Package peers carries requests between controllers, over gRPC.
package peers

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// window is how much may be on its way unread, both ways. A fixed one spares the
// library's probing for a better one: a ping and its answer for every batch.
const window = 1 << 20

// Peers holds the connections to the other controllers.
type Peers struct {
	names  []string
	byName map[string]peer // filled once, then only read
}

// peer is what speaks to one other controller.
type peer struct {
	conn      *grpc.ClientConn
	client    peerpb.PeerClient
	forwarder *forwarder // of workers' reports
}

// Dial prepares a connection to each of the other controllers for the node of a
// name, until ctx ends. Nothing is sent until the first request.
func Dial(ctx context.Context, n transport.Network, node string, others []settings.Peer) (*Peers, error) {
	p := &Peers{byName: map[string]peer{}}
	for _, o := range others {
		conn, err := rpc.Connect(n, o.Addr, grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window))
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", o.Node, err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		p.names = append(p.names, o.Node)
		client := peerpb.NewPeerClient(conn)
		f := newForwarder(node, func(ctx context.Context) (reportStream, error) { return client.Share(ctx) })
		p.byName[o.Node] = peer{conn, client, f}
		go f.run(ctx)
	}
	return p, nil
}

// Conn returns the connection to a node, for the calls of other packages.
func (p *Peers) Conn(node string) (grpc.ClientConnInterface, error) {
	o, err := p.find(node)
	if err != nil {
		return nil, err
	}
	return o.conn, nil
}

// Names lists the other controllers.
func (p *Peers) Names() []string { return p.names }

func (p *Peers) find(node string) (peer, error) {
	o, ok := p.byName[node]
	if !ok {
		return o, fmt.Errorf("node %q is not one of the others", node)
	}
	return o, nil
}

// Ask forwards a user's request to a controller.
func (p *Peers) Ask(ctx context.Context, node string, request jobapi.Request) (jobapi.Response, error) {
	o, err := p.find(node)
	if err != nil {
		return jobapi.Response{}, err
	}
	reply, err := o.client.Ask(ctx, &peerpb.AskRequest{Kind: peerpb.AskRequest_Kind(request.Kind), Ref: request.JobID, Body: request.Body})
	if err != nil {
		return jobapi.Response{}, fmt.Errorf("node %s: %w", node, err)
	}
	return jobapi.Response{Status: int(reply.Status), Body: reply.Body, RetryAfter: int(reply.RetryAfterS)}, nil
}

// Ping asks whether a node answers, and how many reports workers have sent it
// within a time.
func (p *Peers) Ping(ctx context.Context, node string, within time.Duration) (reports int, err error) {
	o, err := p.find(node)
	if err != nil {
		return 0, err
	}
	r, err := o.client.Ping(ctx, &peerpb.PingRequest{WithinMs: within.Milliseconds()})
	if err != nil {
		return 0, fmt.Errorf("node %s: %w", node, err)
	}
	return int(r.Reports), nil
}

// RequestExtension asks a node to promise that it won't act as the leader for a while.
func (p *Peers) RequestExtension(ctx context.Context, node string, hold time.Duration) (bool, error) {
	o, err := p.find(node)
	if err != nil {
		return false, err
	}
	r, err := o.client.Vouch(ctx, &peerpb.VouchRequest{ForMs: hold.Milliseconds()})
	if err != nil {
		return false, fmt.Errorf("node %s: %w", node, err)
	}
	return r.Promised, nil
}

// server answers the other controllers.
type server struct {
	peerpb.UnimplementedPeerServer
	intake  *jobapi.Service
	reports HeartbeatReceiver
	promise func(ctx context.Context, hold time.Duration) bool
	heard   func(within time.Duration) int
}

func (s *server) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Reports: int64(s.heard(time.Duration(r.WithinMs) * time.Millisecond))}, nil
}

func (s *server) Vouch(ctx context.Context, r *peerpb.VouchRequest) (*peerpb.VouchReply, error) {
	return &peerpb.VouchReply{Promised: s.promise(ctx, time.Duration(r.ForMs)*time.Millisecond)}, nil
}

func (s *server) Ask(ctx context.Context, r *peerpb.AskRequest) (*peerpb.AskReply, error) {
	a := s.intake.Handle(ctx, jobapi.Request{Kind: jobapi.Kind(r.Kind), JobID: r.Ref, Body: r.Body, LocalOnly: true})
	return &peerpb.AskReply{Status: int32(a.Status), Body: a.Body, RetryAfterS: int32(a.RetryAfter)}, nil
}

// NewServer makes the server for the other controllers. reports answers workers'
// reports if this node leads; promise is the elector's; heard counts the reports
// that have come straight here.
// The caller may register further services with it.
func NewServer(in *jobapi.Service, reports HeartbeatReceiver,
	promise func(ctx context.Context, hold time.Duration) bool, heard func(within time.Duration) int) *grpc.Server {
	g := grpc.NewServer(grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window))
	peerpb.RegisterPeerServer(g, &server{intake: in, reports: reports, promise: promise, heard: heard})
	return g
}

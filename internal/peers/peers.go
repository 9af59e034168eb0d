// Package peers carries requests between controllers, over gRPC: users' requests that
// another controller can serve, workers' heartbeats for the leader, and what controllers ask
// to judge who may lead.
package peers

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	"leadproxy/internal/peers/peerpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// windowBytes is how much may be in flight unread, both ways. A fixed window spares the
// library's probing for a better one: a ping and its response for every batch.
const windowBytes = 1 << 20

// Peers holds the connections to the other controllers.
type Peers struct {
	names  []string
	byName map[string]peer // filled once, then only read
}

// peer is the connection to one other controller.
type peer struct {
	conn      *grpc.ClientConn
	client    peerpb.PeerClient
	forwarder *forwarder // of workers' heartbeats
}

// Dial prepares a connection from the controller named node to each of the others, until
// ctx ends. Nothing is sent until the first request.
func Dial(ctx context.Context, network transport.Network, node string, others []settings.Peer) (*Peers, error) {
	p := &Peers{byName: map[string]peer{}}
	for _, other := range others {
		conn, err := rpc.Connect(network, other.Addr, grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes))
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", other.Name, err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		client := peerpb.NewPeerClient(conn)
		forwarder := newForwarder(node, func(ctx context.Context) (heartbeatStream, error) { return client.Share(ctx) })
		p.names = append(p.names, other.Name)
		p.byName[other.Name] = peer{conn: conn, client: client, forwarder: forwarder}
		go forwarder.run(ctx)
	}
	return p, nil
}

// Conn returns the connection to a controller, for the calls of other packages.
func (p *Peers) Conn(node string) (grpc.ClientConnInterface, error) {
	peer, err := p.find(node)
	if err != nil {
		return nil, err
	}
	return peer.conn, nil
}

// Names lists the other controllers.
func (p *Peers) Names() []string { return p.names }

func (p *Peers) find(node string) (peer, error) {
	found, ok := p.byName[node]
	if !ok {
		return peer{}, fmt.Errorf("node %q is not one of the other controllers", node)
	}
	return found, nil
}

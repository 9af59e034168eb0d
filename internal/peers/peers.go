// Package peers carries requests between controllers over gRPC: users' requests that another
// controller can serve, agents' heartbeats for the leader, checks whether a controller is isolated,
// and requests for lease extensions.
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

// windowBytes is gRPC's flow-control window of a connection and of each stream, in both directions.
// With a fixed window the library does not estimate a better one, which costs a ping and its response
// for every batch.
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
	forwarder *forwarder // forwards agents' heartbeats
}

// Dial prepares a connection from the named controller to each of the others. The connections are
// closed when ctx ends. Nothing is sent until the first request.
func Dial(ctx context.Context, network transport.Network, controller string, others []settings.Peer) (*Peers, error) {
	p := &Peers{byName: map[string]peer{}}
	for _, other := range others {
		conn, err := rpc.Connect(network, other.Addr, grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes))
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", other.Name, err)
		}
		context.AfterFunc(ctx, func() { conn.Close() })
		client := peerpb.NewPeerClient(conn)
		forwarder := newForwarder(controller, func(ctx context.Context) (heartbeatStream, error) { return client.Share(ctx) })
		p.names = append(p.names, other.Name)
		p.byName[other.Name] = peer{conn: conn, client: client, forwarder: forwarder}
		go forwarder.run(ctx)
	}
	return p, nil
}

// Conn returns the connection to a controller, for gRPC clients of other packages.
func (p *Peers) Conn(controller string) (grpc.ClientConnInterface, error) {
	peer, err := p.find(controller)
	if err != nil {
		return nil, err
	}
	return peer.conn, nil
}

// Names returns the names of the other controllers.
func (p *Peers) Names() []string { return p.names }

func (p *Peers) find(controller string) (peer, error) {
	found, ok := p.byName[controller]
	if !ok {
		return peer{}, fmt.Errorf("%q is not one of the other controllers", controller)
	}
	return found, nil
}

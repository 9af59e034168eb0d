package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/transport"
)

// ConnectionLimits bounds the connections to agents.
type ConnectionLimits struct {
	MaxInFlight int // maximum number of requests in flight
	// MaxIdle is the maximum number of idle connections that are kept open, and
	// MaxIdleWhenScarce the maximum while SocketsScarce returns true.
	MaxIdle, MaxIdleWhenScarce int
	SocketsScarce              func() bool
}

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = time.Minute

// connectionPool sends HTTP requests to agents. Opening a connection costs several times as much
// as a command, so connections are kept open and reused, within the limits on sockets. The idle
// connections are owned by the goroutine that executes run.
type connectionPool struct {
	network  transport.Network
	limits   ConnectionLimits
	inFlight chan struct{} // semaphore: one element for each request in flight
	acquire  chan acquireRequest
	release  chan idleConnection
	trim     chan struct{}
	stopped  chan struct{} // closed when run returns
}

// acquireRequest requests an idle connection to an address. The reply is nil if there is none.
type acquireRequest struct {
	address string
	reply   chan *transport.Conn // buffered, so that run never blocks
}

// idleConnection is an open connection that is returned to the pool after a request.
type idleConnection struct {
	address    string
	connection *transport.Conn
}

func newConnectionPool(network transport.Network, limits ConnectionLimits) *connectionPool {
	return &connectionPool{
		network:  network,
		limits:   limits,
		inFlight: make(chan struct{}, limits.MaxInFlight),
		acquire:  make(chan acquireRequest),
		release:  make(chan idleConnection),
		trim:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// run manages the idle connections until ctx ends, and then closes them. Without it, call and
// trimIdle block.
func (p *connectionPool) run(ctx context.Context) {
	defer close(p.stopped)
	idle := idleConnections{}
	defer idle.trimTo(0)
	expiry := time.NewTicker(idleTimeout / 4)
	defer expiry.Stop()
	for {
		select {
		case request := <-p.acquire:
			request.reply <- idle.take(request.address)
		case returned := <-p.release:
			idle.add(returned, p.maxIdle())
		case <-p.trim:
			idle.trimTo(p.limits.MaxIdleWhenScarce)
		case <-expiry.C:
			idle.closeExpired()
		case <-ctx.Done():
			return
		}
	}
}

// maxIdle returns how many idle connections may currently be kept.
func (p *connectionPool) maxIdle() int {
	if p.limits.SocketsScarce() {
		return p.limits.MaxIdleWhenScarce
	}
	return p.limits.MaxIdle
}

// trimIdle closes idle connections until at most MaxIdleWhenScarce are left.
func (p *connectionPool) trimIdle() {
	select {
	case p.trim <- struct{}{}:
	case <-p.stopped:
	}
}

// idleConnections holds at most one idle connection per address, keyed by address.
type idleConnections map[string]*transport.Conn

// take removes the connection to an address and returns it, or nil if there is none.
func (idle idleConnections) take(address string) *transport.Conn {
	connection := idle[address]
	delete(idle, address)
	return connection
}

// add keeps a connection. If there already is one to its address, or if limit connections are kept,
// it closes the connection instead.
func (idle idleConnections) add(returned idleConnection, limit int) {
	if idle[returned.address] != nil || len(idle) >= limit {
		returned.connection.Close()
		return
	}
	idle[returned.address] = returned.connection
}

// trimTo closes arbitrary connections until at most limit are left.
func (idle idleConnections) trimTo(limit int) {
	for address := range idle {
		if len(idle) <= limit {
			return
		}
		idle.closeOne(address)
	}
}

// closeExpired closes the connections that have been idle for longer than idleTimeout.
func (idle idleConnections) closeExpired() {
	for address, connection := range idle {
		if time.Since(connection.IdleSince()) > idleTimeout {
			idle.closeOne(address)
		}
	}
}

func (idle idleConnections) closeOne(address string) {
	idle[address].Close()
	delete(idle, address)
}

// agentRequest is an HTTP request to an agent.
type agentRequest struct {
	address string
	method  string
	path    string
	body    []byte
	// encode, unless nil, returns the body. It is called immediately before the request is
	// sent, and nothing is sent if it fails.
	encode func() ([]byte, error)
}

// agentResponse is the result of an agentRequest. If sent is false, no part of the request has left
// this process. If sent is true and call returned an error, the outcome is unknown.
type agentResponse struct {
	sent   bool
	status int
	body   []byte
}

// call sends one request to an agent and waits for the response. It checks maySend when the
// connection is open, immediately before it sends the request, because opening the connection may
// have taken longer than the leader's lease. If maySend returns false, the error is ErrNotLeader.
func (p *connectionPool) call(ctx context.Context, request agentRequest, maySend func() bool) (agentResponse, error) {
	select {
	case p.inFlight <- struct{}{}:
		defer func() { <-p.inFlight }()
	case <-ctx.Done():
		return agentResponse{}, ctx.Err()
	}
	deadline := time.Now().Add(commandTimeout)
	connection, err := p.acquireConnection(ctx, request.address)
	if err != nil {
		return agentResponse{}, err
	}
	defer p.releaseConnection(ctx, request.address, connection)
	if err := connection.Open(ctx, dialTimeout); err != nil {
		return agentResponse{}, err
	}
	if !maySend() {
		return agentResponse{}, ErrNotLeader
	}
	if request.encode != nil {
		if request.body, err = request.encode(); err != nil {
			return agentResponse{}, err
		}
	}
	response, err := connection.Do(deadline, transport.Request{Method: request.method, Path: request.path, Body: request.body})
	return agentResponse{sent: true, status: response.Status, body: response.Body}, err
}

// acquireConnection returns an idle connection to the address, or a new one that is not open yet.
func (p *connectionPool) acquireConnection(ctx context.Context, address string) (*transport.Conn, error) {
	request := acquireRequest{address: address, reply: make(chan *transport.Conn, 1)}
	select {
	case p.acquire <- request:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if idle := <-request.reply; idle != nil {
		return idle, nil
	}
	return transport.NewConn(p.network, address), nil
}

// releaseConnection returns a connection to the pool for reuse if it is still open.
func (p *connectionPool) releaseConnection(ctx context.Context, address string, connection *transport.Conn) {
	if !connection.IsOpen() {
		return
	}
	select {
	case p.release <- idleConnection{address: address, connection: connection}:
	case <-ctx.Done():
		connection.Close()
	}
}

package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/transport"
)

// ConnectionLimits bounds the connections to workers.
type ConnectionLimits struct {
	MaxInFlight int // commands in flight at once
	// MaxIdle is how many connections are kept open between two commands,
	// MaxIdleWhenScarce how many while SocketsScarce reports that sockets are short.
	MaxIdle, MaxIdleWhenScarce int
	SocketsScarce              func() bool
}

// idleTimeout is how long an unused connection is kept open.
const idleTimeout = time.Minute

// connectionPool sends commands to workers. Opening a connection costs several times as much
// as a command, so connections are kept open between two commands as far as there are
// sockets. The idle ones are owned by the goroutine that executes run.
type connectionPool struct {
	network  transport.Network
	limits   ConnectionLimits
	inFlight chan struct{} // semaphore: one element for each command in flight
	acquire  chan acquireRequest
	release  chan idleConnection
	trim     chan struct{}
	stopped  chan struct{} // closed as run returns
}

// acquireRequest asks for an idle connection to an address; the reply is nil if there is none.
type acquireRequest struct {
	address string
	reply   chan *transport.Conn // has room for one
}

// idleConnection is an open connection that is given back after a command.
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

// run keeps idle connections until ctx ends.
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

// maxIdle is how many idle connections may be kept at the moment.
func (p *connectionPool) maxIdle() int {
	if p.limits.SocketsScarce() {
		return p.limits.MaxIdleWhenScarce
	}
	return p.limits.MaxIdle
}

// trimIdle closes the idle connections beyond MaxIdleWhenScarce.
func (p *connectionPool) trimIdle() {
	select {
	case p.trim <- struct{}{}:
	case <-p.stopped:
	}
}

// idleConnections holds the idle connections by address, one for each.
type idleConnections map[string]*transport.Conn

// take removes the connection to an address and returns it, or nil if there is none.
func (c idleConnections) take(address string) *transport.Conn {
	connection := c[address]
	delete(c, address)
	return connection
}

// add keeps a connection, or closes it if there is one to that address or there are limit
// of them already.
func (c idleConnections) add(returned idleConnection, limit int) {
	if c[returned.address] != nil || len(c) >= limit {
		returned.connection.Close()
		return
	}
	c[returned.address] = returned.connection
}

// trimTo closes connections until at most limit are left.
func (c idleConnections) trimTo(limit int) {
	for address := range c {
		if len(c) <= limit {
			return
		}
		c.closeOne(address)
	}
}

// closeExpired closes the connections that have been idle for longer than idleTimeout.
func (c idleConnections) closeExpired() {
	for address, connection := range c {
		if time.Since(connection.IdleSince()) > idleTimeout {
			c.closeOne(address)
		}
	}
}

func (c idleConnections) closeOne(address string) {
	c[address].Close()
	delete(c, address)
}

// agentRequest is an HTTP request to a worker.
type agentRequest struct {
	address string
	method  string
	path    string
	body    []byte
	// encode, unless nil, makes the body right before the request is sent. After an error nothing is
	// sent.
	encode func() ([]byte, error)
}

// agentResponse is what came of a agentRequest. With sent false, no part of the request
// has left this process; with sent true and an error, the outcome is unknown.
type agentResponse struct {
	sent   bool
	status int
	body   []byte
}

// call sends one request to a worker and waits for the response. maySend is checked once
// the connection is open, right before the request is sent: opening may have taken longer
// than the leader's lease.
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

// acquireConnection returns an idle connection to an address, or a new one that is not open yet.
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

// releaseConnection gives a connection back for the next command, if it is still open.
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

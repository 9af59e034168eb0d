package dispatch

import (
	"context"
	"time"

	"leadproxy/internal/transport"
)

// ConnectionLimits bounds the connections to workers.
type ConnectionLimits struct {
	MaxInFlight int // calls on their way
	// MaxIdle is how many connections are kept between two calls, and Few how many
	// while Crowded tells that sockets are short.
	MaxIdle, MaxIdleWhenScarce int
	SocketsScarce              func() bool
}

// keepFor is how long a connection is kept unused.
const keepFor = time.Minute

// commandPool call workers. A new connection costs several times what a command
// does, so they are kept as far as there are sockets. Those that are idle are
// owned by run.
type commandPool struct {
	net    transport.Network
	lines  ConnectionLimits
	turns  chan struct{} // who has put something in may call, and takes it out
	takes  chan take
	gives  chan given
	shorts chan struct{}
	ended  chan struct{}
}

type take struct {
	addr string
	line chan *transport.Conn
}

type given struct {
	addr string
	line *transport.Conn
}

func newCommandPool(n transport.Network, l ConnectionLimits) *commandPool {
	return &commandPool{net: n, lines: l, turns: make(chan struct{}, l.MaxInFlight), takes: make(chan take), gives: make(chan given), shorts: make(chan struct{}), ended: make(chan struct{})}
}

// run keeps idle connections until ctx ends.
func (c *commandPool) run(ctx context.Context) {
	defer close(c.ended)
	idle := map[string]*transport.Conn{}
	drop := func(addr string) {
		idle[addr].Close()
		delete(idle, addr)
	}
	tidy := time.NewTicker(keepFor / 4)
	defer tidy.Stop()
	for {
		select {
		case t := <-c.takes:
			t.line <- idle[t.addr] // nil: none
			delete(idle, t.addr)
		case g := <-c.gives:
			if idle[g.addr] != nil || len(idle) >= c.most() {
				g.line.Close()
				break
			}
			idle[g.addr] = g.line
		case <-c.shorts:
			for addr := range idle {
				if len(idle) <= c.lines.MaxIdleWhenScarce {
					break
				}
				drop(addr)
			}
		case <-tidy.C:
			for addr, l := range idle {
				if time.Since(l.IdleSince()) > keepFor {
					drop(addr)
				}
			}
		case <-ctx.Done():
			for addr := range idle {
				drop(addr)
			}
			return
		}
	}
}

func (c *commandPool) most() int {
	if c.lines.SocketsScarce() {
		return c.lines.MaxIdleWhenScarce
	}
	return c.lines.MaxIdle
}

// hangUp has what is kept beyond few closed.
func (c *commandPool) hangUp() {
	select {
	case c.shorts <- struct{}{}:
	case <-c.ended:
	}
}

// call sends one request to a worker and waits for its answer. Once there is a
// connection, may tells whether it may still be sent. With sent false it never
// was.
func (c *commandPool) call(ctx context.Context, addr, method, path string, payload []byte, may func() bool) (status int, answer []byte, sent bool, err error) {
	select {
	case c.turns <- struct{}{}:
		defer func() { <-c.turns }()
	case <-ctx.Done():
		return 0, nil, false, ctx.Err()
	}
	end := time.Now().Add(directTimeout)
	t := take{addr, make(chan *transport.Conn, 1)}
	select {
	case c.takes <- t:
	case <-ctx.Done():
		return 0, nil, false, ctx.Err()
	}
	line := <-t.line
	if line == nil {
		line = transport.NewConn(c.net, addr)
	}
	defer func() {
		if !line.IsOpen() {
			return
		}
		select {
		case c.gives <- given{addr, line}:
		case <-ctx.Done():
			line.Close()
		}
	}()
	if err := line.Open(ctx, dialTimeout); err != nil {
		return 0, nil, false, err
	}
	if !may() {
		return 0, nil, false, ErrNotLeader
	}
	response, err := line.Do(end, transport.Request{Method: method, Path: path, Body: payload})
	return response.Status, response.Body, true, err
}

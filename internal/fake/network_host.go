package fake

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Host is one incarnation of a process or machine on the network: a restart gets a new Host of the
// same name. It implements transport.Network.
type Host struct {
	net  *Network
	name string
	down chan struct{}
}

// Host returns a new incarnation of the host with the given name.
func (n *Network) Host(name string) *Host {
	return &Host{net: n, name: name, down: make(chan struct{})}
}

// IsDown reports whether Kill was called.
func (h *Host) IsDown() bool {
	select {
	case <-h.down:
		return true
	default:
		return false
	}
}

// Kill ends the incarnation: its listeners are closed, and its connections are reset. It must be
// called only once.
func (h *Host) Kill() {
	h.net.do(func() {
		close(h.down)
		for addr, l := range h.net.listeners {
			if l.host == h {
				l.markClosed()
				delete(h.net.listeners, addr)
			}
		}
		for c := range h.net.conns {
			if c.host == h || c.peer.host == h {
				c.reset()
			}
		}
	})
}

// connectLatency is the duration of a connection attempt. Without it, a caller that retries
// immediately would keep the fake clock from advancing.
const connectLatency = time.Millisecond

// Dial connects to an address. If the link to the host is cut it blocks until the context ends.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	select {
	case <-time.After(connectLatency):
	case <-ctx.Done():
		return nil, dialError(addr, ctx.Err())
	}
	var listener *memoryListener
	var client, server *memoryConn
	cut := false
	h.net.do(func() {
		if h.IsDown() {
			return
		}
		if listener = h.net.listeners[addr]; listener == nil {
			return
		}
		if cut = h.net.cuts[pairOf(h.name, listener.host.name)]; cut {
			return
		}
		client, server = newConnPair(h, listener.host)
		h.net.conns[client], h.net.conns[server] = struct{}{}, struct{}{}
	})
	switch {
	case cut:
		<-ctx.Done() // an attempt across a cut never completes, not even after the link heals
		return nil, dialError(addr, ctx.Err())
	case client == nil:
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	select {
	case listener.incoming <- server:
		return client, nil
	case <-listener.closed:
	case <-ctx.Done():
	}
	client.Close()
	return nil, dialError(addr, syscall.ECONNREFUSED)
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(addr), Err: err}
}

// Listen listens on an address, which must not be in use.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	l := &memoryListener{host: h, addr: memoryAddress(addr), incoming: make(chan net.Conn), closed: make(chan struct{})}
	taken := false
	h.net.do(func() {
		if taken = h.net.listeners[addr] != nil; !taken {
			h.net.listeners[addr] = l
		}
	})
	if taken {
		return nil, fmt.Errorf("listen %s: %w", addr, syscall.EADDRINUSE)
	}
	return l, nil
}

type memoryListener struct {
	host     *Host
	addr     memoryAddress
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) markClosed() { l.once.Do(func() { close(l.closed) }) }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.markClosed()
	l.host.net.do(func() {
		if l.host.net.listeners[string(l.addr)] == l {
			delete(l.host.net.listeners, string(l.addr))
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.addr }

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }

func (a memoryAddress) String() string { return string(a) }

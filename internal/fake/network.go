package fake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Net is a network in memory. On a test's fake clock its connections let minutes
// of silence pass at once, which sockets would not: a goroutine that waits for
// the kernel keeps the fake clock from moving on.
//
// Hosts have names, and links between two of them can be cut: held, so that what
// is sent arrives when the cut ends, or broken, so that connections end.
type Net struct {
	actor
	listeners map[string]*netListener // by address
	cuts      map[link]bool
	conns     map[*netConn]struct{}
}

// link joins two hosts, the lesser name first.
type link struct{ a, b string }

func linkOf(a, b string) link {
	if b < a {
		a, b = b, a
	}
	return link{a, b}
}

// NewNet starts a network that lives as long as the test.
func NewNet(t testing.TB) *Net {
	return &Net{actor: newActor(t), listeners: map[string]*netListener{}, cuts: map[link]bool{}, conns: map[*netConn]struct{}{}}
}

// Host is one process or machine on the network. It is an outbound.Network.
type Host struct {
	net  *Net
	name string
	down chan struct{}
}

// Host returns a new incarnation of the host of a name.
func (n *Net) Host(name string) *Host { return &Host{net: n, name: name, down: make(chan struct{})} }

// IsDown tells whether it was killed.
func (h *Host) IsDown() bool {
	select {
	case <-h.down:
		return true
	default:
		return false
	}
}

// Kill ends an incarnation: its listeners and connections are no more.
func (h *Host) Kill() {
	h.net.do(func() {
		close(h.down)
		for addr, l := range h.net.listeners {
			if l.host == h {
				l.shut()
				delete(h.net.listeners, addr)
			}
		}
		for c := range h.net.conns {
			if c.host == h || c.other.host == h {
				c.drop()
			}
		}
	})
}

// Cut cuts the link between two hosts. With hold, what is sent meanwhile arrives
// when the cut ends; otherwise connections are reset.
func (n *Net) Cut(a, b string, hold bool) {
	n.do(func() {
		if n.cuts[linkOf(a, b)] {
			return
		}
		n.cuts[linkOf(a, b)] = true
		for c := range n.conns {
			if linkOf(c.host.name, c.other.host.name) != linkOf(a, b) {
				continue
			}
			if hold {
				c.in.hold(true)
			} else {
				c.drop()
			}
		}
	})
}

// CutOneWay has what one host sends to another wait until the cut is healed. The other
// way stays open for connections that there are; none can be made.
func (n *Net) CutOneWay(from, to string) {
	n.do(func() {
		n.cuts[linkOf(from, to)] = true
		for c := range n.conns {
			if c.host.name == to && c.other.host.name == from {
				c.in.hold(true)
			}
		}
	})
}

// Heal ends the cut between two hosts.
func (n *Net) Heal(a, b string) {
	n.do(func() {
		if !n.cuts[linkOf(a, b)] {
			return
		}
		delete(n.cuts, linkOf(a, b))
		for c := range n.conns {
			if linkOf(c.host.name, c.other.host.name) == linkOf(a, b) {
				c.in.hold(false)
			}
		}
	})
}

// connectTakes keeps a caller that tries again at once from doing so without any
// time passing.
const connectTakes = time.Millisecond

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: address(addr), Err: err}
}

// Dial connects to an address. Behind a cut it hangs.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	select {
	case <-time.After(connectTakes):
	case <-ctx.Done():
		return nil, dialError(addr, ctx.Err())
	}
	var l *netListener
	var c, s *netConn
	behind := false
	h.net.do(func() {
		if h.IsDown() {
			return
		}
		if l = h.net.listeners[addr]; l == nil {
			return
		}
		if behind = h.net.cuts[linkOf(h.name, l.host.name)]; behind {
			return
		}
		c, s = pair(h, l.host)
		h.net.conns[c], h.net.conns[s] = struct{}{}, struct{}{}
	})
	switch {
	case behind:
		<-ctx.Done() // an attempt that was given up never completes later
		return nil, dialError(addr, ctx.Err())
	case c == nil:
		return nil, dialError(addr, syscall.ECONNREFUSED)
	}
	select {
	case l.come <- s:
		return c, nil
	case <-l.ended:
	case <-ctx.Done():
	}
	c.Close()
	return nil, dialError(addr, syscall.ECONNREFUSED)
}

// Listen serves an address.
func (h *Host) Listen(_ context.Context, addr string) (net.Listener, error) {
	l := &netListener{host: h, addr: address(addr), come: make(chan net.Conn), ended: make(chan struct{})}
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

type netListener struct {
	host  *Host
	addr  address
	come  chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func (l *netListener) shut() { l.once.Do(func() { close(l.ended) }) }

func (l *netListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.come:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *netListener) Close() error {
	l.shut()
	l.host.net.do(func() {
		if l.host.net.listeners[string(l.addr)] == l {
			delete(l.host.net.listeners, string(l.addr))
		}
	})
	return nil
}

func (l *netListener) Addr() net.Addr { return l.addr }

// netConn is one end of a connection.
type netConn struct {
	host    *Host
	other   *netConn
	in, out *half
}

func pair(a, b *Host) (*netConn, *netConn) {
	ab, ba := newHalf(), newHalf()
	c := &netConn{host: a, in: ba, out: ab}
	s := &netConn{host: b, in: ab, out: ba}
	c.other, s.other = s, c
	return c, s
}

// drop ends both directions at once, on the network's actor.
func (c *netConn) drop() {
	c.in.end(syscall.ECONNRESET)
	c.out.end(syscall.ECONNRESET)
	delete(c.host.net.conns, c)
	delete(c.host.net.conns, c.other)
}

func (c *netConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *netConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *netConn) Close() error {
	c.in.end(net.ErrClosed)
	c.out.end(io.EOF)
	c.host.net.do(func() { delete(c.host.net.conns, c) })
	return nil
}

func (c *netConn) LocalAddr() net.Addr  { return address(c.host.name) }
func (c *netConn) RemoteAddr() net.Addr { return address(c.other.host.name) }

func (c *netConn) SetDeadline(t time.Time) error      { return c.SetReadDeadline(t) }
func (c *netConn) SetReadDeadline(t time.Time) error  { c.in.until(t); return nil }
func (c *netConn) SetWriteDeadline(_ time.Time) error { return nil } // a write never waits

// half is one direction of a connection: a queue of bytes without a bound.
type half struct {
	mu      sync.Mutex
	more    *sync.Cond
	queue   []byte
	ended   error
	held    bool
	timer   *time.Timer
	overdue bool
}

func newHalf() *half {
	h := &half{}
	h.more = sync.NewCond(&h.mu)
	return h
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.overdue:
			return 0, os.ErrDeadlineExceeded
		case h.ended != nil && !errors.Is(h.ended, io.EOF):
			return 0, h.ended
		case len(h.queue) > 0 && !h.held:
			n := copy(b, h.queue)
			h.queue = h.queue[n:]
			return n, nil
		case h.ended != nil && !h.held:
			return 0, h.ended
		}
		h.more.Wait()
	}
}

func (h *half) write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended != nil {
		return 0, syscall.EPIPE
	}
	h.queue = append(h.queue, b...)
	h.more.Broadcast()
	return len(b), nil
}

func (h *half) end(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended == nil || errors.Is(h.ended, io.EOF) {
		h.ended = err
	}
	h.more.Broadcast()
}

func (h *half) hold(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = on
	h.more.Broadcast()
}

func (h *half) until(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	h.overdue = false
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		h.overdue = true
		h.more.Broadcast()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.timer == timer {
			h.overdue = true
			h.more.Broadcast()
		}
	})
	h.timer = timer
}

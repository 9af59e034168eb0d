package fake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memoryConn is one end of a connection.
type memoryConn struct {
	host    *Host
	peer    *memoryConn
	in, out *byteStream
}

// newConnPair returns the two ends of a connection.
func newConnPair(clientHost, serverHost *Host) (client, server *memoryConn) {
	toServer, toClient := newByteStream(), newByteStream()
	client = &memoryConn{host: clientHost, in: toClient, out: toServer}
	server = &memoryConn{host: serverHost, in: toServer, out: toClient}
	client.peer, server.peer = server, client
	return client, server
}

// reset closes both ends with ECONNRESET. It runs on the network's actor.
func (c *memoryConn) reset() {
	c.in.close(syscall.ECONNRESET)
	c.out.close(syscall.ECONNRESET)
	delete(c.host.net.conns, c)
	delete(c.host.net.conns, c.peer)
}

func (c *memoryConn) Read(b []byte) (int, error) { return c.in.read(b) }

func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *memoryConn) Close() error {
	c.in.close(net.ErrClosed)
	c.out.close(io.EOF)
	c.host.net.do(func() { delete(c.host.net.conns, c) })
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr { return memoryAddress(c.host.name) }

func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddress(c.peer.host.name) }

func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *memoryConn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

func (c *memoryConn) SetWriteDeadline(_ time.Time) error { return nil } // a write never blocks

// byteStream is one direction of a connection: an unbounded queue of bytes, so writes never block.
type byteStream struct {
	mu             sync.Mutex
	changed        *sync.Cond
	buffer         []byte
	closeError     error       // returned by reads after close; nil while it is open
	held           bool        // written data can't be read because of a partition
	timer          *time.Timer // of the read deadline; nil without a future deadline
	deadlinePassed bool
}

func newByteStream() *byteStream {
	s := &byteStream{}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *byteStream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.deadlinePassed:
			return 0, os.ErrDeadlineExceeded
		case s.closeError != nil && !errors.Is(s.closeError, io.EOF):
			return 0, s.closeError
		case len(s.buffer) > 0 && !s.held:
			n := copy(b, s.buffer)
			s.buffer = s.buffer[n:]
			return n, nil
		case s.closeError != nil && !s.held:
			return 0, s.closeError
		}
		s.changed.Wait()
	}
}

func (s *byteStream) write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeError != nil {
		return 0, syscall.EPIPE
	}
	s.buffer = append(s.buffer, b...)
	s.changed.Broadcast()
	return len(b), nil
}

func (s *byteStream) close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeError == nil || errors.Is(s.closeError, io.EOF) {
		s.closeError = err
	}
	s.changed.Broadcast()
}

func (s *byteStream) setHeld(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = on
	s.changed.Broadcast()
}

func (s *byteStream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.deadlinePassed = false
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		s.deadlinePassed = true
		s.changed.Broadcast()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.timer == timer {
			s.deadlinePassed = true
			s.changed.Broadcast()
		}
	})
	s.timer = timer
}

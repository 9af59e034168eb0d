package fake

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Relay is a TCP proxy on the loopback interface between two processes. It copies bytes in both
// directions and can be set to drop those of either direction.
type Relay struct {
	actor
	listener net.Listener
	target   string
	conns    map[net.Conn]struct{}
	dropping map[Direction]bool
}

// Direction is the direction of data through a relay.
type Direction int

// Values of Direction.
const (
	ToServer Direction = iota // from the connecting process to the relay's target
	ToClient                  // from the relay's target to the connecting process
)

// NewRelay starts a relay to a target address. It runs until the test ends.
func NewRelay(t testing.TB, target string) *Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{actor: newActor(t), listener: listener, target: target, conns: map[net.Conn]struct{}{}, dropping: map[Direction]bool{}}
	t.Cleanup(func() {
		listener.Close()
		r.CloseConnections()
	})
	go r.accept()
	return r
}

// Addr returns the address on which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDropping sets whether the relay drops the bytes of one direction. Connections stay open while
// bytes are dropped.
func (r *Relay) SetDropping(direction Direction, dropping bool) {
	r.do(func() { r.dropping[direction] = dropping })
}

// CloseConnections closes all connections.
func (r *Relay) CloseConnections() {
	r.do(func() {
		for conn := range r.conns {
			conn.Close()
		}
		clear(r.conns)
	})
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close() // nothing listens at the target
			continue
		}
		r.connect(client, server)
	}
}

// connect starts to copy bytes between two connections. When either of them ends, both are closed.
func (r *Relay) connect(client, server net.Conn) {
	r.do(func() { r.conns[client], r.conns[server] = struct{}{}, struct{}{} })
	var once sync.Once
	closeBoth := func() {
		once.Do(func() {
			client.Close()
			server.Close()
			r.do(func() { delete(r.conns, client); delete(r.conns, server) })
		})
	}
	go r.copyBytes(server, client, ToServer, closeBoth)
	go r.copyBytes(client, server, ToClient, closeBoth)
}

// copyBytes copies the bytes of one direction until the connection ends, and then calls closeBoth.
// A stream with dropped bytes is incomplete, so the connection is closed when the first bytes
// arrive after dropping has ended.
func (r *Relay) copyBytes(to io.Writer, from io.Reader, direction Direction, closeBoth func()) {
	defer closeBoth()
	buffer := make([]byte, 32<<10)
	damaged := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		dropping := false
		r.do(func() { dropping = r.dropping[direction] })
		if dropping {
			damaged = true
			continue
		}
		if damaged {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

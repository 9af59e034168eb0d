package fake

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Relay stands between two processes on the loopback interface and copies their bytes in both
// directions, until it is set to drop those of one direction, or both.
type Relay struct {
	actor
	listener net.Listener
	target   string
	conns    map[net.Conn]struct{}
	dropping map[Direction]bool
}

// Direction is a direction through a relay.
type Direction int

// The directions through a relay.
const (
	ToServer Direction = iota // from those who connect
	ToClient                  // to those who connect
)

// NewRelay starts a relay to an address that lives as long as the test.
func NewRelay(t testing.TB, target string) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{actor: newActor(t), listener: l, target: target, conns: map[net.Conn]struct{}{}, dropping: map[Direction]bool{}}
	t.Cleanup(func() {
		l.Close()
		r.CloseConnections()
	})
	go r.accept()
	return r
}

// Addr is the address at which it listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDropping makes the relay drop the bytes of one direction, or ends that. Connections stay
// open.
func (r *Relay) SetDropping(d Direction, dropping bool) {
	r.do(func() { r.dropping[d] = dropping })
}

// CloseConnections closes all connections.
func (r *Relay) CloseConnections() {
	r.do(func() {
		for c := range r.conns {
			c.Close()
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
			client.Close() // nothing listens there
			continue
		}
		r.connect(client, server)
	}
}

// connect copies bytes between two connections until one of them ends, and then closes both.
func (r *Relay) connect(client, server net.Conn) {
	r.do(func() { r.conns[client], r.conns[server] = struct{}{}, struct{}{} })
	var once sync.Once
	end := func() {
		once.Do(func() {
			client.Close()
			server.Close()
			r.do(func() { delete(r.conns, client); delete(r.conns, server) })
		})
	}
	go r.copyBytes(server, client, ToServer, end)
	go r.copyBytes(client, server, ToClient, end)
}

// copyBytes copies the bytes of one direction until the connection ends. After bytes were dropped
// the stream is damaged for good: the connection then ends with the next bytes.
func (r *Relay) copyBytes(to io.Writer, from io.Reader, d Direction, end func()) {
	defer end()
	buffer := make([]byte, 32<<10)
	damaged := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		dropping := false
		r.do(func() { dropping = r.dropping[d] })
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

package fake

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Relay stands between two processes on the loopback interface and passes their bytes
// on, until it is told to lose what goes one way, or both.
type Relay struct {
	actor
	listener net.Listener
	to       string
	conns    map[net.Conn]struct{}
	lost     map[Direction]bool
}

// Direction is a way through a relay.
type Direction int

// The ways through a relay.
const (
	Forth Direction = iota // from those who connect
	Back                   // to them
)

// NewRelay starts a relay to an address that lives as long as the test.
func NewRelay(t testing.TB, to string) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{actor: newActor(t), listener: l, to: to, conns: map[net.Conn]struct{}{}, lost: map[Direction]bool{}}
	t.Cleanup(func() {
		l.Close()
		r.Break()
	})
	go r.accept()
	return r
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Lose has what goes one way vanish, or ends that. Connections stay open.
func (r *Relay) Lose(way Direction, on bool) { r.do(func() { r.lost[way] = on }) }

// Break ends all connections.
func (r *Relay) Break() {
	r.do(func() {
		for c := range r.conns {
			c.Close()
		}
		clear(r.conns)
	})
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close() // nobody listens there
			continue
		}
		r.do(func() { r.conns[in], r.conns[out] = struct{}{}, struct{}{} })
		var once sync.Once
		end := func() {
			once.Do(func() {
				in.Close()
				out.Close()
				r.do(func() { delete(r.conns, in); delete(r.conns, out) })
			})
		}
		go r.pass(out, in, Forth, end)
		go r.pass(in, out, Back, end)
	}
}

// pass passes one way's bytes on until the connection ends. What has been lost can't be
// mended by what comes later: the connection then ends with the next bytes.
func (r *Relay) pass(to io.Writer, from io.Reader, way Direction, end func()) {
	defer end()
	buffer := make([]byte, 32<<10)
	damaged := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		lost := false
		r.do(func() { lost = r.lost[way] })
		if lost {
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

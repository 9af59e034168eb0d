package main

import (
	"net"
	"sync"
	"time"
)

// relay passes the connections of one sender to one address on. A cut holds the bytes back and
// delivers them in order when it ends, also if the sender has closed the connection; connections
// that are opened during a cut never reach the target.
type relay struct {
	addr, target string
	mu           sync.Mutex
	held         bool
	healed       chan struct{}
	conns        map[net.Conn]bool
}

func newRelay(target string) *relay {
	listener := listen()
	r := &relay{addr: listener.Addr().String(), target: target, healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(r.healed)
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(client)
		}
	}()
	return r
}

func (r *relay) state() (held bool, healed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held, r.healed
}

// hold begins or ends a cut that holds packets.
func (r *relay) hold(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on == r.held {
		return
	}
	r.held = on
	if on {
		r.healed = make(chan struct{})
	} else {
		close(r.healed)
	}
}

func (r *relay) connect(client net.Conn) {
	if held, healed := r.state(); held {
		<-healed
		client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[server] = true, true
	r.mu.Unlock()
	done := make(chan struct{}, 2)
	go r.copy(server, client, done)
	go r.copy(client, server, done)
	<-done
	<-done
	client.Close()
	server.Close()
	r.mu.Lock()
	delete(r.conns, client)
	delete(r.conns, server)
	r.mu.Unlock()
}

func (r *relay) copy(to, from net.Conn, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if held, healed := r.state(); held {
			<-healed
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

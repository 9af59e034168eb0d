package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// testServer accepts connections and answers each request by its path.
type testServer struct {
	listener net.Listener
	accepted chan net.Conn
	requests chan string // method, path and body of each request
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &testServer{listener: listener, accepted: make(chan net.Conn, 10), requests: make(chan string, 10)}
	go s.run()
	return s
}

func (s *testServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- conn
		go s.serve(conn)
	}
}

// serve answers a connection's requests. It closes the connection instead of answering a request to
// /broken, and announces in the answer to /last that it will close it.
func (s *testServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		s.requests <- request.Method + request.URL.Path + string(body)
		answer := "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
		switch request.URL.Path {
		case "/last":
			answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
		case "/broken":
			conn.Close()
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// post opens the connection and sends a request on it.
func post(t *testing.T, c *Conn, path string) (Response, error) {
	t.Helper()
	if err := c.Open(context.Background(), time.Second); err != nil {
		t.Fatal(err)
	}
	return c.Do(time.Now().Add(time.Second), Request{Method: http.MethodPost, Path: path, Body: []byte("{}")})
}

// TestConn checks that a connection is reused until the peer closes it, and that a connection that the
// peer has closed while it was idle is detected before a request is sent on it: a command whose
// connection breaks may have been executed.
func TestConn(t *testing.T) {
	server := newTestServer(t)
	conn := NewConn(TCP{}, server.listener.Addr().String())
	for range 3 {
		if r, err := post(t, conn, "/commands"); r.Status != 409 || string(r.Body) != "no" || err != nil {
			t.Errorf("status %d, body %q, error %v, want 409 and \"no\"", r.Status, r.Body, err)
		}
	}
	if len(server.accepted) != 1 || <-server.requests != "POST/commands{}" {
		t.Errorf("%d connections for three requests, want 1", len(server.accepted))
	}
	(<-server.accepted).Close()
	conn.lastUsed = time.Now().Add(-time.Minute)
	if r, err := post(t, conn, "/commands"); r.Status != 409 || err != nil || len(server.accepted) != 1 {
		t.Errorf("after the peer had closed the connection: status %d, error %v, want 409 on one new connection", r.Status, err)
	}
	if r, err := post(t, conn, "/last"); r.Status != 200 || err != nil || conn.IsOpen() {
		t.Errorf("the last answer on a connection: status %d, error %v, open %v, want 200 and not open", r.Status, err, conn.IsOpen())
	}
	if _, err := post(t, conn, "/broken"); err == nil || conn.IsOpen() || NotSent(err) {
		t.Errorf("connection closed instead of an answer: error %v, open %v, want an error other than a failure to connect, and not open", err, conn.IsOpen())
	}
	server.listener.Close()
	if err := conn.Open(context.Background(), time.Second); !NotSent(err) {
		t.Errorf("without a listener: error %v, want a failure to connect", err)
	}
}

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

// TestConn: a line is used again as long as the other side keeps it. One that was
// hung up while idle is noticed before anything is sent on it: a command that
// broke off could have been carried out.
func TestConn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 10)
	requests := make(chan string, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
			go func() {
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(req.Body)
					requests <- req.Method + req.URL.Path + string(body)
					answer := "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
					switch req.URL.Path {
					case "/last":
						answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
					case "/broken":
						c.Close()
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	line := NewConn(TCP{}, l.Addr().String())
	do := func(path string) (int, string, error) {
		if err := line.Open(context.Background(), time.Second); err != nil {
			t.Fatal(err)
		}
		status, answer, err := line.Do(time.Now().Add(time.Second), http.MethodPost, path, []byte("{}"))
		return status, string(answer), err
	}
	for range 3 {
		if status, answer, err := do("/commands"); status != 409 || answer != "no" || err != nil {
			t.Errorf("%d %q %v", status, answer, err)
		}
	}
	if len(conns) != 1 || <-requests != "POST/commands{}" {
		t.Errorf("%d connections for three requests", len(conns))
	}
	(<-conns).Close()
	line.used = time.Now().Add(-time.Minute)
	if status, _, err := do("/commands"); status != 409 || err != nil || len(conns) != 1 {
		t.Errorf("after the other side had hung up: %d %v", status, err)
	}
	if status, _, err := do("/last"); status != 200 || err != nil || line.IsOpen() {
		t.Errorf("the last answer on a connection: %d %v, open %v", status, err, line.IsOpen())
	}
	if _, _, err := do("/broken"); err == nil || line.IsOpen() || NotSent(err) {
		t.Errorf("broken off: %v, open %v", err, line.IsOpen())
	}
	l.Close()
	if err := line.Open(context.Background(), time.Second); !NotSent(err) {
		t.Errorf("nobody listens: %v", err)
	}
}

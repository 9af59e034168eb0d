package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is an HTTP connection that one goroutine at a time uses directly, from the request to the
// response. An http.Client passes each request through two further goroutines per connection. On a
// controller that is short of CPU time each of them continues only after every other goroutine that
// is ready to run: a leader that served a thousand agents lost its lease because of that. Also, two
// goroutines and their buffers for each of a thousand machines take 40 MB.
type Conn struct {
	network  Network
	addr     string
	conn     net.Conn // nil while closed
	reader   *bufio.Reader
	lastUsed time.Time
}

// Request is one HTTP request on a connection. The body is JSON; nil: none.
type Request struct {
	Method string
	Path   string
	Body   []byte
}

// Response is the response to a request.
type Response struct {
	Status int
	Body   []byte
}

const (
	// connBufferSize is the size in bytes of a connection's read buffer. Most responses are
	// shorter.
	connBufferSize = 2 << 10
	// idleCheckAfter is the idle time after which a connection is checked, before its next use,
	// for whether the peer has closed it.
	idleCheckAfter = 500 * time.Millisecond
)

// NewConn returns a connection to an address. It is not open yet.
func NewConn(network Network, addr string) *Conn { return &Conn{network: network, addr: addr} }

// IsOpen reports whether the connection is open.
func (c *Conn) IsOpen() bool { return c.conn != nil }

// IdleSince returns when the connection was last used.
func (c *Conn) IdleSince() time.Time { return c.lastUsed }

// Close closes the connection if it is open. Open may be called again.
func (c *Conn) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Open connects, unless the connection is open and the peer has not closed it. An error means that
// nothing was sent.
func (c *Conn) Open(ctx context.Context, timeout time.Duration) error {
	if c.conn != nil && time.Since(c.lastUsed) > idleCheckAfter && closedByPeer(c.conn) {
		c.Close()
	}
	if c.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.network.Dial(ctx, c.addr)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", c.addr, err)
	}
	c.conn = conn
	c.reader = bufio.NewReaderSize(conn, connBufferSize)
	c.lastUsed = time.Now()
	return nil
}

// Do sends a request on an open connection and returns the response, which must arrive before the
// deadline. After an error the request may have been executed, and the connection is closed.
func (c *Conn) Do(deadline time.Time, r Request) (Response, error) {
	response, err := c.exchange(deadline, r)
	if err != nil {
		c.Close()
		err = fmt.Errorf("%s http://%s%s: %w", r.Method, c.addr, r.Path, err)
	}
	c.lastUsed = time.Now()
	return response, err
}

// exchange sends a request and reads its response. It closes the connection if the peer is going
// to close it.
func (c *Conn) exchange(deadline time.Time, r Request) (Response, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return Response{}, fmt.Errorf("set the deadline: %w", err)
	}
	request, err := http.NewRequest(r.Method, "http://"+c.addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, err
	}
	if r.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if err := request.Write(c.conn); err != nil {
		return Response{}, fmt.Errorf("send the request: %w", err)
	}
	httpResponse, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return Response{}, fmt.Errorf("read the response: %w", err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read the response's body: %w", err)
	}
	if httpResponse.Close {
		c.Close()
	}
	return Response{Status: httpResponse.StatusCode, Body: body}, nil
}

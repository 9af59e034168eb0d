package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Conn is a connection that one goroutine at a time uses by itself, from the
// request to the answer. An http.Client hands each request from goroutine to
// goroutine, two for each connection that it keeps. On a controller that is short
// of time each of those hands over only when all else that is ready has had its
// turn: a leader that was busy with a thousand workers lost its lease over that.
// And two goroutines with their buffers for each of a thousand machines take
// 40 MB.
type Conn struct {
	net  Network
	addr string
	conn net.Conn
	in   *bufio.Reader
	used time.Time
}

// connBuffer is for a connection's answers. Most are shorter.
const connBuffer = 2 << 10

// quietFor is how long a connection may have been idle without being looked at before
// it is used again.
const quietFor = 500 * time.Millisecond

// NewConn makes a connection to an address, not open yet.
func NewConn(n Network, addr string) *Conn { return &Conn{net: n, addr: addr} }

// IsOpen tells whether there is a connection to be kept.
func (l *Conn) IsOpen() bool { return l.conn != nil }

// IdleSince is when the connection was last used.
func (l *Conn) IdleSince() time.Time { return l.used }

// Close closes the connection.
func (l *Conn) Close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// Open sees to it that there is a connection. An error means that nothing was
// sent.
func (l *Conn) Open(ctx context.Context, limit time.Duration) error {
	if l.conn != nil && time.Since(l.used) > quietFor && hungUp(l.conn) {
		l.Close()
	}
	if l.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := l.net.Dial(ctx, l.addr)
	if err != nil {
		return err
	}
	l.conn, l.in, l.used = conn, bufio.NewReaderSize(conn, connBuffer), time.Now()
	return nil
}

// Do carries out one request on an open connection, until end. After an error it may
// have been carried out, and the connection is closed.
func (l *Conn) Do(end time.Time, method, path string, payload []byte) (status int, answer []byte, err error) {
	status, answer, closing, err := l.speak(end, method, path, payload)
	if err != nil || closing {
		l.Close()
	}
	l.used = time.Now()
	return status, answer, err
}

func (l *Conn) speak(end time.Time, method, path string, payload []byte) (status int, answer []byte, closing bool, err error) {
	if err := l.conn.SetDeadline(end); err != nil {
		return 0, nil, false, fmt.Errorf("connection to %s: %w", l.addr, err)
	}
	req, err := http.NewRequest(method, "http://"+l.addr+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, false, fmt.Errorf("connection to %s: %w", l.addr, err)
	}
	if payload != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if err := req.Write(l.conn); err != nil {
		return 0, nil, false, fmt.Errorf("connection to %s: %w", l.addr, err)
	}
	resp, err := http.ReadResponse(l.in, req)
	if err != nil {
		return 0, nil, false, fmt.Errorf("connection to %s: %w", l.addr, err)
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, resp.Close, err
}

// hungUp tells whether the other side has closed an idle connection: there is
// something to be read, if only the end. A request on such a connection would be
// lost, and nobody could tell whether it was carried out.
func hungUp(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		// Not a socket: a read that may not wait tells as much.
		if err := conn.SetReadDeadline(time.Now()); err != nil {
			return true
		}
		_, err := conn.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err != syscall.EAGAIN
		return true
	})
	return gone || err != nil
}

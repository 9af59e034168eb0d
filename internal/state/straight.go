package state

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

// straight is a connection that one goroutine uses by itself, from the request to
// the answer. The client for all other requests hands each one from goroutine to
// goroutine, and on a controller that is short of time each of those waits until
// all that is ready before it has had its turn: a leader that was busy with a
// thousand workers lost its lease over that.
type straight struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

// do carries out one request that may be repeated. It gives up after limit.
func (s *straight) do(ctx context.Context, limit time.Duration, method, path string, payload []byte) (int, []byte, error) {
	end := time.Now().Add(limit)
	kept := s.conn != nil
	status, answer, err := s.once(ctx, end, method, path, payload)
	if err != nil && kept && time.Now().Before(end) {
		// The other side may have closed what was kept.
		status, answer, err = s.once(ctx, end, method, path, payload)
	}
	return status, answer, err
}

func (s *straight) once(ctx context.Context, end time.Time, method, path string, payload []byte) (status int, answer []byte, err error) {
	if s.conn == nil {
		d := net.Dialer{Deadline: end, KeepAlive: -1}
		if s.conn, err = d.DialContext(ctx, "tcp", s.addr); err != nil {
			s.conn = nil
			return 0, nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		s.in = bufio.NewReaderSize(s.conn, 1024)
	}
	status, answer, closing, err := s.speak(end, method, path, payload)
	if err != nil || closing {
		s.conn.Close()
		s.conn = nil
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return status, answer, err
}

func (s *straight) speak(end time.Time, method, path string, payload []byte) (status int, answer []byte, closing bool, err error) {
	if err := s.conn.SetDeadline(end); err != nil {
		return 0, nil, false, err
	}
	req, err := http.NewRequest(method, "http://"+s.addr+path, bytes.NewReader(payload))
	if err != nil {
		return 0, nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	if err := req.Write(s.conn); err != nil {
		return 0, nil, false, err
	}
	resp, err := http.ReadResponse(s.in, req)
	if err != nil {
		return 0, nil, false, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, resp.Close, err
}

// Package outbound has what all calls to other systems share: their HTTP
// client, what a failed call proves, and waiting before the next.
package outbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// bufferSize is for each connection both ways: there are many, and most messages
// are short.
const bufferSize = 2 << 10

// NewClient makes a client that keeps up to idle connections to each address.
func NewClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		// Every call has a time limit, so that probes of idle connections would
		// tell nothing; setting them up costs four system calls.
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
	}}
}

// NeverSent tells of a failed call that it was surely not carried out: there
// was no connection, and an attempt to connect that was given up never
// completes later.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Pause waits for a while, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

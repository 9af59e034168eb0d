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

// NewClient makes a client that keeps up to idle connections to each address,
// and up to total in all unless that is 0.
func NewClient(idle, total int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: idle,
		MaxIdleConns:        total,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
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

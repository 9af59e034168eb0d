package dispatch

import (
	"context"
	"net/http"

	"leadproxy/internal/outbound"
)

// Lines bounds the connections to workers.
type Lines struct {
	AtOnce int // calls on their way
	// Kept is how many connections are kept between two calls, and Few how many
	// while Crowded tells that sockets are short.
	Kept, Few int
	Crowded   func() bool
}

// callers call workers. A new connection costs several times what a command
// does, so they are kept as far as there are sockets.
type callers struct {
	lines Lines
	turns chan struct{} // who has put something in may call, and takes it out
	many  *http.Client
	few   *http.Client
}

func newCallers(l Lines) *callers {
	return &callers{lines: l, turns: make(chan struct{}, l.AtOnce), many: outbound.NewClient(1, l.Kept), few: outbound.NewClient(1, l.Few)}
}

// line waits for a turn to call; done gives it back.
func (c *callers) line(ctx context.Context) (done func(), ok bool) {
	select {
	case c.turns <- struct{}{}:
		return func() { <-c.turns }, true
	case <-ctx.Done():
		return nil, false
	}
}

func (c *callers) do(req *http.Request) (*http.Response, error) {
	if c.lines.Crowded() {
		return c.few.Do(req)
	}
	return c.many.Do(req)
}

// hangUp closes what is kept beyond few.
func (c *callers) hangUp() { c.many.CloseIdleConnections() }

// Package cells carries transfers between the cells of an operator, over gRPC, and shows
// them to operators. What the messages mean is in package spill.
package cells

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/federation"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// version is that of the messages. Cells of different versions refuse one another.
const version = 1

// The times of a call: it may try each controller of a cell in turn.
const (
	callLimit = 2 * time.Second
	tryLimit  = 700 * time.Millisecond
)

// ErrNoCell means that the settings name no such neighbour.
var ErrNoCell = errors.New("no such neighbour")

// Client speaks to the leaders of the neighbours.
type Client struct {
	cell    string
	cancelS float64
	peers   map[string]*neighbour
}

// neighbour is the connections to the controllers of one cell.
type neighbour struct {
	controllers []cellpb.CellClient
	// leader is the place of the one that answered last.
	leader atomic.Int64
}

// Dial prepares connections to all controllers of the neighbours, until ctx ends.
// Nothing is sent until the first call.
func Dial(ctx context.Context, n transport.Network, c settings.Cells, cancelS float64) (*Client, error) {
	client := &Client{cell: c.Name, cancelS: cancelS, peers: map[string]*neighbour{}}
	for _, other := range c.Neighbours {
		to := &neighbour{}
		for _, addr := range other.Controllers {
			conn, err := rpc.Connect(n, addr)
			if err != nil {
				return nil, fmt.Errorf("cell %s, controller %s: %w", other.Name, addr, err)
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			to.controllers = append(to.controllers, cellpb.NewCellClient(conn))
		}
		client.peers[other.Name] = to
	}
	return client, nil
}

func (c *Client) envelope(to string) *cellpb.Envelope {
	return &cellpb.Envelope{Version: version, From: c.cell, To: to}
}

// call makes a call to a cell's leader, which any of its controllers may be. The one
// that answered last is tried first.
func (c *Client) call(ctx context.Context, cell string, try func(ctx context.Context, to cellpb.CellClient) error) error {
	to := c.peers[cell]
	if to == nil {
		return ErrNoCell
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	first := int(to.leader.Load())
	var err error
	for i := range to.controllers {
		at := (first + i) % len(to.controllers)
		if err = tryOnce(ctx, to.controllers[at], try); err == nil {
			to.leader.Store(int64(at))
			return nil
		}
		if !elsewhere(err) || ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("cell %s: %w", cell, err)
}

func tryOnce(ctx context.Context, to cellpb.CellClient, try func(ctx context.Context, to cellpb.CellClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	return try(ctx, to)
}

// elsewhere tells whether another controller of the cell may do better: this one does
// not lead, does not answer, or is of a version before cells.
func elsewhere(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented:
		return true
	}
	return false
}

// Exchange has a neighbour's leader answer messages.
func (c *Client) Exchange(ctx context.Context, cell string, messages []federation.Message) ([]federation.Answer, error) {
	request := &cellpb.ExchangeRequest{Envelope: c.envelope(cell)}
	for _, m := range messages {
		request.Messages = append(request.Messages, messageOut(m))
	}
	var answers []federation.Answer
	err := c.call(ctx, cell, func(ctx context.Context, to cellpb.CellClient) error {
		reply, err := to.Exchange(ctx, request)
		if err != nil {
			return err
		}
		for _, a := range reply.Answers {
			answers = append(answers, answerIn(a))
		}
		return nil
	})
	return answers, err
}

// AskCapacity asks a neighbour's leader for room for so many cores.
func (c *Client) AskCapacity(ctx context.Context, cell string, cores float64) (dispatch.CapacityOffer, error) {
	var offer dispatch.CapacityOffer
	err := c.call(ctx, cell, func(ctx context.Context, to cellpb.CellClient) error {
		reply, err := to.Room(ctx, &cellpb.RoomRequest{Envelope: c.envelope(cell), Cores: cores, CancelS: c.cancelS})
		if err != nil {
			return err
		}
		offer = dispatch.CapacityOffer{Cores: max(0, min(reply.Cores, cores)), For: milliseconds(reply.ForMs), RetryAfter: milliseconds(reply.RetryAfterMs), Reason: reply.Reason}
		return nil
	})
	return offer, err
}

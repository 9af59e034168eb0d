// Package cells carries transfers of jobs between the cells of an operator, over gRPC, and shows
// them to operators. The meaning of the messages is defined by package federation.
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

// protocolVersion is the version of the messages. Cells of different versions refuse one another.
const protocolVersion = 1

// The time limits of a call, which may try each controller of a cell in turn.
const (
	callTimeout    = 2 * time.Second
	attemptTimeout = 700 * time.Millisecond
)

// ErrUnknownCell means that the settings have no neighbour of that name.
var ErrUnknownCell = errors.New("unknown neighbour")

// Client calls the leaders of the neighbours.
type Client struct {
	cell string
	// cancelS is the time in seconds within which the tasks of a cancelled job are gone here.
	cancelS    float64
	neighbours map[string]*neighbour
}

// neighbour holds the connections to the controllers of one cell.
type neighbour struct {
	controllers []cellpb.CellClient
	// leaderIndex is the index of the controller that answered last.
	leaderIndex atomic.Int64
}

// Dial prepares connections to all controllers of the neighbours, until ctx ends.
// Nothing is sent before the first call.
func Dial(ctx context.Context, network transport.Network, cells settings.Cells, cancelS float64) (*Client, error) {
	client := &Client{cell: cells.Name, cancelS: cancelS, neighbours: map[string]*neighbour{}}
	for _, configured := range cells.Neighbours {
		connected := &neighbour{}
		for _, address := range configured.Controllers {
			conn, err := rpc.Connect(network, address)
			if err != nil {
				return nil, fmt.Errorf("connect to controller %s of cell %s: %w", address, configured.Name, err)
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			connected.controllers = append(connected.controllers, cellpb.NewCellClient(conn))
		}
		client.neighbours[configured.Name] = connected
	}
	return client, nil
}

func (c *Client) envelope(to string) *cellpb.Envelope {
	return &cellpb.Envelope{Version: protocolVersion, From: c.cell, To: to}
}

// sendFunc is one request to a controller of a cell.
type sendFunc func(ctx context.Context, controller cellpb.CellClient) error

// call sends a request to a cell's leader, which any of its controllers may be. The one that
// answered last is tried first.
func (c *Client) call(ctx context.Context, cell string, send sendFunc) error {
	neighbour := c.neighbours[cell]
	if neighbour == nil {
		return fmt.Errorf("call cell %s: %w", cell, ErrUnknownCell)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	first := int(neighbour.leaderIndex.Load())
	var err error
	for i := range neighbour.controllers {
		index := (first + i) % len(neighbour.controllers)
		if err = callController(ctx, neighbour.controllers[index], send); err == nil {
			neighbour.leaderIndex.Store(int64(index))
			return nil
		}
		if !retryElsewhere(err) || ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("call cell %s: %w", cell, err)
}

func callController(ctx context.Context, controller cellpb.CellClient, send sendFunc) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return send(ctx, controller)
}

// retryElsewhere reports whether another controller of the cell may succeed: this one is not the
// leader, does not answer, or has a version without cells.
func retryElsewhere(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented:
		return true
	}
	return false
}

// Exchange sends messages to a neighbour's leader and returns its answers.
func (c *Client) Exchange(ctx context.Context, cell string, messages []federation.Message) ([]federation.Answer, error) {
	exchange := &cellpb.ExchangeRequest{Envelope: c.envelope(cell)}
	for _, m := range messages {
		exchange.Messages = append(exchange.Messages, encodeMessage(m))
	}
	var answers []federation.Answer
	err := c.call(ctx, cell, func(ctx context.Context, controller cellpb.CellClient) error {
		reply, err := controller.Exchange(ctx, exchange)
		if err != nil {
			return err
		}
		for _, a := range reply.Answers {
			answers = append(answers, decodeAnswer(a))
		}
		return nil
	})
	return answers, err
}

// AskCapacity requests a capacity offer for a number of cores from a neighbour's leader.
func (c *Client) AskCapacity(ctx context.Context, cell string, cores float64) (dispatch.CapacityOffer, error) {
	var offer dispatch.CapacityOffer
	err := c.call(ctx, cell, func(ctx context.Context, controller cellpb.CellClient) error {
		reply, err := controller.Room(ctx, &cellpb.RoomRequest{Envelope: c.envelope(cell), Cores: cores, CancelS: c.cancelS})
		if err != nil {
			return err
		}
		offer = decodeOffer(reply, cores)
		return nil
	})
	return offer, err
}

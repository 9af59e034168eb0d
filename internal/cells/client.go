// Package cells exchanges the messages about job transfers between the cells of an operator over
// gRPC, and reports transfers to operators. Package federation defines what the messages mean.
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

// protocolVersion is the version of the messages. A cell rejects messages of any other version.
const protocolVersion = 1

// The time limits of a call. A call may try each controller of a cell in turn: callTimeout bounds
// the whole call, attemptTimeout the request to one controller.
const (
	callTimeout    = 2 * time.Second
	attemptTimeout = 700 * time.Millisecond
)

// ErrUnknownCell means that the settings have no neighbour with the name of the called cell.
var ErrUnknownCell = errors.New("unknown neighbour")

// Client sends requests to the leaders of the neighbours. It is safe for concurrent use.
type Client struct {
	cell string
	// cancelS is the time in seconds within which this cell ends the tasks of a cancelled job.
	cancelS    float64
	neighbours map[string]*neighbour
}

// neighbour holds the connections to the controllers of one neighbouring cell.
type neighbour struct {
	controllers []cellpb.CellClient
	// leaderIndex is the index of the controller that last answered a request.
	leaderIndex atomic.Int64
}

// Dial returns a client for the neighbours in the settings. Connections are opened by the first
// call that needs them, and closed when ctx ends.
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

// envelope returns the envelope of a request to a cell.
func (c *Client) envelope(to string) *cellpb.Envelope {
	return &cellpb.Envelope{Version: protocolVersion, From: c.cell, To: to}
}

// sendFunc sends one request to a controller.
type sendFunc func(ctx context.Context, controller cellpb.CellClient) error

// call sends a request to the leader of a cell. It tries the controllers in turn, starting with the
// one that answered last, until one succeeds or fails in a way that the others would too.
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

// callController sends a request to one controller within attemptTimeout.
func callController(ctx context.Context, controller cellpb.CellClient, send sendFunc) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return send(ctx, controller)
}

// retryElsewhere reports whether the request may succeed at another controller of the cell: the one
// that returned err is not the leader, did not answer, or runs a version without this service.
func retryElsewhere(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unimplemented:
		return true
	}
	return false
}

// Exchange sends transfer messages to the leader of a cell and returns its answers.
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

// AskCapacity requests a capacity offer for a number of cores from the leader of a cell.
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

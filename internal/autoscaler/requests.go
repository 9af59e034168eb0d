package autoscaler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// callTimeout is the longest time that one call may take.
const callTimeout = 5 * time.Second

// noCapacityText is contained in the cloud's response when it has no machines of the pool left.
const noCapacityText = "no capacity"

// Types reads the machine types immediately. A direct call bypasses the queue and the rate limit.
func (c *Client) Types(ctx context.Context) ([]wire.MachineType, error) {
	var response wire.MachineTypes
	err := c.do(ctx, http.MethodGet, "/flavors", nil, &response)
	return response.Types, err
}

// scaleOut requests machines and returns the names of those that were rented, which may be fewer.
func (c *Client) scaleOut(ctx context.Context, request *wire.ScaleOutRequest) ([]string, error) {
	var response wire.MachineNames
	err := c.do(ctx, http.MethodPost, "/machines", request, &response)
	return response.Names, err
}

// list returns all pages of the list of machines. It pauses between pages to keep the rate limit.
func (c *Client) list(ctx context.Context) ([]wire.ListedMachine, error) {
	var machines []wire.ListedMachine
	after := ""
	for {
		query := url.Values{"limit": {strconv.Itoa(maxList)}}
		if after != "" {
			query.Set("from", after)
		}
		var page wire.MachineList
		if err := c.do(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return machines, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
		// Each further page counts against the rate limit as well.
		transport.Pause(ctx, c.interval())
	}
}

// do makes one call and decodes the response body into response, unless that is nil. Errors are of
// type *CallError.
func (c *Client) do(ctx context.Context, method, path string, body, response any) error {
	failure := func(outcome, cause error) error {
		return &CallError{Method: method, Path: path, Outcome: outcome, Cause: cause}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return failure(nil, err)
	}
	received, err := c.http.Do(request)
	if err != nil {
		return failure(outcomeOf(err), err)
	}
	defer received.Body.Close()
	text, err := io.ReadAll(received.Body)
	if err != nil {
		return failure(ErrUnknownOutcome, err)
	}
	switch {
	case received.StatusCode == http.StatusOK:
	case received.StatusCode == http.StatusServiceUnavailable && bytes.Contains(text, []byte(noCapacityText)):
		return failure(ErrNoCapacity, nil)
	default:
		return failure(ErrNotExecuted, fmt.Errorf("status %d: %.100s", received.StatusCode, text))
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(text, response); err != nil {
		return failure(ErrUnknownOutcome, fmt.Errorf("decode response: %w", err))
	}
	return nil
}

// outcomeOf returns the outcome of a call that failed without a response.
func outcomeOf(err error) error {
	if transport.NotSent(err) {
		return ErrNotExecuted
	}
	return ErrUnknownOutcome
}

// newRequest builds the HTTP request of a call. A nil body sends none.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
	}
	return http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(payload))
}

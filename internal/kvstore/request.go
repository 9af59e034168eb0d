package kvstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/transport"
)

// Bounds of a request's duration, once it is granted.
const (
	requestTimeout = 1500 * time.Millisecond
	listTimeout    = 2 * requestTimeout
	renewTimeout   = time.Second
)

// maxErrorBody bounds how much of the response to a rejected request becomes part of the error.
const maxErrorBody = 200

// request is one request to the store.
type request struct {
	method   string
	path     string
	body     any // encoded as JSON; nil: none
	priority Priority
	writes   int // keys that it changes
	timeout  time.Duration
}

// response is the store's response to a request.
type response struct {
	request request
	status  int
	body    []byte
}

// wrapError wraps the reason why the request failed.
func (r request) wrapError(reason error) error {
	return &RequestError{Method: r.method, Path: r.path, Err: reason}
}

// decode decodes the response's body.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return r.request.wrapError(fmt.Errorf("%w: decode the response: %w", ErrUnknownOutcome, err))
	}
	return nil
}

// rejectionError is the error for a response whose status tells that the request was invalid.
func (r response) rejectionError() error {
	body := r.body
	if len(body) > maxErrorBody {
		body = body[:maxErrorBody]
	}
	return r.request.wrapError(fmt.Errorf("%w: status %d: %s", ErrInvalidRequest, r.status, body))
}

// send sends a request when the rate limiter grants it, again if the store refuses it for the rate.
// A response with status 503 is an error.
func (c *Client) send(ctx context.Context, r request) (response, error) {
	var payload []byte
	if r.body != nil {
		var err error
		if payload, err = json.Marshal(r.body); err != nil {
			return response{}, r.wrapError(fmt.Errorf("encode the request: %w", err))
		}
	}
	for {
		if err := c.limiter.wait(ctx, r.priority, r.writes); err != nil {
			return response{}, r.wrapError(err)
		}
		resp, err := c.attempt(ctx, r, payload)
		if err == nil && resp.status == http.StatusTooManyRequests {
			// Another controller uses more than its share at the moment: back off.
			c.limiter.recordRefusal(r.writes)
			continue
		}
		if err == nil && resp.status == http.StatusServiceUnavailable {
			err = ErrUnavailable
		}
		c.recordAvailability(ctx, r, err)
		if err != nil {
			return response{}, r.wrapError(err)
		}
		return resp, nil
	}
}

// recordAvailability records what a request's result shows of whether the store serves this
// controller.
func (c *Client) recordAvailability(ctx context.Context, r request, err error) {
	switch {
	case err == nil:
		c.availability.record(served)
	case errors.Is(err, ErrUnavailable):
		c.availability.record(notServed)
	case r.timeout <= listTimeout && !errors.Is(ctx.Err(), context.Canceled):
		// A partition that drops packets shows only in missing responses. For a watch those
		// are normal.
		c.availability.record(notServed)
	}
}

// attempt sends a request once.
func (c *Client) attempt(ctx context.Context, r request, payload []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, bytes.NewReader(payload))
	if err != nil {
		return response{}, err
	}
	if payload != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		if transport.NotSent(err) {
			return response{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return response{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{}, fmt.Errorf("%w: read the response: %w", ErrUnknownOutcome, err)
	}
	return response{request: r, status: httpResponse.StatusCode, body: body}, nil
}

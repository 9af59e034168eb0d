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

// The timeouts of a request, counted from its grant.
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
	writes   int // number of keys that it changes
	timeout  time.Duration
}

// response is the store's response to a request.
type response struct {
	request request
	status  int
	body    []byte
}

// wrapError wraps the reason why the request failed in a RequestError.
func (r request) wrapError(reason error) error {
	return &RequestError{Method: r.method, Path: r.path, Err: reason}
}

// decode decodes the response's body as JSON. It returns ErrUnknownOutcome if that fails.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return r.request.wrapError(fmt.Errorf("%w: decode the response: %w", ErrUnknownOutcome, err))
	}
	return nil
}

// rejectionError returns the error for a response whose status means that the request was invalid.
func (r response) rejectionError() error {
	body := r.body
	if len(body) > maxErrorBody {
		body = body[:maxErrorBody]
	}
	return r.request.wrapError(fmt.Errorf("%w: status %d: %s", ErrInvalidRequest, r.status, body))
}

// send sends a request once the rate limiter grants it, and retries it while the store refuses it
// because of its rate limit (status 429). For a response with status 503 it returns ErrUnavailable.
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
			// Another controller uses more than its share at the moment, so back off.
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

// recordAvailability records whether a request's result, nil for success, shows that the store serves
// this controller.
func (c *Client) recordAvailability(ctx context.Context, r request, err error) {
	switch {
	case err == nil:
		c.availability.record(served)
	case errors.Is(err, ErrUnavailable):
		c.availability.record(notServed)
	case r.timeout <= listTimeout && !errors.Is(ctx.Err(), context.Canceled):
		// A partition that drops packets can be detected only by missing responses. For a
		// watch, whose timeout is longer, they are normal.
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

package jobapi

import (
	"context"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/metrics"
)

// forwardTimeout bounds the wait for each controller to which a request is forwarded.
const forwardTimeout = 800 * time.Millisecond

// askPeer forwards a request to another controller and returns its response.
func (s *Service) askPeer(ctx context.Context, timeout time.Duration, controller string, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Peers.Ask(ctx, controller, request)
}

// forwardUnlessServing forwards a request immediately while the key-value store does not serve this
// controller. Behind a partition that drops packets, each request would otherwise spend seconds on
// detecting that. The zero response means that this controller must serve the request itself,
// because the store serves this controller or because no other one can serve the request. In the
// latter case the request becomes LocalOnly.
func (s *Service) forwardUnlessServing(ctx context.Context, request *Request) Response {
	if request.LocalOnly || s.Store.Serving() {
		return Response{}
	}
	response := s.forwardOrFallBack(ctx, *request, Response{})
	request.LocalOnly = true
	return response
}

// forwardOrFallBack returns another controller's response to a request that this one can't serve,
// for example because the key-value store refuses only this controller. It returns fallback if no
// other controller can serve the request, or if the request is LocalOnly.
func (s *Service) forwardOrFallBack(ctx context.Context, request Request, fallback Response) Response {
	if response := s.forward(ctx, request); !response.IsZero() {
		s.recordAnswer(request, sourcedStatus{source: metrics.OtherController}, nil)
		return response
	}
	if !fallback.IsZero() {
		s.recordNoAnswer(request)
	}
	return fallback
}

// forward returns the response of the first other controller that can serve a request, or the zero
// response if there is none.
func (s *Service) forward(ctx context.Context, request Request) Response {
	if request.LocalOnly {
		return Response{}
	}
	for _, controller := range s.forwardingOrder() {
		if ctx.Err() != nil {
			break
		}
		if response, err := s.askPeer(ctx, forwardTimeout, controller, request); err == nil && isServed(response) {
			return response
		}
	}
	return Response{}
}

// forwardingOrder returns the names of the other controllers, the leader first, because the leader
// is the one that has certainly reached the key-value store.
func (s *Service) forwardingOrder() []string {
	others := s.Peers.Names()
	leader := s.Elector.View().Leader
	if leader == s.Platform.Name || !slices.Contains(others, leader) {
		return others
	}
	order := []string{leader}
	for _, name := range others {
		if name != leader {
			order = append(order, name)
		}
	}
	return order
}

// isServed reports whether a response of another controller means that it could serve the request.
func isServed(response Response) bool {
	return response.Status < http.StatusInternalServerError && response.Status != http.StatusTooManyRequests
}

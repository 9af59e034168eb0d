package jobapi

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// forwardTimeout is how long to wait for each controller that a request is forwarded to.
const forwardTimeout = 800 * time.Millisecond

// askPeer has another controller respond to a request.
func (s *Service) askPeer(ctx context.Context, timeout time.Duration, controller string, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.Peers.Ask(ctx, controller, request)
}

// forwardUnlessServing forwards a request at once while the key-value store does not serve
// this controller: behind a partition that drops packets, finding that out anew takes
// seconds for each request. The zero response means that it is to be served here: the store
// serves this controller, or no other one answers. In the latter case the request becomes
// LocalOnly.
func (s *Service) forwardUnlessServing(ctx context.Context, request *Request) Response {
	if request.LocalOnly || s.Store.Serving() {
		return Response{}
	}
	response := s.forwardOrFallBack(ctx, *request, Response{})
	request.LocalOnly = true
	return response
}

// forwardOrFallBack returns another controller's response to a request that this one can't serve,
// as when the key-value store refuses this controller alone. If none of them can serve it,
// or the request is LocalOnly, the response is otherwise.
func (s *Service) forwardOrFallBack(ctx context.Context, request Request, otherwise Response) Response {
	if request.LocalOnly {
		return otherwise
	}
	for _, controller := range s.forwardingOrder() {
		if ctx.Err() != nil {
			break
		}
		if response, err := s.askPeer(ctx, forwardTimeout, controller, request); err == nil && isServed(response) {
			return response
		}
	}
	return otherwise
}

// forwardingOrder lists the other controllers, the leader first: it is the one that has
// surely reached the key-value store.
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

// isServed reports whether another controller could serve a request.
func isServed(response Response) bool {
	return response.Status < http.StatusInternalServerError && response.Status != http.StatusTooManyRequests
}

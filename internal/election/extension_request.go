package election

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Peers sends requests to the other controllers.
type Peers interface {
	Names() []string
	// RequestExtension asks a controller not to act as the leader for a duration, and reports
	// whether it agreed.
	RequestExtension(ctx context.Context, controller string, duration time.Duration) (bool, error)
}

// The reasons why a request has not extended the lease.
var (
	errNotRequested        = errors.New("no extension was requested")
	errNoPeers             = errors.New("there are no peers to grant an extension")
	errExtensionRefused    = errors.New("extension refused")
	errExtensionUnanswered = errors.New("request for an extension not answered")
	errExtensionTooLate    = errors.New("extension granted after the lease had ended")
)

// extensionResult is the outcome of asking all peers for an extension.
type extensionResult struct {
	expiry time.Time
	err    error // why there is no extension; nil: all peers have granted it
}

// peerAnswer is one peer's answer to a request for an extension.
type peerAnswer struct {
	peer    string
	granted bool
	err     error
}

// refusal returns the reason why the answer grants no extension; nil: it grants one.
func (a peerAnswer) refusal() error {
	switch {
	case a.err != nil:
		return fmt.Errorf("%w by %s: %w", errExtensionUnanswered, a.peer, a.err)
	case !a.granted:
		return fmt.Errorf("%w by %s", errExtensionRefused, a.peer)
	}
	return nil
}

// startExtensionRequest asks all peers in the background. The channel delivers one result.
func (e *Elector) startExtensionRequest(ctx context.Context) <-chan extensionResult {
	result := make(chan extensionResult, 1)
	go func() {
		expiry, err := e.requestExtension(ctx)
		result <- extensionResult{expiry: expiry, err: err}
	}()
	return result
}

// requestExtension asks all peers at once and returns the end of the extension that all of them
// have granted.
func (e *Elector) requestExtension(ctx context.Context) (expiry time.Time, err error) {
	if e.Peers == nil {
		return time.Time{}, errNoPeers
	}
	peers := e.Peers.Names()
	if len(peers) == 0 {
		return time.Time{}, errNoPeers
	}
	requested := time.Now()
	ctx, cancel := context.WithTimeout(ctx, extensionDuration/2)
	defer cancel()
	answers := e.askPeers(ctx, peers)
	for range peers {
		select {
		case answer := <-answers:
			if err := answer.refusal(); err != nil {
				return time.Time{}, err
			}
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("%w in time by all peers: %w", errExtensionUnanswered, ctx.Err())
		}
	}
	return e.lease.extensionExpiry(requested), nil
}

// askPeers sends the request to each peer. The channel buffers all answers, so that no sender blocks.
func (e *Elector) askPeers(ctx context.Context, peers []string) <-chan peerAnswer {
	answers := make(chan peerAnswer, len(peers))
	for _, peer := range peers {
		go func() {
			granted, err := e.Peers.RequestExtension(ctx, peer, extensionDuration)
			answers <- peerAnswer{peer: peer, granted: granted, err: err}
		}()
	}
	return answers
}

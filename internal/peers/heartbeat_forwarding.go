package peers

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/jobapi"
)

// Agents may send their heartbeats to any controller. A controller that does not lead forwards them
// to the leader, in batches on one stream, and passes the responses back. A heartbeat then costs the
// leader little more than the decision on its response.

// The durations and bounds of forwarding.
const (
	// minBatchInterval is the minimum time between two batches on a stream. A single heartbeat is
	// sent at once; the more heartbeats there are, the more of them share a batch.
	minBatchInterval = 50 * time.Millisecond
	// silenceLimit is how long a leader may send no response at all while heartbeats are in
	// flight. Beyond it new ones are refused at once, so that their agents try another controller.
	silenceLimit = 2 * time.Second
	// abandonAfter is how long after forwarding a heartbeat its caller has certainly stopped
	// waiting for the response.
	abandonAfter = 5 * time.Second
	// abandonCheckInterval is how often abandoned heartbeats are dropped.
	abandonCheckInterval = time.Second
	// reopenInterval is the minimum time between two attempts to open a stream.
	reopenInterval = 300 * time.Millisecond
	// maxInFlight bounds the heartbeats in flight on one stream: about two from each of 4,000
	// agents, since a heartbeat whose agent no longer waits counts until it is abandoned. The receiver
	// buffers as many responses of 16 bytes each: 128 KiB per stream.
	maxInFlight = 8192
	// maxBatchBytes is the size from which on nothing more is added to a batch. With one more
	// message of 64 KiB a batch stays below gRPC's limit of 4 MiB. Without the bound, all the
	// heartbeats that had waited for a slow stream would be sent in one batch and break it.
	maxBatchBytes = 1 << 20
)

// ErrNoStream means that heartbeats can't be forwarded to that controller at the moment, or that the
// stream broke before the response arrived.
var ErrNoStream = errors.New("no stream to the other controller")

// ForwardHeartbeat forwards an agent's heartbeat to the leader and returns the leader's response. The
// error is ErrNoStream, that of ctx, or that the leader is unknown.
func (p *Peers) ForwardHeartbeat(ctx context.Context, leader string, body []byte) (jobapi.Response, error) {
	peer, err := p.find(leader)
	if err != nil {
		return jobapi.Response{}, err
	}
	request := forwardRequest{body: body, reply: make(chan forwardReply, 1)}
	select {
	case peer.forwarder.requests <- request:
	case <-ctx.Done():
		return jobapi.Response{}, ctx.Err()
	}
	select {
	case reply := <-request.reply:
		return reply.response, reply.err
	case <-ctx.Done():
		return jobapi.Response{}, ctx.Err()
	}
}

// Connect opens the stream to the leader before there is a heartbeat to forward, so that the leader
// can redirect agents to this controller.
func (p *Peers) Connect(ctx context.Context, leader string) {
	peer, err := p.find(leader)
	if err != nil {
		return // the key-value store names a leader that is missing in this controller's settings
	}
	select {
	case peer.forwarder.requests <- forwardRequest{}:
	case <-ctx.Done():
	}
}

// forwardRequest is a heartbeat to be forwarded. With a nil reply channel it only requests that the
// stream be opened.
type forwardRequest struct {
	body  []byte
	reply chan forwardReply // buffers one reply
}

// forwardReply is the leader's response, or the error why there is none.
type forwardReply struct {
	response jobapi.Response
	err      error
}

func (r forwardRequest) refuse(err error) {
	if r.reply != nil {
		r.reply <- forwardReply{err: err}
	}
}

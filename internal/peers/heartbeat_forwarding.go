package peers

import (
	"context"
	"errors"
	"time"

	"leadproxy/internal/jobapi"
)

// Workers may send their heartbeats to any controller. One that does not lead forwards them
// to the leader and passes the responses back, many together on one stream: what a heartbeat
// costs the leader is then little more than its decision.

// The times and bounds of forwarding.
const (
	// minBatchInterval is the least time between two batches on a stream. A single
	// heartbeat is sent at once; the more there are, the more share a batch.
	minBatchInterval = 50 * time.Millisecond
	// silenceLimit is how long a leader may send no response at all while heartbeats are
	// in flight. Beyond it new ones are refused at once, so that their workers try
	// another controller.
	silenceLimit = 2 * time.Second
	// abandonAfter is when the caller has surely stopped waiting for a response.
	abandonAfter = 5 * time.Second
	// abandonCheckInterval is how often abandoned heartbeats are dropped.
	abandonCheckInterval = time.Second
	// reopenInterval is the least time between two tries to open a stream.
	reopenInterval = 300 * time.Millisecond
	// maxInFlight bounds the heartbeats in flight on one stream: two from each of 4,000
	// workers, since one that the worker has given up counts until it is abandoned. The
	// receiver has room for as many responses, 16 bytes each: 128 KiB a stream.
	maxInFlight = 8192
	// maxBatchBytes is from where on a batch takes no more. With one more message of
	// 64 KiB it stays below what gRPC accepts, 4 MiB: heartbeats that waited for a slow
	// stream would otherwise break it, all of them together.
	maxBatchBytes = 1 << 20
)

// ErrNoStream means that heartbeats can't be forwarded to that controller at the moment, or
// that the stream broke before the response came.
var ErrNoStream = errors.New("no stream to the other controller")

// ForwardHeartbeat has the leader respond to a worker's heartbeat.
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

// Connect opens the stream to the leader before there is a heartbeat to forward, so that
// the leader can redirect workers here.
func (p *Peers) Connect(ctx context.Context, leader string) {
	peer, err := p.find(leader)
	if err != nil {
		return // the key-value store names a leader that our settings don't
	}
	select {
	case peer.forwarder.requests <- forwardRequest{}:
	case <-ctx.Done():
	}
}

// forwardRequest is a heartbeat to be forwarded; without a reply, it only asks for the
// stream to be opened.
type forwardRequest struct {
	body  []byte
	reply chan forwardReply // has room for one
}

// forwardReply is the leader's response, or why there is none.
type forwardReply struct {
	response jobapi.Response
	err      error
}

func (r forwardRequest) refuse(err error) {
	if r.reply != nil {
		r.reply <- forwardReply{err: err}
	}
}

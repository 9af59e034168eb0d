package peers

import (
	"context"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// forwarder forwards heartbeats to one controller. All its fields but the channels belong to
// the goroutine that executes run.
type forwarder struct {
	controller string // this controller
	open       openStream
	requests   chan forwardRequest
	events     chan streamEvent

	stream        *outgoingStream // nil: none
	streamsOpened int
	reopenAt      time.Time // the next stream may be opened
	batches       *batchQueue
	inFlight      *inFlightHeartbeats
}

func newForwarder(node string, open openStream) *forwarder {
	return &forwarder{
		controller: node,
		open:       open,
		requests:   make(chan forwardRequest),
		events:     make(chan streamEvent),
		inFlight:   newInFlightHeartbeats(),
	}
}

// run forwards heartbeats until ctx ends.
func (f *forwarder) run(ctx context.Context) {
	f.batches = newBatchQueue()
	defer f.batches.stop()
	abandonCheck := time.NewTicker(abandonCheckInterval)
	defer abandonCheck.Stop()
	for {
		// A nil channel while there is nothing to be sent yet.
		var outgoing chan<- *peerpb.ReportBatch
		next := f.batches.due()
		if next != nil {
			outgoing = f.stream.batches
		}
		select {
		case request := <-f.requests:
			f.accept(ctx, request)
		case outgoing <- next:
			f.batches.removeSent()
		case <-f.batches.wakeUp():
		case event := <-f.events:
			f.handleEvent(event)
		case <-abandonCheck.C:
			f.inFlight.dropAbandoned()
		case <-ctx.Done():
			f.closeStream()
			return
		}
	}
}

// accept adds a heartbeat to the next batch, on a stream that is opened if there is none. A
// heartbeat that can't be forwarded at the moment is refused at once.
func (f *forwarder) accept(ctx context.Context, request forwardRequest) {
	now := time.Now()
	if f.stream == nil && now.Before(f.reopenAt) || f.inFlight.full() || f.inFlight.leaderSilent(now) {
		request.refuse(ErrNoStream)
		return
	}
	if f.stream == nil {
		f.openStream(ctx, now)
	}
	if request.reply == nil {
		return
	}
	id := f.inFlight.add(request.reply, now)
	f.batches.addHeartbeat(&peerpb.SharedReport{Id: id, Body: request.body})
}

// openStream starts opening a stream. Its first batch names this controller.
func (f *forwarder) openStream(ctx context.Context, now time.Time) {
	f.streamsOpened++
	f.reopenAt = now.Add(reopenInterval)
	ctx, cancel := context.WithCancel(ctx)
	f.stream = &outgoingStream{number: f.streamsOpened, cancel: cancel, batches: make(chan *peerpb.ReportBatch)}
	go f.stream.run(ctx, f.open, f.events)
	f.batches.addBatch(&peerpb.ReportBatch{Node: f.controller})
}

// closeStream ends the stream, if there is one. What became of the heartbeats in flight is
// unknown.
func (f *forwarder) closeStream() {
	if f.stream == nil {
		return
	}
	f.stream.cancel()
	f.stream = nil
	f.batches.clear()
	f.inFlight.refuseAll()
}

// handleEvent takes what a stream has brought. Events of earlier streams are dropped.
func (f *forwarder) handleEvent(event streamEvent) {
	switch {
	case f.stream == nil || event.stream != f.stream.number:
	case event.err != nil:
		f.closeStream()
	default:
		f.inFlight.complete(event.responses.Answers)
	}
}

// inFlightHeartbeats are the heartbeats on one stream that have no response yet.
type inFlightHeartbeats struct {
	byID   map[uint64]inFlightHeartbeat
	lastID uint64
	// silentSince is since when heartbeats have been in flight and no response at all has
	// come; zero: none are in flight.
	silentSince time.Time
}

type inFlightHeartbeat struct {
	reply       chan<- forwardReply
	forwardedAt time.Time
}

func newInFlightHeartbeats() *inFlightHeartbeats {
	return &inFlightHeartbeats{byID: map[uint64]inFlightHeartbeat{}}
}

func (h *inFlightHeartbeats) full() bool { return len(h.byID) >= maxInFlight }

// leaderSilent reports whether no response has come for longer than silenceLimit.
func (h *inFlightHeartbeats) leaderSilent(now time.Time) bool {
	return !h.silentSince.IsZero() && now.Sub(h.silentSince) > silenceLimit
}

// add numbers a heartbeat.
func (h *inFlightHeartbeats) add(reply chan<- forwardReply, now time.Time) uint64 {
	h.lastID++
	h.byID[h.lastID] = inFlightHeartbeat{reply: reply, forwardedAt: now}
	if h.silentSince.IsZero() {
		h.silentSince = now
	}
	return h.lastID
}

// complete passes responses on. Those to abandoned heartbeats are dropped.
func (h *inFlightHeartbeats) complete(responses []*peerpb.SharedAnswer) {
	for _, response := range responses {
		if heartbeat, ok := h.byID[response.Id]; ok {
			delete(h.byID, response.Id)
			heartbeat.reply <- forwardReply{response: jobapi.Response{Status: int(response.Status), Body: response.Body}}
		}
	}
	h.silentSince = time.Time{}
	if len(h.byID) > 0 {
		h.silentSince = time.Now()
	}
}

// dropAbandoned drops the heartbeats whose callers have stopped waiting.
func (h *inFlightHeartbeats) dropAbandoned() {
	for id, heartbeat := range h.byID {
		if time.Since(heartbeat.forwardedAt) > abandonAfter {
			delete(h.byID, id)
		}
	}
	if len(h.byID) == 0 {
		h.silentSince = time.Time{}
	}
}

// refuseAll gives the heartbeats back, so that their workers try again.
func (h *inFlightHeartbeats) refuseAll() {
	for _, heartbeat := range h.byID {
		heartbeat.reply <- forwardReply{err: ErrNoStream}
	}
	clear(h.byID)
	h.silentSince = time.Time{}
}

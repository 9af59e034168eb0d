package peers

import (
	"context"
	"time"

	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers/peerpb"
)

// forwarder forwards heartbeats to one controller. All its fields except the channels belong to the
// goroutine of run.
type forwarder struct {
	controller string // name of this controller
	open       openStream
	requests   chan forwardRequest
	events     chan streamEvent

	stream        *outgoingStream // nil: none
	streamsOpened int
	reopenAt      time.Time // earliest time to open the next stream
	batches       *batchQueue
	inFlight      *inFlightHeartbeats
}

func newForwarder(controller string, open openStream) *forwarder {
	return &forwarder{
		controller: controller,
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
		// While no batch is due the channel is nil, which disables its case.
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

// accept adds a heartbeat to the last batch, and opens a stream if there is none. A heartbeat that
// can't be forwarded at the moment is refused at once.
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

// openStream starts to open a stream. The first batch names this controller.
func (f *forwarder) openStream(ctx context.Context, now time.Time) {
	f.streamsOpened++
	f.reopenAt = now.Add(reopenInterval)
	ctx, cancel := context.WithCancel(ctx)
	f.stream = &outgoingStream{number: f.streamsOpened, cancel: cancel, batches: make(chan *peerpb.ReportBatch)}
	go f.stream.run(ctx, f.open, f.events)
	f.batches.addBatch(&peerpb.ReportBatch{Node: f.controller})
}

// closeStream ends the stream, if there is one, and refuses the heartbeats in flight, whose outcome
// is unknown.
func (f *forwarder) closeStream() {
	if f.stream == nil {
		return
	}
	f.stream.cancel()
	f.stream = nil
	f.batches.clear()
	f.inFlight.refuseAll()
}

// handleEvent processes an event of the stream. Events of earlier streams are ignored.
func (f *forwarder) handleEvent(event streamEvent) {
	switch {
	case f.stream == nil || event.stream != f.stream.number:
	case event.err != nil:
		f.closeStream()
	default:
		f.inFlight.complete(event.responses.Answers)
	}
}

// inFlightHeartbeats holds the heartbeats on one stream that have no response yet.
type inFlightHeartbeats struct {
	byID   map[uint64]inFlightHeartbeat
	lastID uint64
	// silentSince is since when heartbeats have been in flight without any response; zero: none
	// are in flight.
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

// leaderSilent reports whether heartbeats have been in flight for longer than silenceLimit without
// any response.
func (h *inFlightHeartbeats) leaderSilent(now time.Time) bool {
	return !h.silentSince.IsZero() && now.Sub(h.silentSince) > silenceLimit
}

// add records a heartbeat as in flight and returns its number.
func (h *inFlightHeartbeats) add(reply chan<- forwardReply, now time.Time) uint64 {
	h.lastID++
	h.byID[h.lastID] = inFlightHeartbeat{reply: reply, forwardedAt: now}
	if h.silentSince.IsZero() {
		h.silentSince = now
	}
	return h.lastID
}

// complete delivers responses to the callers. Responses to abandoned heartbeats are dropped.
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

// refuseAll refuses all heartbeats in flight, so that their agents retry.
func (h *inFlightHeartbeats) refuseAll() {
	for _, heartbeat := range h.byID {
		heartbeat.reply <- forwardReply{err: ErrNoStream}
	}
	clear(h.byID)
	h.silentSince = time.Time{}
}

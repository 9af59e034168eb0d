package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/jobapi"
	"leadproxy/internal/peers"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/wire"
)

// heartbeatTimeout is how long a heartbeat may wait for its response; the worker gives up
// after 4 s.
const heartbeatTimeout = 3 * time.Second

// heartbeatDispatcher is the part of the dispatcher that heartbeats need.
type heartbeatDispatcher interface {
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (scheduler.HeartbeatReply, error)
	HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(scheduler.HeartbeatReply, error))
	ExpectedMachines() int
}

// heartbeatForwarder forwards heartbeats to other controllers.
type heartbeatForwarder interface {
	ForwardHeartbeat(ctx context.Context, leader string, body []byte) (jobapi.Response, error)
	Connect(ctx context.Context, leader string)
}

// heartbeatHandler receives the workers' heartbeats. The leader responds to them in its
// term; other controllers forward them to the leader, and its responses back, and redirect
// the workers to it when they can't.
type heartbeatHandler struct {
	node                string
	elector             *election.Elector
	sendGuard           *dispatch.SendGuard
	dispatcher          heartbeatDispatcher
	peers               heartbeatForwarder
	log                 *slog.Logger
	connections         *connectionTracker
	redirector          *redirector
	directHeartbeats    *recentCounter // heartbeats that have come straight here
	forwardedHeartbeats *recentCounter // heartbeats that other controllers have forwarded here
}

func newHeartbeatHandler(ctx context.Context, node string, e *election.Elector, dispatcher heartbeatDispatcher, peers heartbeatForwarder, connections *connectionTracker, log *slog.Logger) *heartbeatHandler {
	h := &heartbeatHandler{
		node: node, elector: e, dispatcher: dispatcher, peers: peers, log: log, connections: connections,
		sendGuard: dispatch.NewSendGuard(e, log), redirector: newRedirector(), directHeartbeats: newRecentCounter(), forwardedHeartbeats: newRecentCounter(),
	}
	go h.redirector.run(ctx)
	return h
}

// connectInterval is how often a controller that does not lead checks its stream to the
// leader.
const connectInterval = time.Second

// keepConnected keeps the stream to the leader open until ctx ends, so that the leader can
// redirect workers here.
func (h *heartbeatHandler) keepConnected(ctx context.Context) {
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		if leader := h.remoteLeader(); leader != "" {
			h.peers.Connect(ctx, leader)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// remoteLeader names the leader if it is known and another controller.
func (h *heartbeatHandler) remoteLeader() string {
	if view := h.elector.View(); view.Leader != h.node {
		return view.Leader
	}
	return ""
}

// serve is the HTTP handler of heartbeats.
func (h *heartbeatHandler) serve(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	body, err := jobapi.ReadBody(w, request)
	if err != nil {
		jobapi.Write(w, errorResponse(http.StatusBadRequest, err.Error()))
		return
	}
	h.directHeartbeats.increment()
	response := h.handle(request.Context(), body)
	h.connections.requestCloseIfCrowded(w)
	jobapi.Write(w, response)
}

// handle responds to a heartbeat that a worker has sent here.
func (h *heartbeatHandler) handle(ctx context.Context, body []byte) jobapi.Response {
	if leader := h.remoteLeader(); leader != "" {
		return h.forward(ctx, leader, body)
	}
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		return h.rejectMalformed(err)
	}
	return h.respondAsLeader(ctx, heartbeat)
}

// forward has the leader respond to a heartbeat. The response is passed on as it is: a 200
// leaves this controller only as the leader's response from its term.
func (h *heartbeatHandler) forward(ctx context.Context, leader string, body []byte) jobapi.Response {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := h.peers.ForwardHeartbeat(ctx, leader, body)
	switch {
	case err == nil:
		return response
	case errors.Is(err, peers.ErrNoStream):
		return redirectTo(leader)
	}
	// The leader has it and is late. Any other controller will do as well.
	return redirectTo(anyController)
}

// respondAsLeader responds to a heartbeat if this controller leads, and else redirects the
// worker.
func (h *heartbeatHandler) respondAsLeader(ctx context.Context, heartbeat *wire.Heartbeat) jobapi.Response {
	view := h.elector.View()
	if !view.IsLeader(time.Now()) {
		return redirectTo(h.remoteLeader())
	}
	open := int(h.connections.open.Load())
	if target := h.redirector.target(ctx, heartbeat.Machine, open, h.dispatcher.ExpectedMachines()); target != "" {
		return redirectTo(target)
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := h.dispatcher.Heartbeat(ctx, heartbeat)
	return h.makeResponse(view.Term, reply, err)
}

// ReceiveForwarded responds to a heartbeat that another controller has forwarded here.
func (h *heartbeatHandler) ReceiveForwarded(ctx context.Context, body []byte, respond func(response func() jobapi.Response)) {
	heartbeat, err := wire.ParseHeartbeat(body)
	if err != nil {
		respond(func() jobapi.Response { return h.rejectMalformed(err) })
		return
	}
	h.forwardedHeartbeats.increment()
	view := h.elector.View()
	if !view.IsLeader(time.Now()) {
		respond(func() jobapi.Response { return redirectTo(h.remoteLeader()) })
		return
	}
	h.dispatcher.HeartbeatAsync(ctx, heartbeat, func(reply scheduler.HeartbeatReply, err error) {
		respond(func() jobapi.Response { return h.makeResponse(view.Term, reply, err) })
	})
}

// ForwarderConnected notes that another controller forwards heartbeats here, until ctx ends.
func (h *heartbeatHandler) ForwarderConnected(ctx context.Context, node string) {
	h.redirector.addForwarder(ctx, node)
}

// makeResponse makes the response to a worker of the dispatcher's reply, which may have waited. It is
// called right before the response is sent: past the term's end another leader may have begun, and
// a 200 would keep the worker here; a start may have been withdrawn. A response that another
// controller forwards reaches the worker a little later than that. It still renews the agent's
// lease only from when the heartbeat was sent, within our term.
func (h *heartbeatHandler) makeResponse(term uint64, reply scheduler.HeartbeatReply, err error) jobapi.Response {
	var response wire.HeartbeatResponse
	if err == nil {
		response, err = h.sendGuard.FilterResponse(term, reply)
	}
	switch {
	case err == nil:
		return jobapi.JSON(http.StatusOK, response)
	case errors.Is(err, dispatch.ErrNotLeader):
		return redirectTo(h.remoteLeader())
	}
	return errorResponse(http.StatusServiceUnavailable, "the leader is not ready")
}

// rejectMalformed responds to a body that is no heartbeat.
func (h *heartbeatHandler) rejectMalformed(err error) jobapi.Response {
	h.log.Info("malformed heartbeat", "error", err)
	return errorResponse(http.StatusBadRequest, err.Error())
}

// errorResponse makes an error response.
func errorResponse(status int, text string) jobapi.Response {
	return jobapi.JSON(status, wire.ErrorResponse{Error: text})
}

// anyController redirects a worker to any other controller.
const anyController = ""

// redirectTo makes a worker send its heartbeats to another controller.
func redirectTo(node string) jobapi.Response {
	return jobapi.JSON(http.StatusMisdirectedRequest, wire.Redirect{Leader: node})
}

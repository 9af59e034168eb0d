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

// heartbeatTimeout is how long a heartbeat may wait for its response. It must be shorter than the
// agent's own request timeout of 4 s.
const heartbeatTimeout = 3 * time.Second

// heartbeatDispatcher is the part of the dispatcher that handles heartbeats.
type heartbeatDispatcher interface {
	Heartbeat(ctx context.Context, heartbeat *wire.Heartbeat) (scheduler.HeartbeatReply, error)
	HeartbeatAsync(ctx context.Context, heartbeat *wire.Heartbeat, respond func(scheduler.HeartbeatReply, error))
	ExpectedMachines() int
}

// heartbeatForwarder forwards heartbeats to the leader. Connect opens the stream to it if there is
// none.
type heartbeatForwarder interface {
	ForwardHeartbeat(ctx context.Context, leader string, body []byte) (jobapi.Response, error)
	Connect(ctx context.Context, leader string)
}

// heartbeatHandler receives the agents' heartbeats. The leader responds to them during its term.
// Other controllers forward them to the leader and return its responses; if they can't, they
// redirect the agents.
type heartbeatHandler struct {
	controllerName      string
	elector             *election.Elector
	sendGuard           *dispatch.SendGuard
	dispatcher          heartbeatDispatcher
	peers               heartbeatForwarder
	log                 *slog.Logger
	connections         *connectionTracker
	redirector          *redirector
	directHeartbeats    *recentCounter // received from agents
	forwardedHeartbeats *recentCounter // received from other controllers
}

func newHeartbeatHandler(ctx context.Context, controllerName string, elector *election.Elector, dispatcher heartbeatDispatcher, peers heartbeatForwarder, connections *connectionTracker, log *slog.Logger) *heartbeatHandler {
	h := &heartbeatHandler{
		controllerName: controllerName, elector: elector, dispatcher: dispatcher, peers: peers, log: log, connections: connections,
		sendGuard: dispatch.NewSendGuard(elector, log), redirector: newRedirector(), directHeartbeats: newRecentCounter(), forwardedHeartbeats: newRecentCounter(),
	}
	go h.redirector.run(ctx)
	return h
}

// connectInterval is how often a controller that is not the leader checks its stream to the
// leader.
const connectInterval = time.Second

// keepConnected keeps the stream to the leader open until ctx ends: the leader redirects agents
// only to controllers that have a stream to it.
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

// remoteLeader returns the name of the leader, or "" if this controller is the leader or the
// leader is unknown.
func (h *heartbeatHandler) remoteLeader() string {
	if view := h.elector.View(); view.Leader != h.controllerName {
		return view.Leader
	}
	return ""
}

// serve is the HTTP handler for heartbeats.
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

// handle responds to a heartbeat that an agent has sent directly to this controller.
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

// forward forwards a heartbeat to the leader and returns the leader's response unchanged. So a 200
// is always the response of a leader in its term.
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
	// The leader has received the heartbeat but has not responded in time. Any other controller
	// will do as well.
	return redirectTo(anyController)
}

// respondAsLeader responds to a heartbeat if this controller is the leader; otherwise it redirects
// the agent.
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

// ReceiveForwarded responds to a heartbeat that another controller has forwarded to this one. It
// implements peers.HeartbeatReceiver.
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

// ForwarderConnected records that another controller forwards heartbeats to this one until ctx
// ends. It implements peers.HeartbeatReceiver.
func (h *heartbeatHandler) ForwarderConnected(ctx context.Context, controller string) {
	h.redirector.addForwarder(ctx, controller)
}

// makeResponse makes the response to an agent from the dispatcher's reply. It must be called right
// before the response is sent, because the reply may have waited: when the term has ended, another
// controller may lead and a 200 would keep the agent here; and a start command may have been
// withdrawn. A response that another controller passes on reaches the agent a little later. It
// still renews the agent's lease only from the time when the heartbeat was sent, which is within
// the term.
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

// rejectMalformed responds to a body that can't be parsed as a heartbeat.
func (h *heartbeatHandler) rejectMalformed(err error) jobapi.Response {
	h.log.Info("malformed heartbeat", "error", err)
	return errorResponse(http.StatusBadRequest, err.Error())
}

// errorResponse makes a response with an error text.
func errorResponse(status int, text string) jobapi.Response {
	return jobapi.JSON(status, wire.ErrorResponse{Error: text})
}

// anyController makes redirectTo name no controller: the agent chooses another one itself.
const anyController = ""

// redirectTo makes the response that tells an agent to send its heartbeats to another controller.
func redirectTo(controller string) jobapi.Response {
	return jobapi.JSON(http.StatusMisdirectedRequest, wire.Redirect{Leader: controller})
}

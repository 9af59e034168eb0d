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
	"leadproxy/internal/wire"
)

// reportLimit is how long a report may wait for its answer; the worker gives up
// after 4 s.
const reportLimit = 3 * time.Second

// reporter is the node's dispatcher as reports need it.
type reporter interface {
	Heartbeat(ctx context.Context, r *wire.Heartbeat) (*wire.HeartbeatResponse, error)
	HeartbeatAsync(ctx context.Context, r *wire.Heartbeat, give func(*wire.HeartbeatResponse, error))
	ExpectedMachines() int
}

// reportForwarder forwards reports to other nodes.
type reportForwarder interface {
	ForwardHeartbeat(ctx context.Context, node string, body []byte) (jobapi.Response, error)
	Connect(ctx context.Context, node string)
}

// reportHandler takes the workers' reports. The leader answers them in its term; other
// nodes forward them to the leader, and its answers back, and send the workers to
// it when they can't.
type reportHandler struct {
	node       string
	elector    *election.Elector
	dispatcher reporter
	peers      reportForwarder
	log        *slog.Logger
	socketUse  *socketUse
	balancer   *balancer
	heard      *tally // reports that have come straight here
	forwarded  *tally // reports that other nodes have forwarded here
}

func newReportHandler(ctx context.Context, node string, e *election.Elector, dispatcher reporter, peers reportForwarder, s *socketUse, log *slog.Logger) *reportHandler {
	h := &reportHandler{node: node, elector: e, dispatcher: dispatcher, peers: peers, log: log, socketUse: s, balancer: newBalancer(), heard: newTally(), forwarded: newTally()}
	go h.balancer.run(ctx)
	return h
}

// connectEvery is how often a node that does not lead sees to its stream to the
// leader.
const connectEvery = time.Second

// keepConnected keeps the stream to the leader open until ctx ends, so that the leader can
// send workers here.
func (h *reportHandler) keepConnected(ctx context.Context) {
	tick := time.NewTicker(connectEvery)
	defer tick.Stop()
	for {
		if leader := h.otherLeader(); leader != "" {
			h.peers.Connect(ctx, leader)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// otherLeader names the leader if it is known and another node.
func (h *reportHandler) otherLeader() string {
	if v := h.elector.View(); v.Leader != h.node {
		return v.Leader
	}
	return ""
}

func problem(status int, text string) jobapi.Response {
	return jobapi.JSON(status, wire.ErrorResponse{Error: text})
}

// sendTo has a worker report to another node; "": to any other.
func sendTo(node string) jobapi.Response {
	return jobapi.JSON(http.StatusMisdirectedRequest, wire.Redirect{Leader: node})
}

// malformed answers what is no report.
func (h *reportHandler) malformed(err error) jobapi.Response {
	h.log.Info("malformed report", "error", err)
	return problem(http.StatusBadRequest, err.Error())
}

// ReceiveForwarded answers a report that another node has forwarded here.
func (h *reportHandler) ReceiveForwarded(ctx context.Context, body []byte, give func(answer func() jobapi.Response)) {
	report, err := wire.ParseHeartbeat(body)
	if err != nil {
		give(func() jobapi.Response { return h.malformed(err) })
		return
	}
	h.forwarded.add()
	v := h.elector.View()
	if !v.IsLeader(time.Now()) {
		give(func() jobapi.Response { return sendTo(h.otherLeader()) })
		return
	}
	h.dispatcher.HeartbeatAsync(ctx, report, func(answer *wire.HeartbeatResponse, err error) {
		give(func() jobapi.Response { return h.answerTo(v.Term, answer, err) })
	})
}

// ForwarderConnected notes that another node forwards reports here, until ctx ends.
func (h *reportHandler) ForwarderConnected(ctx context.Context, node string) { h.balancer.join(ctx, node) }

// answer answers a report if this node leads, and else sends the worker
// elsewhere.
func (h *reportHandler) answer(ctx context.Context, report *wire.Heartbeat) jobapi.Response {
	v := h.elector.View()
	if !v.IsLeader(time.Now()) {
		return sendTo(h.otherLeader())
	}
	if to := h.balancer.pass(ctx, report.Machine, int(h.socketUse.open.Load()), h.dispatcher.ExpectedMachines()); to != "" {
		return sendTo(to)
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	answer, err := h.dispatcher.Heartbeat(ctx, report)
	return h.answerTo(v.Term, answer, err)
}

// answerTo is what the dispatcher's answer is to the worker. The term is looked at
// again as the answer is given: past its end another leader may have begun, and
// a 200 would keep the worker here. An answer that another node forwards is
// written a little later than that. It still renews the worker's lease only from
// when the report was sent, within our term.
func (h *reportHandler) answerTo(term uint64, answer *wire.HeartbeatResponse, err error) jobapi.Response {
	switch {
	case err == nil && h.elector.IsLeader(term):
		if len(answer.Commands) > 0 && h.log.Enabled(context.Background(), slog.LevelDebug) {
			h.log.Debug(dispatch.MessageLeaderAction, "leader_term", term, "action", "heartbeat response")
		}
		return jobapi.JSON(http.StatusOK, answer)
	case err != nil && !errors.Is(err, dispatch.ErrNotLeader):
		return problem(http.StatusServiceUnavailable, "the leader is not ready")
	}
	return sendTo(h.otherLeader())
}

func (h *reportHandler) serve(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	body, err := jobapi.ReadBody(w, req)
	if err != nil {
		jobapi.Write(w, problem(http.StatusBadRequest, err.Error()))
		return
	}
	h.heard.add()
	a := h.take(req.Context(), body)
	h.socketUse.yield(w)
	jobapi.Write(w, a)
}

// take answers a report that a worker has sent here.
func (h *reportHandler) take(ctx context.Context, body []byte) jobapi.Response {
	if leader := h.otherLeader(); leader != "" {
		return h.forward(ctx, leader, body)
	}
	report, err := wire.ParseHeartbeat(body)
	if err != nil {
		return h.malformed(err)
	}
	return h.answer(ctx, report)
}

// forward has the leader answer a report. What it says is passed on as it is: a
// 200 leaves this node only as the leader's answer from its term.
func (h *reportHandler) forward(ctx context.Context, leader string, body []byte) jobapi.Response {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	a, err := h.peers.ForwardHeartbeat(ctx, leader, body)
	switch {
	case err == nil:
		return a
	case errors.Is(err, peers.ErrNoStream):
		return sendTo(leader)
	}
	// The leader has it and is late. Any other node will do as well.
	return sendTo("")
}

package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/intake"
	"leadproxy/internal/peers"
	"leadproxy/internal/wire"
)

// reportLimit is how long a report may wait for its answer; the worker gives up
// after 4 s.
const reportLimit = 3 * time.Second

// reporter is the node's dispatcher as the gate sees it.
type reporter interface {
	Report(ctx context.Context, r *wire.Report) (*wire.ReportAnswer, error)
	Hand(ctx context.Context, r *wire.Report, give func(*wire.ReportAnswer, error))
	Machines() int
}

// carrier carries reports to other nodes.
type carrier interface {
	Report(ctx context.Context, node string, body []byte) (intake.Answer, error)
	Connect(ctx context.Context, node string)
}

// gate takes the workers' reports. The leader answers them in its term; other
// nodes carry them to the leader, and its answers back, and send the workers to
// it when they can't.
type gate struct {
	node      string
	elector   *election.Elector
	desk      reporter
	peers     carrier
	log       *slog.Logger
	socketUse *socketUse
	balancer  *balancer
	heard     *tally // reports that have come straight here
	carried   *tally // reports that other nodes have carried here
}

func newGate(ctx context.Context, node string, e *election.Elector, desk reporter, peers carrier, s *socketUse, log *slog.Logger) *gate {
	g := &gate{node: node, elector: e, desk: desk, peers: peers, log: log, socketUse: s, balancer: newBalancer(), heard: newTally(), carried: newTally()}
	go g.balancer.run(ctx)
	return g
}

// greetEvery is how often a node that does not lead sees to its line to the
// leader.
const greetEvery = time.Second

// greet keeps the line to the leader open until ctx ends, so that the leader can
// send workers here.
func (g *gate) greet(ctx context.Context) {
	tick := time.NewTicker(greetEvery)
	defer tick.Stop()
	for {
		if leader := g.elsewhereLeads(); leader != "" {
			g.peers.Connect(ctx, leader)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// elsewhereLeads names the leader if it is known and another node.
func (g *gate) elsewhereLeads() string {
	if v := g.elector.View(); v.Leader != g.node {
		return v.Leader
	}
	return ""
}

func problem(status int, text string) intake.Answer {
	return intake.JSON(status, wire.Problem{Error: text})
}

// sendTo has a worker report to another node; "": to any other.
func sendTo(node string) intake.Answer {
	return intake.JSON(http.StatusMisdirectedRequest, wire.Elsewhere{Leader: node})
}

// malformed answers what is no report.
func (g *gate) malformed(err error) intake.Answer {
	g.log.Info("malformed report", "error", err)
	return problem(http.StatusBadRequest, err.Error())
}

// Shared answers a report that another node has carried here.
func (g *gate) Shared(ctx context.Context, body []byte, give func(answer func() intake.Answer)) {
	report, err := wire.ParseReport(body)
	if err != nil {
		give(func() intake.Answer { return g.malformed(err) })
		return
	}
	g.carried.add()
	v := g.elector.View()
	if !v.InTerm(time.Now()) {
		give(func() intake.Answer { return sendTo(g.elsewhereLeads()) })
		return
	}
	g.desk.Hand(ctx, report, func(answer *wire.ReportAnswer, err error) {
		give(func() intake.Answer { return g.told(v.Term, answer, err) })
	})
}

// Connected notes that another node carries reports here, until ctx ends.
func (g *gate) Connected(ctx context.Context, node string) { g.balancer.join(ctx, node) }

// answer answers a report if this node leads, and else sends the worker
// elsewhere.
func (g *gate) answer(ctx context.Context, report *wire.Report) intake.Answer {
	v := g.elector.View()
	if !v.InTerm(time.Now()) {
		return sendTo(g.elsewhereLeads())
	}
	if to := g.balancer.pass(ctx, report.Machine, int(g.socketUse.open.Load()), g.desk.Machines()); to != "" {
		return sendTo(to)
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	answer, err := g.desk.Report(ctx, report)
	return g.told(v.Term, answer, err)
}

// told is what the dispatcher's answer is to the worker. The term is looked at
// again as the answer is given: past its end another leader may have begun, and
// a 200 would keep the worker here. An answer that another node carries is
// written a little later than that. It still renews the worker's lease only from
// when the report was sent, within our term.
func (g *gate) told(term uint64, answer *wire.ReportAnswer, err error) intake.Answer {
	switch {
	case err == nil && g.elector.InTerm(term):
		return intake.JSON(http.StatusOK, answer)
	case err != nil && !errors.Is(err, dispatch.ErrNotLeading):
		return problem(http.StatusServiceUnavailable, "the leader is not ready")
	}
	return sendTo(g.elsewhereLeads())
}

func (g *gate) serve(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	body, err := intake.ReadBody(w, req)
	if err != nil {
		intake.Write(w, problem(http.StatusBadRequest, err.Error()))
		return
	}
	g.heard.add()
	a := g.take(req.Context(), body)
	g.socketUse.yield(w)
	intake.Write(w, a)
}

// take answers a report that a worker has sent here.
func (g *gate) take(ctx context.Context, body []byte) intake.Answer {
	if leader := g.elsewhereLeads(); leader != "" {
		return g.carry(ctx, leader, body)
	}
	report, err := wire.ParseReport(body)
	if err != nil {
		return g.malformed(err)
	}
	return g.answer(ctx, report)
}

// carry has the leader answer a report. What it says is passed on as it is: a
// 200 leaves this node only as the leader's answer from its term.
func (g *gate) carry(ctx context.Context, leader string, body []byte) intake.Answer {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	a, err := g.peers.Report(ctx, leader, body)
	switch {
	case err == nil:
		return a
	case errors.Is(err, peers.ErrNoStream):
		return sendTo(leader)
	}
	// The leader has it and is late. Any other node will do as well.
	return sendTo("")
}

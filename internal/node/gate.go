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
	"leadproxy/internal/wire"
)

// reportLimit is how long a report may wait for its answer; the worker gives up
// after 4 s. A relayed report must leave time for both ways.
const (
	reportLimit = 3 * time.Second
	relayLimit  = 2 * time.Second
)

// reporter is the node's dispatcher as the gate sees it.
type reporter interface {
	Report(ctx context.Context, r *wire.Report) (*wire.ReportAnswer, error)
}

// relay passes reports on to another node.
type relay interface {
	Report(ctx context.Context, node string, body []byte) (intake.Answer, error)
}

// gate takes the workers' reports. The leader answers them in its term; other
// nodes send workers to the leader, and relay the reports of those that come
// back because they can't reach it.
type gate struct {
	node    string
	elector *election.Elector
	desk    reporter
	peers   relay
	log     *slog.Logger
	visits  chan visit
	seats   seats
	heard   *tally // reports that have come straight here
}

// visit asks whether a worker that comes to a node that does not lead is to be
// relayed.
type visit struct {
	machine string
	leader  string
	relay   chan bool
}

func newGate(ctx context.Context, node string, e *election.Elector, desk reporter, peers relay, crowded int, log *slog.Logger) *gate {
	g := &gate{node: node, elector: e, desk: desk, peers: peers, log: log, visits: make(chan visit), heard: newTally()}
	g.seats.crowded = int64(crowded)
	go keepVisitors(ctx, g.visits, log)
	return g
}

// The times of relaying: a worker that comes back within comeBack of being sent
// to the leader is relayed, and sent there again after relayFor, since the
// network may have mended.
const (
	comeBack = 20 * time.Second
	relayFor = 45 * time.Second
	visitors = 4096 // how many workers are remembered at most
)

// keepVisitors owns the memory of who was sent away.
func keepVisitors(ctx context.Context, visits <-chan visit, log *slog.Logger) {
	type memory struct {
		leader  string
		sent    time.Time // when last sent to the leader
		seen    time.Time
		relayed bool
	}
	known := map[string]*memory{}
	for {
		select {
		case v := <-visits:
			at := time.Now()
			m := known[v.machine]
			if m == nil {
				if len(known) >= visitors {
					clear(known)
				}
				m = &memory{}
				known[v.machine] = m
			}
			back := m.leader == v.leader && at.Sub(m.seen) < comeBack
			m.seen = at
			if back && at.Sub(m.sent) < relayFor {
				if !m.relayed {
					log.Info("relaying the reports of a worker that can't reach the leader", "machine", v.machine, "leader", v.leader)
				}
				m.relayed = true
				v.relay <- true
				continue
			}
			m.leader, m.sent, m.relayed = v.leader, at, false
			v.relay <- false
		case <-ctx.Done():
			return
		}
	}
}

func (g *gate) mayRelay(ctx context.Context, machine, leader string) bool {
	v := visit{machine: machine, leader: leader, relay: make(chan bool, 1)}
	select {
	case g.visits <- v:
		return <-v.relay
	case <-ctx.Done():
		return false
	}
}

func problem(status int, text string) intake.Answer {
	return intake.JSON(status, wire.Problem{Error: text})
}

// elsewhere sends a worker to the leader, if it is known and another node.
func (g *gate) elsewhere() intake.Answer {
	hint := wire.Elsewhere{}
	if v := g.elector.View(); v.Leader != g.node {
		hint.Leader = v.Leader
	}
	return intake.JSON(http.StatusMisdirectedRequest, hint)
}

// malformed answers what is no report.
func (g *gate) malformed(err error) intake.Answer {
	g.log.Info("malformed report", "error", err)
	return problem(http.StatusBadRequest, err.Error())
}

// relayedHere answers a report that another node has passed on.
func (g *gate) relayedHere(ctx context.Context, body []byte) intake.Answer {
	report, err := wire.ParseReport(body)
	if err != nil {
		return g.malformed(err)
	}
	return g.answer(ctx, report)
}

// answer answers a report if this node leads, and else sends it elsewhere.
func (g *gate) answer(ctx context.Context, report *wire.Report) intake.Answer {
	v := g.elector.View()
	if !v.InTerm(time.Now()) {
		return g.elsewhere()
	}
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	answer, err := g.desk.Report(ctx, report)
	// The term is checked again as the answer is given: past its end another
	// leader may have begun, and a 200 would keep the worker here. A relayed
	// answer may be written a little later than that. It still renews the
	// worker's lease only from when the report was sent, within our term.
	switch {
	case err == nil && g.elector.InTerm(v.Term):
		return intake.JSON(http.StatusOK, answer)
	case err != nil && !errors.Is(err, dispatch.ErrNotLeading):
		return problem(http.StatusServiceUnavailable, "the leader is not ready")
	}
	return g.elsewhere()
}

func (g *gate) serve(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	body, err := intake.ReadBody(w, req)
	if err != nil {
		intake.Write(w, problem(http.StatusBadRequest, err.Error()))
		return
	}
	report, err := wire.ParseReport(body)
	if err != nil {
		intake.Write(w, g.malformed(err))
		return
	}
	g.heard.add()
	a := g.answer(req.Context(), report)
	if leader := g.elector.View().Leader; a.Status == http.StatusMisdirectedRequest && leader != "" && leader != g.node {
		a = g.relayed(req.Context(), leader, report.Machine, body, a)
	}
	g.seats.yield(w)
	intake.Write(w, a)
}

// relayed has the leader answer the report of a worker that was sent to it and
// came back.
func (g *gate) relayed(ctx context.Context, leader, machine string, body []byte, otherwise intake.Answer) intake.Answer {
	if !g.mayRelay(ctx, machine, leader) {
		return otherwise
	}
	ctx, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	if a, err := g.peers.Report(ctx, leader, body); err == nil && a.Status == http.StatusOK {
		return a
	}
	return intake.JSON(http.StatusMisdirectedRequest, wire.Elsewhere{})
}

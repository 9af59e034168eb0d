// Package leadertransfer lets operators see the state of the controllers' standbys and transfer
// the leadership to one of them on purpose.
package leadertransfer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/election"
	"leadproxy/internal/leadertransfer/handoverpb"
	"leadproxy/internal/rpc"
	"leadproxy/internal/settings"
	"leadproxy/internal/softstate"
	"leadproxy/internal/standby"
	"leadproxy/internal/transport"
)

const (
	callLimit = 2 * time.Second
	// asideFor is how long the others let the chosen controller stand first.
	asideFor = 1500 * time.Millisecond
	// newest is how long ago the service may last have answered a standby that is to
	// lead: a quiet watch is answered when its wait is over.
	newest = 20 * time.Second
)

// Server answers operators and the other controllers.
type Server struct {
	handoverpb.UnimplementedHandoverServer
	platform *settings.Platform
	net      transport.Network
	elector  *election.Elector
	standby  *standby.Follower   // nil: this node does not follow
	hints    *softstate.Follower // nil: this node follows no hints
	log      *slog.Logger
}

// NewServer makes a server for a controller.
func NewServer(n transport.Network, p *settings.Platform, e *election.Elector, s *standby.Follower, h *softstate.Follower, log *slog.Logger) *Server {
	return &Server{platform: p, net: n, elector: e, standby: s, hints: h, log: log}
}

// Status tells how this controller stands.
func (s *Server) Status(context.Context, *handoverpb.StatusRequest) (*handoverpb.StatusReply, error) {
	v := s.elector.View()
	reply := &handoverpb.StatusReply{Node: s.platform.Node, Leader: v.Leader}
	if v.IsLeader(time.Now()) {
		reply.Term = v.Term
	}
	if s.hints != nil {
		h := s.hints.Status()
		reply.HintsTerm, reply.HintsMachines = h.Term, int64(h.Machines)
		if h.Term > 0 {
			reply.HintsMs = time.Since(h.LastBatch).Milliseconds()
		}
	}
	if s.standby == nil {
		return reply, nil
	}
	st := s.standby.Status()
	reply.Follows, reply.State, reply.Why = true, st.State.String(), st.Why
	reply.Revision, reply.Keys, reply.Bytes = st.Revision, int64(st.Keys), int64(st.Bytes)
	if !st.Heard.IsZero() {
		reply.HeardMs = time.Since(st.Heard).Milliseconds()
	}
	return reply, nil
}

// watchEvery is how often a leader looks whether some standby is complete.
const watchEvery = 10 * time.Second

// Run has the leader log when no standby is complete, and when one is again, until ctx
// ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	term, lacking := uint64(0), false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		v := s.elector.View()
		if !v.IsLeader(time.Now()) {
			continue
		}
		if v.Term != term {
			term, lacking = v.Term, false
		}
		_, err := choose(s.askOthers(ctx), "")
		if lack := err != nil; lack != lacking && ctx.Err() == nil {
			lacking = lack
			if lack {
				s.log.Warn("no standby is complete: a takeover would read everything anew", "term", term, "why", err)
			} else {
				s.log.Info("a standby is complete again", "term", term)
			}
		}
	}
}

// StandAside lets another controller be elected, or has this one stand first.
func (s *Server) StandAside(_ context.Context, r *handoverpb.StandAsideRequest) (*handoverpb.StandAsideReply, error) {
	wait := time.Duration(r.ForMs) * time.Millisecond
	if wait < 0 || wait > 2*asideFor {
		return nil, status.Errorf(codes.InvalidArgument, "standing aside for %s", wait)
	}
	if r.First {
		s.elector.CampaignNow(wait)
	} else {
		s.elector.YieldCandidacy(wait)
	}
	return &handoverpb.StandAsideReply{}, nil
}

// HandOver gives this controller's term to another one whose copy is complete.
func (s *Server) HandOver(ctx context.Context, r *handoverpb.HandOverRequest) (*handoverpb.HandOverReply, error) {
	v := s.elector.View()
	if !v.IsLeader(time.Now()) {
		return nil, status.Errorf(codes.Unavailable, "this controller does not lead, %q does", v.Leader)
	}
	chosen, err := choose(s.askOthers(ctx), r.To)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	for _, p := range s.platform.Peers {
		s.sendTurn(ctx, p, p.Node == chosen)
	}
	s.log.Info("handing the leadership over", "term", v.Term, "to", chosen)
	s.elector.Resign(v.Term)
	return &handoverpb.HandOverReply{To: chosen, Term: v.Term}, nil
}

// sendTurn has a controller stand aside, or first. One that can't be asked may be elected.
func (s *Server) sendTurn(ctx context.Context, p settings.Peer, first bool) {
	err := call(ctx, s.net, p.Addr, func(ctx context.Context, c handoverpb.HandoverClient) error {
		_, err := c.StandAside(ctx, &handoverpb.StandAsideRequest{ForMs: asideFor.Milliseconds(), First: first})
		return err
	})
	if err != nil {
		s.log.Info("a controller was not asked to stand aside", "node", p.Node, "error", err)
	}
}

// askOthers asks the other controllers how they stand; those that do not answer are left
// out.
func (s *Server) askOthers(ctx context.Context) []*handoverpb.StatusReply {
	var all []*handoverpb.StatusReply
	for _, p := range s.platform.Peers {
		if st, err := fetchStatus(ctx, s.net, p.Addr); err == nil {
			all = append(all, st)
		}
	}
	return all
}

// ErrNoStandby means that no controller can take over with a complete copy.
var ErrNoStandby = errors.New("no standby is complete")

// choose names the controller that is to lead: the one that is asked for, or the one with
// the newest copy.
func choose(all []*handoverpb.StatusReply, to string) (string, error) {
	slices.SortStableFunc(all, func(a, b *handoverpb.StatusReply) int { return cmp.Compare(b.Revision, a.Revision) })
	var reasons []string
	known := to == ""
	for _, st := range all {
		if to != "" && st.Node != to {
			continue
		}
		known = true
		why := unfit(st)
		if why == "" {
			return st.Node, nil
		}
		reasons = append(reasons, st.Node+" "+why)
	}
	if !known {
		return "", fmt.Errorf("%w: %q is not another controller that answers", ErrNoStandby, to)
	}
	return "", fmt.Errorf("%w: %s", ErrNoStandby, cmp.Or(strings.Join(reasons, ", "), "no other controller answers"))
}

// unfit tells why a controller can't take over with a complete copy; "": it can.
func unfit(st *handoverpb.StatusReply) string {
	switch {
	case !st.Follows:
		return "does not follow"
	case st.State != standby.Following.String():
		return "is " + st.State
	case time.Duration(st.HeardMs)*time.Millisecond > newest:
		return fmt.Sprintf("has not heard the state service for %d s", st.HeardMs/1000)
	}
	return ""
}

// call makes one call to a controller.
func call(ctx context.Context, n transport.Network, addr string, do func(ctx context.Context, c handoverpb.HandoverClient) error) error {
	return rpc.Call(ctx, n, addr, callLimit, func(ctx context.Context, conn *grpc.ClientConn) error {
		return do(ctx, handoverpb.NewHandoverClient(conn))
	})
}

func fetchStatus(ctx context.Context, n transport.Network, addr string) (st *handoverpb.StatusReply, err error) {
	err = call(ctx, n, addr, func(ctx context.Context, c handoverpb.HandoverClient) error {
		st, err = c.Status(ctx, &handoverpb.StatusRequest{})
		return err
	})
	return st, err
}

// controllers are all of a deployment, in the order of their names.
func controllers(p *settings.Platform) []settings.Peer {
	all := p.Controllers()
	slices.SortFunc(all, func(a, b settings.Peer) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// WriteStatus asks all controllers of a deployment how they stand and writes a table. Who
// could not take over with a complete copy is named.
func WriteStatus(ctx context.Context, out io.Writer, n transport.Network, p *settings.Platform) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tROLE\tSTANDBY\tREVISION\tLAG\tKEYS\tMB\tHEARD\tHINTS\tWHY")
	var all []*handoverpb.StatusReply
	newestRevision := uint64(0)
	for _, c := range controllers(p) {
		st, err := fetchStatus(ctx, n, c.Addr)
		if err != nil {
			st = &handoverpb.StatusReply{Node: c.Node, State: "no answer", Why: err.Error()}
		}
		newestRevision = max(newestRevision, st.Revision)
		all = append(all, st)
	}
	complete := false
	for _, st := range all {
		role := "standby"
		if st.Term > 0 {
			role = fmt.Sprintf("leads term %d", st.Term)
		}
		lag := "-"
		if st.Revision > 0 {
			lag = fmt.Sprint(newestRevision - st.Revision)
		}
		complete = complete || st.Term == 0 && unfit(st) == ""
		heard := (time.Duration(st.HeardMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%.1f\t%s ago\t%s\t%s\n", st.Node, role, cmp.Or(st.State, "off"), st.Revision, lag, st.Keys, float64(st.Bytes)/(1<<20), heard, hintsText(st), st.Why)
	}
	if !complete {
		fmt.Fprintln(w, "\nno standby is complete: a takeover reads everything anew")
	}
	return w.Flush()
}

// hintsText tells which hints a controller has.
func hintsText(st *handoverpb.StatusReply) string {
	if st.HintsTerm == 0 {
		return "-"
	}
	return fmt.Sprintf("%d machines of term %d", st.HintsMachines, st.HintsTerm)
}

// Request has the leader hand over to a controller, or to the one whose copy is the newest.
func Request(ctx context.Context, n transport.Network, p *settings.Platform, to string) (*handoverpb.HandOverReply, error) {
	var reply *handoverpb.HandOverReply
	err := rpc.CallLeader(ctx, n, controllers(p), callLimit, func(ctx context.Context, conn *grpc.ClientConn) error {
		var err error
		reply, err = handoverpb.NewHandoverClient(conn).HandOver(ctx, &handoverpb.HandOverRequest{To: to})
		return err
	})
	return reply, err
}

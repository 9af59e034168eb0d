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

// The timeouts of a transfer.
const (
	// callTimeout bounds one call to a controller.
	callTimeout = 2 * time.Second
	// yieldDuration is for how long the other controllers yield their candidacy to the successor.
	yieldDuration = 1500 * time.Millisecond
	// maxReplicaAge bounds how long ago the store may have responded last to the standby of
	// the successor. A watch without a change is answered only when its wait is over.
	maxReplicaAge = 20 * time.Second
)

// Server serves the requests of operators and of the other controllers.
type Server struct {
	handoverpb.UnimplementedHandoverServer
	platform  *settings.Platform
	network   transport.Network
	elector   *election.Elector
	standby   *standby.Follower   // nil: this controller has no standby
	softState *softstate.Follower // nil: this controller replicates no soft state
	log       *slog.Logger
}

// NewServer makes a server for a controller.
func NewServer(n transport.Network, p *settings.Platform, e *election.Elector, s *standby.Follower, h *softstate.Follower, log *slog.Logger) *Server {
	return &Server{platform: p, network: n, elector: e, standby: s, softState: h, log: log}
}

// Status returns the role of this controller and the state of its standby.
func (s *Server) Status(context.Context, *handoverpb.StatusRequest) (*handoverpb.StatusReply, error) {
	v := s.elector.View()
	reply := &handoverpb.StatusReply{Node: s.platform.Name, Leader: v.Leader}
	if v.IsLeader(time.Now()) {
		reply.Term = v.Term
	}
	if s.softState != nil {
		h := s.softState.Status()
		reply.HintsTerm, reply.HintsMachines = h.Term, int64(h.Machines)
		if h.Term > 0 {
			reply.HintsMs = time.Since(h.LastBatch).Milliseconds()
		}
	}
	if s.standby == nil {
		return reply, nil
	}
	st := s.standby.Status()
	reply.Follows, reply.State, reply.Why = true, st.State.String(), st.Reason
	reply.Revision, reply.Keys, reply.Bytes = st.Revision, int64(st.Keys), int64(st.Bytes)
	if !st.LastResponse.IsZero() {
		reply.HeardMs = time.Since(st.LastResponse).Milliseconds()
	}
	return reply, nil
}

// standbyCheckInterval is how often the leader checks whether a standby is complete.
const standbyCheckInterval = 10 * time.Second

// Run logs, while this controller is the leader, when no standby is complete and when one is
// again, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	tick := time.NewTicker(standbyCheckInterval)
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
		_, err := chooseSuccessor(s.peerStatuses(ctx), "")
		if lack := err != nil; lack != lacking && ctx.Err() == nil {
			lacking = lack
			if lack {
				s.log.Warn("no standby is complete: a failover would read the whole ledger", "leader_term", term, "error", err)
			} else {
				s.log.Info("a standby is complete again", "leader_term", term)
			}
		}
	}
}

// StandAside makes this controller yield its candidacy for a while, or campaign at once.
func (s *Server) StandAside(_ context.Context, r *handoverpb.StandAsideRequest) (*handoverpb.StandAsideReply, error) {
	wait := time.Duration(r.ForMs) * time.Millisecond
	if wait < 0 || wait > 2*yieldDuration {
		return nil, status.Errorf(codes.InvalidArgument, "yielding the candidacy for %s", wait)
	}
	if r.First {
		s.elector.CampaignNow(wait)
	} else {
		s.elector.YieldCandidacy(wait)
	}
	return &handoverpb.StandAsideReply{}, nil
}

// HandOver transfers the leadership from this controller to one whose standby is complete.
func (s *Server) HandOver(ctx context.Context, r *handoverpb.HandOverRequest) (*handoverpb.HandOverReply, error) {
	v := s.elector.View()
	if !v.IsLeader(time.Now()) {
		return nil, status.Errorf(codes.Unavailable, "this controller is not the leader, %q is", v.Leader)
	}
	successor, err := chooseSuccessor(s.peerStatuses(ctx), r.To)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	for _, p := range s.platform.Peers {
		s.requestCandidacy(ctx, p, p.Name == successor)
	}
	s.log.Info("transferring the leadership", "leader_term", v.Term, "successor", successor)
	s.elector.Resign(v.Term)
	return &handoverpb.HandOverReply{To: successor, Term: v.Term}, nil
}

// requestCandidacy asks a controller to campaign at once, or to yield its candidacy. One that
// can't be reached may be elected.
func (s *Server) requestCandidacy(ctx context.Context, p settings.Peer, first bool) {
	err := callController(ctx, s.network, p.Addr, func(ctx context.Context, c handoverpb.HandoverClient) error {
		_, err := c.StandAside(ctx, &handoverpb.StandAsideRequest{ForMs: yieldDuration.Milliseconds(), First: first})
		return err
	})
	if err != nil {
		s.log.Info("candidacy request failed", "controller", p.Name, "error", err)
	}
}

// peerStatuses returns the status of the other controllers, without those that do not respond.
func (s *Server) peerStatuses(ctx context.Context) []*handoverpb.StatusReply {
	var all []*handoverpb.StatusReply
	for _, p := range s.platform.Peers {
		if st, err := fetchStatus(ctx, s.network, p.Addr); err == nil {
			all = append(all, st)
		}
	}
	return all
}

// ErrNoStandby means that no other controller has a complete standby.
var ErrNoStandby = errors.New("no standby is complete")

// chooseSuccessor returns the name of the requested controller, or without a request of the one
// whose standby has the newest revision.
func chooseSuccessor(all []*handoverpb.StatusReply, to string) (string, error) {
	slices.SortStableFunc(all, func(a, b *handoverpb.StatusReply) int { return cmp.Compare(b.Revision, a.Revision) })
	var reasons []string
	found := to == ""
	for _, st := range all {
		if to != "" && st.Node != to {
			continue
		}
		found = true
		reason := ineligibleReason(st)
		if reason == "" {
			return st.Node, nil
		}
		reasons = append(reasons, st.Node+" "+reason)
	}
	if !found {
		return "", fmt.Errorf("%w: %q is not another controller that responds", ErrNoStandby, to)
	}
	return "", fmt.Errorf("%w: %s", ErrNoStandby, cmp.Or(strings.Join(reasons, ", "), "no other controller responds"))
}

// ineligibleReason returns why a controller has no complete standby; "": it has one.
func ineligibleReason(st *handoverpb.StatusReply) string {
	switch {
	case !st.Follows:
		return "has no standby"
	case st.State != standby.Following.String():
		return "is " + st.State
	case time.Duration(st.HeardMs)*time.Millisecond > maxReplicaAge:
		return fmt.Sprintf("had no response of the store for %d s", st.HeardMs/1000)
	}
	return ""
}

// callController makes one call to a controller.
func callController(ctx context.Context, n transport.Network, addr string, do func(ctx context.Context, c handoverpb.HandoverClient) error) error {
	return rpc.Call(ctx, n, addr, callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		return do(ctx, handoverpb.NewHandoverClient(conn))
	})
}

// fetchStatus returns the status of a controller.
func fetchStatus(ctx context.Context, n transport.Network, addr string) (st *handoverpb.StatusReply, err error) {
	err = callController(ctx, n, addr, func(ctx context.Context, c handoverpb.HandoverClient) error {
		st, err = c.Status(ctx, &handoverpb.StatusRequest{})
		return err
	})
	return st, err
}

// sortedControllers returns all controllers of a deployment in the order of their names.
func sortedControllers(p *settings.Platform) []settings.Peer {
	all := p.Controllers()
	slices.SortFunc(all, func(a, b settings.Peer) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// WriteStatus writes a table of all controllers of a deployment with the state of their standbys,
// and a line if none of them is complete.
func WriteStatus(ctx context.Context, out io.Writer, n transport.Network, p *settings.Platform) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tROLE\tSTANDBY\tREVISION\tLAG\tKEYS\tMB\tHEARD\tHINTS\tWHY")
	var all []*handoverpb.StatusReply
	newestRevision := uint64(0)
	for _, c := range sortedControllers(p) {
		st, err := fetchStatus(ctx, n, c.Addr)
		if err != nil {
			st = &handoverpb.StatusReply{Node: c.Name, State: "no answer", Why: err.Error()}
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
		complete = complete || st.Term == 0 && ineligibleReason(st) == ""
		heard := (time.Duration(st.HeardMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%.1f\t%s ago\t%s\t%s\n", st.Node, role, cmp.Or(st.State, "off"), st.Revision, lag, st.Keys, float64(st.Bytes)/(1<<20), heard, softStateText(st), st.Why)
	}
	if !complete {
		fmt.Fprintln(w, "\nno standby is complete: a failover reads the whole ledger")
	}
	return w.Flush()
}

// softStateText describes the soft state that a controller has.
func softStateText(st *handoverpb.StatusReply) string {
	if st.HintsTerm == 0 {
		return "-"
	}
	return fmt.Sprintf("%d machines of term %d", st.HintsMachines, st.HintsTerm)
}

// RequestTransfer has the leader transfer the leadership to a controller, or to the one whose
// standby has the newest revision.
func RequestTransfer(ctx context.Context, n transport.Network, p *settings.Platform, to string) (*handoverpb.HandOverReply, error) {
	var reply *handoverpb.HandOverReply
	err := rpc.CallLeader(ctx, n, sortedControllers(p), callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		var err error
		reply, err = handoverpb.NewHandoverClient(conn).HandOver(ctx, &handoverpb.HandOverRequest{To: to})
		return err
	})
	return reply, err
}

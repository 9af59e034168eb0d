// Package leadertransfer reports the state of the controllers' standbys to operators, and transfers
// the leadership to one of them on request.
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

// The timeouts and durations of a transfer.
const (
	// callTimeout bounds one call to a controller.
	callTimeout = 2 * time.Second
	// yieldDuration is for how long the other controllers yield their candidacy to the successor.
	yieldDuration = 1500 * time.Millisecond
	// maxReplicaAge bounds how long ago the store may have last responded to the standby of the
	// successor. The response to a watch without a change arrives only at the end of its wait.
	maxReplicaAge = 20 * time.Second
)

// Server implements the gRPC service for operators and for the other controllers.
type Server struct {
	handoverpb.UnimplementedHandoverServer
	platform  *settings.Platform
	network   transport.Network
	elector   *election.Elector
	standby   *standby.Follower   // nil: this controller has no standby
	softState *softstate.Follower // nil: this controller replicates no soft state
	log       *slog.Logger
}

// NewServer returns the server of a controller. standbyFollower and softStateFollower may be nil.
func NewServer(network transport.Network, platform *settings.Platform, elector *election.Elector, standbyFollower *standby.Follower, softStateFollower *softstate.Follower, log *slog.Logger) *Server {
	return &Server{platform: platform, network: network, elector: elector, standby: standbyFollower, softState: softStateFollower, log: log}
}

// Status returns the role of this controller and the state of its standby.
func (s *Server) Status(context.Context, *handoverpb.StatusRequest) (*handoverpb.StatusReply, error) {
	view := s.elector.View()
	reply := &handoverpb.StatusReply{Node: s.platform.Name, Leader: view.Leader}
	if view.IsLeader(time.Now()) {
		reply.Term = view.Term
	}
	if s.softState != nil {
		softStateStatus := s.softState.Status()
		reply.HintsTerm, reply.HintsMachines = softStateStatus.Term, int64(softStateStatus.Machines)
		if softStateStatus.Term > 0 {
			reply.HintsMs = time.Since(softStateStatus.LastBatch).Milliseconds()
		}
	}
	if s.standby == nil {
		return reply, nil
	}
	standbyStatus := s.standby.Status()
	reply.Follows, reply.State, reply.Why = true, standbyStatus.State.String(), standbyStatus.Reason
	reply.Revision, reply.Keys, reply.Bytes = standbyStatus.Revision, int64(standbyStatus.Keys), int64(standbyStatus.Bytes)
	if !standbyStatus.LastResponse.IsZero() {
		reply.HeardMs = time.Since(standbyStatus.LastResponse).Milliseconds()
	}
	return reply, nil
}

// standbyCheckInterval is how often the leader checks whether a standby is complete.
const standbyCheckInterval = 10 * time.Second

// Run checks the standbys while this controller is the leader, until ctx ends. It logs when no standby
// is complete, and when one is complete again.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(standbyCheckInterval)
	defer ticker.Stop()
	term, loggedNoStandby := uint64(0), false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		view := s.elector.View()
		if !view.IsLeader(time.Now()) {
			continue
		}
		if view.Term != term {
			term, loggedNoStandby = view.Term, false
		}
		_, err := chooseSuccessor(s.peerStatuses(ctx), "")
		if noStandby := err != nil; noStandby != loggedNoStandby && ctx.Err() == nil {
			loggedNoStandby = noStandby
			if noStandby {
				s.log.Warn("no standby is complete: a failover would read the whole ledger", "leader_term", term, "error", err)
			} else {
				s.log.Info("a standby is complete again", "leader_term", term)
			}
		}
	}
}

// StandAside makes this controller yield its candidacy, or campaign without yielding, for a duration of
// 2*yieldDuration at most.
func (s *Server) StandAside(_ context.Context, request *handoverpb.StandAsideRequest) (*handoverpb.StandAsideReply, error) {
	duration := time.Duration(request.ForMs) * time.Millisecond
	if duration < 0 || duration > 2*yieldDuration {
		return nil, status.Errorf(codes.InvalidArgument, "yielding the candidacy for %s", duration)
	}
	if request.First {
		s.elector.CampaignNow(duration)
	} else {
		s.elector.YieldCandidacy(duration)
	}
	return &handoverpb.StandAsideReply{}, nil
}

// HandOver transfers the leadership from this controller to one whose standby is complete.
func (s *Server) HandOver(ctx context.Context, request *handoverpb.HandOverRequest) (*handoverpb.HandOverReply, error) {
	view := s.elector.View()
	if !view.IsLeader(time.Now()) {
		return nil, status.Errorf(codes.Unavailable, "this controller is not the leader, %q is", view.Leader)
	}
	successor, err := chooseSuccessor(s.peerStatuses(ctx), request.To)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	for _, peer := range s.platform.Peers {
		s.requestCandidacy(ctx, peer, peer.Name == successor)
	}
	s.log.Info("transferring the leadership", "leader_term", view.Term, "successor", successor)
	s.elector.Resign(view.Term)
	return &handoverpb.HandOverReply{To: successor, Term: view.Term}, nil
}

// requestCandidacy requests that a controller campaign without yielding (first), or yield its
// candidacy. A failure is only logged: the controller may then be elected instead of the successor.
func (s *Server) requestCandidacy(ctx context.Context, peer settings.Peer, first bool) {
	err := callController(ctx, s.network, peer.Addr, func(ctx context.Context, client handoverpb.HandoverClient) error {
		_, err := client.StandAside(ctx, &handoverpb.StandAsideRequest{ForMs: yieldDuration.Milliseconds(), First: first})
		return err
	})
	if err != nil {
		s.log.Info("candidacy request failed", "controller", peer.Name, "error", err)
	}
}

// peerStatuses returns the statuses of the other controllers that respond.
func (s *Server) peerStatuses(ctx context.Context) []*handoverpb.StatusReply {
	var all []*handoverpb.StatusReply
	for _, peer := range s.platform.Peers {
		if peerStatus, err := fetchStatus(ctx, s.network, peer.Addr); err == nil {
			all = append(all, peerStatus)
		}
	}
	return all
}

// ErrNoStandby means that no other controller has a complete standby.
var ErrNoStandby = errors.New("no standby is complete")

// chooseSuccessor returns the name of the requested controller or, if requested is empty, of the one
// whose complete standby has the newest revision. It returns ErrNoStandby if there is none, or if the
// requested controller does not respond or has no complete standby.
func chooseSuccessor(candidates []*handoverpb.StatusReply, requested string) (string, error) {
	slices.SortStableFunc(candidates, func(a, b *handoverpb.StatusReply) int { return cmp.Compare(b.Revision, a.Revision) })
	var reasons []string
	found := requested == ""
	for _, candidate := range candidates {
		if requested != "" && candidate.Node != requested {
			continue
		}
		found = true
		reason := ineligibleReason(candidate)
		if reason == "" {
			return candidate.Node, nil
		}
		reasons = append(reasons, candidate.Node+" "+reason)
	}
	if !found {
		return "", fmt.Errorf("%w: %q is not another controller that responds", ErrNoStandby, requested)
	}
	return "", fmt.Errorf("%w: %s", ErrNoStandby, cmp.Or(strings.Join(reasons, ", "), "no other controller responds"))
}

// ineligibleReason returns the reason why a controller has no complete standby; "": it has one.
func ineligibleReason(candidate *handoverpb.StatusReply) string {
	switch {
	case !candidate.Follows:
		return "has no standby"
	case candidate.State != standby.Following.String():
		return "is " + candidate.State
	case time.Duration(candidate.HeardMs)*time.Millisecond > maxReplicaAge:
		return fmt.Sprintf("had no response of the store for %d s", candidate.HeardMs/1000)
	}
	return ""
}

// callController makes one call to a controller, bounded by callTimeout.
func callController(ctx context.Context, network transport.Network, addr string, do func(ctx context.Context, client handoverpb.HandoverClient) error) error {
	return rpc.Call(ctx, network, addr, callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		return do(ctx, handoverpb.NewHandoverClient(conn))
	})
}

// fetchStatus returns the status of a controller.
func fetchStatus(ctx context.Context, network transport.Network, addr string) (reply *handoverpb.StatusReply, err error) {
	err = callController(ctx, network, addr, func(ctx context.Context, client handoverpb.HandoverClient) error {
		reply, err = client.Status(ctx, &handoverpb.StatusRequest{})
		return err
	})
	return reply, err
}

// sortedControllers returns all controllers of a deployment, sorted by name.
func sortedControllers(platform *settings.Platform) []settings.Peer {
	all := platform.Controllers()
	slices.SortFunc(all, func(a, b settings.Peer) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// WriteStatus writes a table of all controllers of a deployment with the state of their standbys, and
// a line if no standby is complete.
func WriteStatus(ctx context.Context, out io.Writer, network transport.Network, platform *settings.Platform) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTROLLER\tROLE\tSTANDBY\tREVISION\tLAG\tKEYS\tMB\tHEARD\tHINTS\tWHY")
	var replies []*handoverpb.StatusReply
	newestRevision := uint64(0)
	for _, controller := range sortedControllers(platform) {
		reply, err := fetchStatus(ctx, network, controller.Addr)
		if err != nil {
			reply = &handoverpb.StatusReply{Node: controller.Name, State: "no answer", Why: err.Error()}
		}
		newestRevision = max(newestRevision, reply.Revision)
		replies = append(replies, reply)
	}
	anyComplete := false
	for _, reply := range replies {
		role := "standby"
		if reply.Term > 0 {
			role = fmt.Sprintf("leads term %d", reply.Term)
		}
		lag := "-"
		if reply.Revision > 0 {
			lag = fmt.Sprint(newestRevision - reply.Revision)
		}
		anyComplete = anyComplete || reply.Term == 0 && ineligibleReason(reply) == ""
		heard := (time.Duration(reply.HeardMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%.1f\t%s ago\t%s\t%s\n", reply.Node, role, cmp.Or(reply.State, "off"), reply.Revision, lag, reply.Keys, float64(reply.Bytes)/(1<<20), heard, softStateText(reply), reply.Why)
	}
	if !anyComplete {
		fmt.Fprintln(table, "\nno standby is complete: a failover reads the whole ledger")
	}
	return table.Flush()
}

// softStateText returns the table's text for the soft state of a controller.
func softStateText(reply *handoverpb.StatusReply) string {
	if reply.HintsTerm == 0 {
		return "-"
	}
	return fmt.Sprintf("%d machines of term %d", reply.HintsMachines, reply.HintsTerm)
}

// RequestTransfer requests that the leader transfer the leadership to the named controller or, without
// a name, to the one whose standby has the newest revision.
func RequestTransfer(ctx context.Context, network transport.Network, platform *settings.Platform, successor string) (*handoverpb.HandOverReply, error) {
	var reply *handoverpb.HandOverReply
	err := rpc.CallLeader(ctx, network, sortedControllers(platform), callTimeout, func(ctx context.Context, conn *grpc.ClientConn) error {
		var err error
		reply, err = handoverpb.NewHandoverClient(conn).HandOver(ctx, &handoverpb.HandOverRequest{To: successor})
		return err
	})
	return reply, err
}

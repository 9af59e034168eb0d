package cells

import (
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
)

// stubLeader is a dispatcher that counts its calls, and fails if it does not lead.
type stubLeader struct {
	leads bool
	calls int
}

func (l *stubLeader) countCall() error {
	if l.calls++; !l.leads {
		return dispatch.ErrNotLeader
	}
	return nil
}

func (l *stubLeader) AnswerTransfers(_ context.Context, _ string, messages []federation.Message) ([]federation.Answer, error) {
	var answers []federation.Answer
	for _, m := range messages {
		answers = append(answers, federation.Answer{JobID: m.JobID, Epoch: m.Epoch, Outcome: federation.OutcomePending})
	}
	return answers, l.countCall()
}

func (l *stubLeader) OfferCapacity(_ context.Context, _ string, cores float64) (dispatch.CapacityOffer, error) {
	return dispatch.CapacityOffer{Cores: cores, For: time.Second}, l.countCall()
}

func (l *stubLeader) ListTransfers(context.Context) (scheduler.TransferListReply, error) {
	return scheduler.TransferListReply{}, l.countCall()
}

// limaCells are the settings of cell lima, which has puno as its neighbour.
func limaCells() settings.Cells {
	return settings.Cells{Name: "lima", Neighbours: []settings.Neighbour{{Name: "puno", Controllers: []string{"n0:81", "n1:81", "n2:81"}}}}
}

// TestServerRefuses: a request that does not come from a neighbour, is not for this cell, or is
// malformed is refused and does not reach the leader.
func TestServerRefuses(t *testing.T) {
	good := &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}
	job := &cellpb.Offer{Job: []byte("{}"), Cores: 1}
	cases := []struct {
		name     string
		envelope *cellpb.Envelope
		messages []*cellpb.Message
		code     codes.Code
		message  string
	}{
		{"from a neighbour", good, []*cellpb.Message{{Kind: cellpb.Message_KIND_STATUS, Ref: "job-1", Epoch: 1}}, codes.OK, ""},
		{"from another version", &cellpb.Envelope{Version: 2, From: "puno", To: "lima"}, nil, codes.FailedPrecondition, "version 2"},
		{"from a cell that is no neighbour", &cellpb.Envelope{Version: protocolVersion, From: "cusco", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"from this cell", &cellpb.Envelope{Version: protocolVersion, From: "lima", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"for another cell", &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "cusco"}, nil, codes.FailedPrecondition, "this is cell"},
		{"without an envelope", nil, nil, codes.FailedPrecondition, "version 0"},
		{"too many", good, make([]*cellpb.Message, maxExchangeMessages+1), codes.InvalidArgument, "messages at once"},
		{"an unknown kind", good, []*cellpb.Message{{Kind: 9, Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "kind 9"},
		{"no kind", good, []*cellpb.Message{{Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "kind 0"},
		{"no job", good, []*cellpb.Message{{Kind: 4, Ref: "run-1", Epoch: 1}}, codes.InvalidArgument, "not a job's id"},
		{"no epoch", good, []*cellpb.Message{{Kind: 4, Ref: "job-1"}}, codes.InvalidArgument, "epochs"},
		{"an offer of nothing", good, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "carries a job"},
		{"a question with a job", good, []*cellpb.Message{{Kind: 4, Ref: "job-1", Epoch: 1, Offer: job}}, codes.InvalidArgument, "carries a job"},
		{"an oversized job", good, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Job: make([]byte, 70000)}}}, codes.InvalidArgument, "70000 bytes"},
		{"less than no cores", good, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Cores: -1}}}, codes.InvalidArgument, "-1 cores"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := &stubLeader{leads: true}
			_, err := NewServer(limaCells(), 40, leader).Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: c.envelope, Messages: c.messages})
			if status.Code(err) != c.code || err != nil && !strings.Contains(err.Error(), c.message) || (leader.calls > 0) != (c.code == codes.OK) {
				t.Errorf("%v, the leader was called %d times", err, leader.calls)
			}
		})
	}
	s := NewServer(limaCells(), 40, &stubLeader{leads: true})
	if r, err := s.Room(t.Context(), &cellpb.RoomRequest{Envelope: good, Cores: 8, CancelS: 30}); err != nil || r.Cores != 0 || r.Reason == "" {
		t.Errorf("capacity is offered although cancelled tasks may run longer here: %v, %v", r, err)
	}
	if r, err := s.Room(t.Context(), &cellpb.RoomRequest{Envelope: good, Cores: 8, CancelS: 40}); err != nil || r.Cores != 8 {
		t.Errorf("no capacity is offered: %v, %v", r, err)
	}
	off := NewServer(settings.Cells{}, 40, &stubLeader{leads: true})
	if _, err := off.Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: good}); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a cell without neighbours returns %v", err)
	}
}

// FuzzExchange: any request is answered or refused, and the messages that reach the leader are
// well-formed.
func FuzzExchange(f *testing.F) {
	for _, r := range []*cellpb.ExchangeRequest{
		{},
		{Envelope: &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Job: []byte(`{"ref":"job-1"}`), Cores: 8}}}},
		{Envelope: &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 3, Ref: "job-2", Epoch: 1 << 63}}},
	} {
		text, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var r cellpb.ExchangeRequest
		if proto.Unmarshal(text, &r) != nil {
			return
		}
		reply, err := NewServer(limaCells(), 40, &stubLeader{leads: true}).Exchange(t.Context(), &r)
		if err != nil {
			return
		}
		for _, a := range reply.Answers {
			if a.Epoch == 0 || !strings.HasPrefix(a.Ref, "job-") {
				t.Errorf("%v", a)
			}
		}
	})
}

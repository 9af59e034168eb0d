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

// stubLeader is a dispatcher that counts its calls and returns ErrNotLeader unless leads is set.
type stubLeader struct {
	leads bool
	calls int
}

// countCall counts a call and returns its error.
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

// limaCells returns the settings of the cell lima, whose only neighbour is puno.
func limaCells() settings.Cells {
	return settings.Cells{Name: "lima", Neighbours: []settings.Neighbour{{Name: "puno", Controllers: []string{"n0:81", "n1:81", "n2:81"}}}}
}

// TestServerRefuses checks that a request is rejected before it reaches the leader if it has
// another protocol version, is not from a neighbour, is for another cell, or has malformed or too
// many messages. It also checks that capacity is only offered if cancelled tasks end within the
// time that the origin requires.
func TestServerRefuses(t *testing.T) {
	validEnvelope := &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}
	job := &cellpb.Offer{Job: []byte("{}"), Cores: 1}
	cases := []struct {
		name     string
		envelope *cellpb.Envelope
		messages []*cellpb.Message
		code     codes.Code
		message  string
	}{
		{"from a neighbour", validEnvelope, []*cellpb.Message{{Kind: cellpb.Message_KIND_STATUS, Ref: "job-1", Epoch: 1}}, codes.OK, ""},
		{"another protocol version", &cellpb.Envelope{Version: 2, From: "puno", To: "lima"}, nil, codes.FailedPrecondition, "version 2"},
		{"from a cell that is not a neighbour", &cellpb.Envelope{Version: protocolVersion, From: "cusco", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"from this cell", &cellpb.Envelope{Version: protocolVersion, From: "lima", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"for another cell", &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "cusco"}, nil, codes.FailedPrecondition, "this is cell"},
		{"without an envelope", nil, nil, codes.FailedPrecondition, "version 0"},
		{"too many messages", validEnvelope, make([]*cellpb.Message, maxExchangeMessages+1), codes.InvalidArgument, "messages at once"},
		{"an unknown kind", validEnvelope, []*cellpb.Message{{Kind: 9, Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "kind 9"},
		{"without a kind", validEnvelope, []*cellpb.Message{{Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "kind 0"},
		{"not a job ID", validEnvelope, []*cellpb.Message{{Kind: 4, Ref: "run-1", Epoch: 1}}, codes.InvalidArgument, "not a job's id"},
		{"without an epoch", validEnvelope, []*cellpb.Message{{Kind: 4, Ref: "job-1"}}, codes.InvalidArgument, "epochs"},
		{"an offer without a job", validEnvelope, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1}}, codes.InvalidArgument, "carries a job"},
		{"a status request with a job", validEnvelope, []*cellpb.Message{{Kind: 4, Ref: "job-1", Epoch: 1, Offer: job}}, codes.InvalidArgument, "carries a job"},
		{"an oversized job", validEnvelope, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Job: make([]byte, 70000)}}}, codes.InvalidArgument, "70000 bytes"},
		{"negative cores", validEnvelope, []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Cores: -1}}}, codes.InvalidArgument, "-1 cores"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := &stubLeader{leads: true}
			_, err := NewServer(limaCells(), 40, leader).Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: c.envelope, Messages: c.messages})
			if status.Code(err) != c.code || err != nil && !strings.Contains(err.Error(), c.message) || (leader.calls > 0) != (c.code == codes.OK) {
				t.Errorf("error %v, %d calls of the leader; want the error of the case, and calls only without an error", err, leader.calls)
			}
		})
	}
	server := NewServer(limaCells(), 40, &stubLeader{leads: true})
	if reply, err := server.Room(t.Context(), &cellpb.RoomRequest{Envelope: validEnvelope, Cores: 8, CancelS: 30}); err != nil || reply.Cores != 0 || reply.Reason == "" {
		t.Errorf("cancelled tasks may run longer than the origin requires: got %v, %v, want a reply without capacity and with a reason", reply, err)
	}
	if reply, err := server.Room(t.Context(), &cellpb.RoomRequest{Envelope: validEnvelope, Cores: 8, CancelS: 40}); err != nil || reply.Cores != 8 {
		t.Errorf("cancelled tasks end in time: got %v, %v, want 8 cores", reply, err)
	}
	unconfigured := NewServer(settings.Cells{}, 40, &stubLeader{leads: true})
	if _, err := unconfigured.Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: validEnvelope}); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a cell without neighbours returned %v, want PermissionDenied", err)
	}
}

// FuzzExchange checks that any request is answered or rejected, and that only well-formed messages
// reach the leader.
func FuzzExchange(f *testing.F) {
	for _, request := range []*cellpb.ExchangeRequest{
		{},
		{Envelope: &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Job: []byte(`{"ref":"job-1"}`), Cores: 8}}}},
		{Envelope: &cellpb.Envelope{Version: protocolVersion, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 3, Ref: "job-2", Epoch: 1 << 63}}},
	} {
		text, err := proto.Marshal(request)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var request cellpb.ExchangeRequest
		if proto.Unmarshal(text, &request) != nil {
			return
		}
		reply, err := NewServer(limaCells(), 40, &stubLeader{leads: true}).Exchange(t.Context(), &request)
		if err != nil {
			return
		}
		for _, a := range reply.Answers {
			if a.Epoch == 0 || !strings.HasPrefix(a.Ref, "job-") {
				t.Errorf("a malformed message reached the leader, which answered %v", a)
			}
		}
	})
}

package cells

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
)

// TestNumbersAgree: kinds and outcomes travel as the numbers that package spill has.
func TestNumbersAgree(t *testing.T) {
	for number, name := range cellpb.Message_Kind_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "KIND_")); number > 0 && federation.Kind(number).String() != want {
			t.Errorf("kind %d is %q in the messages and %q here", number, want, federation.Kind(number))
		}
	}
	for number, name := range cellpb.Answer_Outcome_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "OUTCOME_")); number > 0 && federation.Outcome(number).String() != want {
			t.Errorf("outcome %d is %q in the messages and %q here", number, want, federation.Outcome(number))
		}
	}
}

// stubLeader is a dispatcher that leads or does not.
type stubLeader struct {
	leads bool
	asked int
}

func (l *stubLeader) err() error {
	if l.asked++; !l.leads {
		return dispatch.ErrNotLeader
	}
	return nil
}

func (l *stubLeader) AnswerTransfers(_ context.Context, _ string, messages []federation.Message) ([]federation.Answer, error) {
	var answers []federation.Answer
	for _, m := range messages {
		answers = append(answers, federation.Answer{JobID: m.JobID, Epoch: m.Epoch, Outcome: federation.OutcomePending})
	}
	return answers, l.err()
}

func (l *stubLeader) OfferCapacity(_ context.Context, _ string, cores float64) (dispatch.CapacityOffer, error) {
	return dispatch.CapacityOffer{Cores: cores, For: time.Second}, l.err()
}

func (l *stubLeader) ListTransfers(context.Context) (scheduler.TransferListReply, error) {
	return scheduler.TransferListReply{}, l.err()
}

func lima() settings.Cells {
	return settings.Cells{Name: "lima", Neighbours: []settings.Neighbour{{Name: "puno", Controllers: []string{"n0:81", "n1:81", "n2:81"}}}}
}

// TestServerRefuses: what does not come from a neighbour, is not for this cell, or is
// malformed changes nothing.
func TestServerRefuses(t *testing.T) {
	good := &cellpb.Envelope{Version: version, From: "puno", To: "lima"}
	job := &cellpb.Offer{Job: []byte("{}"), Cores: 1}
	cases := []struct {
		name     string
		envelope *cellpb.Envelope
		messages []*cellpb.Message
		code     codes.Code
		says     string
	}{
		{"a neighbour's", good, []*cellpb.Message{{Kind: cellpb.Message_KIND_STATUS, Ref: "job-1", Epoch: 1}}, codes.OK, ""},
		{"another version's", &cellpb.Envelope{Version: 2, From: "puno", To: "lima"}, nil, codes.FailedPrecondition, "version 2"},
		{"a stranger's", &cellpb.Envelope{Version: version, From: "cusco", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"its own", &cellpb.Envelope{Version: version, From: "lima", To: "lima"}, nil, codes.PermissionDenied, "not a neighbour"},
		{"for another cell", &cellpb.Envelope{Version: version, From: "puno", To: "cusco"}, nil, codes.FailedPrecondition, "this is cell"},
		{"without an envelope", nil, nil, codes.FailedPrecondition, "version 0"},
		{"too many", good, make([]*cellpb.Message, maxMessages+1), codes.InvalidArgument, "messages at once"},
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
			_, err := NewServer(lima(), 40, leader).Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: c.envelope, Messages: c.messages})
			if status.Code(err) != c.code || err != nil && !strings.Contains(err.Error(), c.says) || (leader.asked > 0) != (c.code == codes.OK) {
				t.Errorf("%v, the leader was asked %d times", err, leader.asked)
			}
		})
	}
	s := NewServer(lima(), 40, &stubLeader{leads: true})
	if r, err := s.Room(t.Context(), &cellpb.RoomRequest{Envelope: good, Cores: 8, CancelS: 30}); err != nil || r.Cores != 0 || r.Reason == "" {
		t.Errorf("room although cancelled tasks go on for longer here: %v, %v", r, err)
	}
	if r, err := s.Room(t.Context(), &cellpb.RoomRequest{Envelope: good, Cores: 8, CancelS: 40}); err != nil || r.Cores != 8 {
		t.Errorf("no room: %v, %v", r, err)
	}
	off := NewServer(settings.Cells{}, 40, &stubLeader{leads: true})
	if _, err := off.Exchange(t.Context(), &cellpb.ExchangeRequest{Envelope: good}); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a cell without neighbours says %v", err)
	}
}

// TestClientFindsTheLeader: a call goes to the next controller until one leads, and from
// then on to that one first.
func TestClientFindsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fake.NewNet(t)
		leaders := []*stubLeader{{}, {}, {leads: true}}
		var servers []*grpc.Server
		for i, addr := range lima().Neighbours[0].Controllers {
			l, err := n.Host(addr[:2]).Listen(t.Context(), addr)
			if err != nil {
				t.Fatal(err)
			}
			s := grpc.NewServer()
			puno := settings.Cells{Name: "puno", Neighbours: []settings.Neighbour{{Name: "lima"}}}
			cellpb.RegisterCellServer(s, NewServer(puno, 40, leaders[i]))
			servers = append(servers, s)
			go s.Serve(l)
		}
		ctx, cancel := context.WithCancel(t.Context())
		client, err := Dial(ctx, n.Host("home"), lima(), 40)
		if err != nil {
			t.Fatal(err)
		}
		ask := func() error {
			answers, err := client.Exchange(ctx, "puno", []federation.Message{{Kind: federation.Status, JobID: "job-1", Epoch: 1}})
			if err == nil && (len(answers) != 1 || answers[0].Outcome != federation.OutcomePending) {
				t.Errorf("answered %v", answers)
			}
			return err
		}
		for range 2 {
			if err := ask(); err != nil {
				t.Error(err)
			}
		}
		if leaders[0].asked != 1 || leaders[1].asked != 1 || leaders[2].asked != 2 {
			t.Errorf("asked %d, %d and %d times", leaders[0].asked, leaders[1].asked, leaders[2].asked)
		}
		servers[2].Stop()
		leaders[1].leads = true
		if err := ask(); err != nil {
			t.Error("after the leader has changed:", err)
		}
		leaders[1].leads = false
		if err := ask(); err == nil {
			t.Error("answered without a leader")
		}
		if _, err := client.AskCapacity(ctx, "cusco", 1); err == nil {
			t.Error("an unknown cell has room")
		}
		cancel()
		for _, s := range servers {
			s.Stop()
		}
		time.Sleep(5 * time.Second)
	})
}

// TestTraceOfBothCells: the steps that two cells trace of a job are one trace, which can
// be shown as text and as a page.
func TestTraceOfBothCells(t *testing.T) {
	dir := t.TempDir()
	var files []string
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(t.Context())
	for cell, notes := range map[string][]federation.TransferStep{
		"lima": {{Cell: "puno", JobID: "job-1", Epoch: 1, Step: federation.StepPlanned}, {Cell: "puno", JobID: "job-1", Epoch: 1, Step: federation.StepEnded, Reason: "done"},
			{Cell: "puno", JobID: "job-2", Epoch: 3, Step: federation.StepRefused, Reason: "full <of> work"}},
		"puno": {{Origin: "lima", JobID: "job-1", Epoch: 1, Step: federation.StepAccepted}},
	} {
		file := filepath.Join(dir, cell)
		files = append(files, file)
		tracer, err := NewTracer(ctx, cell, file, log)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range notes {
			tracer.Note(n)
		}
	}
	cancel()
	// A controller that is killed may leave half a line.
	f, err := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(`{"Name":"acc`); err != nil {
		t.Fatal(err)
	}
	f.Close()
	steps, err := ReadSteps(files...)
	if err != nil {
		t.Fatal(err)
	}
	journeys := Journeys(steps)
	if len(steps) != 4 || len(journeys) != 2 {
		t.Fatalf("%d steps of %d jobs, want 4 of 2", len(steps), len(journeys))
	}
	for _, j := range journeys {
		if want := map[string]int{"job-1": 3, "job-2": 1}[j.Job]; len(j.Steps) != want || j.Home != "lima" {
			t.Errorf("%s of %s has %d steps, want %d", j.Job, j.Home, len(j.Steps), want)
		}
	}
	var text, page bytes.Buffer
	if err := WriteText(&text, journeys); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(&page, journeys); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"job-1 of lima", "neighbour  puno", "epoch 3", "full <of> work"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
	for _, want := range []string{"<h2>job-2 of lima", "full &lt;of&gt; work", `class="neighbour"`} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if err := os.WriteFile(files[0], []byte(`{"Name":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSteps(files[0]); err == nil {
		t.Error("a span of something else is read")
	}
}

// TestWriteList: an operator sees each transfer with state and age.
func TestWriteList(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var out bytes.Buffer
	err := WriteList(&out, &cellpb.ListReply{Cell: "lima",
		Neighbours: []*cellpb.Neighbour{{Name: "puno", Drain: true, Silent: true, Jobs: 1, Cores: 16, Lent: 4}},
		Away:       []*cellpb.Away{{Ref: "job-1", Cell: "puno", Epoch: 2, Phase: "running", Cancelling: true, SinceMs: 940_000, HeardMs: 1500, Running: 3}},
		Guests:     []*cellpb.Guest{{Home: "puno", Ref: "job-7", Epoch: 1, State: "accepted", SinceMs: 880_000}},
		Counts:     []*cellpb.Count{{Cell: "puno", Out: true, Step: "offered", Count: 5}},
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"draining, silent", "running, cancelling", "1m0s", "1.5s ago", "job-7", "2m0s", "offered"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the list lacks %q:\n%s", want, out.String())
		}
	}
}

// FuzzExchange: whatever arrives as an exchange is answered or refused, and what reaches
// the leader is well-formed.
func FuzzExchange(f *testing.F) {
	for _, r := range []*cellpb.ExchangeRequest{
		{},
		{Envelope: &cellpb.Envelope{Version: version, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 1, Ref: "job-1", Epoch: 1, Offer: &cellpb.Offer{Job: []byte(`{"ref":"job-1"}`), Cores: 8}}}},
		{Envelope: &cellpb.Envelope{Version: version, From: "puno", To: "lima"}, Messages: []*cellpb.Message{{Kind: 3, Ref: "job-2", Epoch: 1 << 63}}},
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
		reply, err := NewServer(lima(), 40, &stubLeader{leads: true}).Exchange(t.Context(), &r)
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

// FuzzReadSteps: whatever a trace file holds, it is read or refused, and can be shown.
func FuzzReadSteps(f *testing.F) {
	f.Add([]byte(`{"Name":"accepted","SpanContext":{"TraceID":"ab"},"StartTime":"2026-01-01T00:00:00Z","EndTime":"2026-01-01T00:00:01Z",
		"Attributes":[{"Key":"leadproxy.epoch","Value":{"Type":"INT64","Value":1}},{"Key":"leadproxy.side","Value":{"Type":"STRING","Value":"home"}}]}`))
	f.Add([]byte(`{"Name":"x"} [`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		steps, err := readSteps(bytes.NewReader(text))
		if err != nil {
			return
		}
		journeys := Journeys(steps)
		if err := WriteText(io.Discard, journeys); err != nil {
			t.Error(err)
		}
		if err := WritePage(io.Discard, journeys); err != nil {
			t.Error(err)
		}
	})
}

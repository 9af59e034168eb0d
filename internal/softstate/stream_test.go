package softstate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"leadproxy/internal/fake"
	"leadproxy/internal/rpc"
	"leadproxy/internal/softstate/hintpb"
)

// fakeSource is a Source that the test controls. Each call returns one of the changes.
type fakeSource struct {
	mu      sync.Mutex
	term    uint64 // 0: the controller does not lead
	changes []Changes
	calls   int
}

func (s *fakeSource) SoftState(_ context.Context, since uint64) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.term == 0:
		return Changes{}, errors.New("not leading")
	case since < uint64(len(s.changes)):
		c := s.changes[since]
		c.Term, c.UpTo, c.More = s.term, since+1, since+1 < uint64(len(s.changes))
		return c, nil
	}
	return Changes{Term: s.term, UpTo: since}, nil
}

// setState replaces the term and the changes.
func (s *fakeSource) setState(term uint64, changes []Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.changes = term, changes
}

// callCount returns the number of calls of SoftState.
func (s *fakeSource) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// harness runs the server of n1 and a follower on n2 over an in-memory network.
type harness struct {
	t        *testing.T
	network  *fake.Network
	source   *fakeSource
	follower *Follower
	stop     context.CancelFunc
}

func newHarness(t *testing.T, source *fakeSource, others []string) *harness {
	h := &harness{t: t, network: fake.NewNetwork(t), source: source}
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := h.network.Host("n1").Listen(ctx, "n1:81")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	hintpb.RegisterHintsServer(server, NewServer(source, others, slog.New(slog.DiscardHandler)))
	go server.Serve(listener)
	conn := h.dial("n2")
	h.follower = NewFollower("n2", func() string { return "n1" }, func(string) (grpc.ClientConnInterface, error) { return conn, nil }, slog.New(slog.DiscardHandler))
	go h.follower.Run(ctx)
	h.stop = func() {
		cancel()
		conn.Close()
		server.Stop()
		time.Sleep(time.Minute) // until pending connection attempts have timed out
	}
	return h
}

func (h *harness) dial(from string) *grpc.ClientConn {
	conn, err := rpc.Connect(h.network.Host(from), "n1:81")
	if err != nil {
		h.t.Fatal(err)
	}
	return conn
}

// changedMachines returns changes of the named machines.
func changedMachines(names ...string) (c Changes) {
	for _, name := range names {
		c.Machines = append(c.Machines, Machine{Name: name, Address: name + ":9000", AgentEpoch: 1})
	}
	return c
}

// TestFollowerReplicates checks that a follower receives soft state in several batches and then the
// changes, and that everything is sent again after a connection failure and in another term.
func TestFollowerReplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1", "vm-2"), changedMachines("vm-3")}}
		h := newHarness(t, source, []string{"n2"})
		defer h.stop()
		expectView := func(want int, term uint64) {
			t.Helper()
			time.Sleep(time.Minute) // a broken connection is retried within this time
			if v := h.follower.View(t.Context(), 100); len(v.Machines) != want || v.Term != term {
				t.Errorf("%d machines of term %d, want %d of term %d", len(v.Machines), v.Term, want, term)
			}
		}
		expectView(3, 7)
		source.setState(7, append(source.changes, Changes{Machines: []Machine{{Name: "vm-2", Gone: true}}}))
		expectView(2, 7)
		h.network.Partition("n1", "n2", false)
		source.setState(7, append(source.changes, changedMachines("vm-4")))
		expectView(2, 7)
		h.network.Heal("n1", "n2")
		expectView(3, 7)
		source.setState(0, nil)
		expectView(3, 7) // the term has ended: its soft state is kept for the next one
		source.setState(9, []Changes{changedMachines("vm-5")})
		expectView(1, 9)
		if s := h.follower.Status(); s.Term != 9 || s.Machines != 1 {
			t.Errorf("status %+v, want 1 machine of term 9", s)
		}
	})
}

// TestUnknownControllersAreRefused checks that the server refuses a stream to a controller that is not
// one of its peers.
func TestUnknownControllersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1")}}, []string{"n3"})
		defer h.stop()
		time.Sleep(5 * time.Second)
		if v := h.follower.View(t.Context(), 100); len(v.Machines) != 0 || h.source.callCount() > 0 {
			t.Errorf("%d machines replicated, %d calls of the source, want none", len(v.Machines), h.source.callCount())
		}
	})
}

// TestFrozenFollowerCostsOneBatch checks that a follower that acknowledges nothing is sent one batch
// only, and that its stream ends after acknowledgementTimeout.
func TestFrozenFollowerCostsOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{term: 7}
		for i := range 50 {
			source.changes = append(source.changes, changedMachines(fmt.Sprint("vm-", i)))
		}
		h := newHarness(t, source, []string{"n2", "n3"})
		defer h.stop()
		time.Sleep(5 * time.Second)
		conn := h.dial("n3")
		defer conn.Close()
		call, err := hintpb.NewHintsClient(conn).Follow(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		call.Send(&hintpb.Acknowledgement{Node: "n3"})
		callsBefore, began, batches := source.callCount(), time.Now(), 0
		for err == nil {
			if _, err = call.Recv(); err == nil {
				batches++
			}
		}
		took := time.Since(began)
		if batches != 1 || took < acknowledgementTimeout || took > acknowledgementTimeout+time.Second {
			t.Errorf("%d batches in %s, then %v, want one batch and the end after acknowledgementTimeout", batches, took, err)
		}
		if otherCalls := int(took/sendInterval) + 2; source.callCount()-callsBefore > otherCalls {
			t.Errorf("%d more calls of the source than those for the other follower", source.callCount()-callsBefore-otherCalls)
		}
	})
}

// TestWrongAcknowledgementEndsStream checks that a wrong sequence number ends the stream, also in the
// first message.
func TestWrongAcknowledgementEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1")}}, []string{"n2", "n3"})
		defer h.stop()
		conn := h.dial("n3")
		defer conn.Close()
		for _, acks := range [][]uint64{{1}, {0, 2}} {
			call, err := hintpb.NewHintsClient(conn).Follow(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, sequence := range acks {
				call.Send(&hintpb.Acknowledgement{Node: "n3", Sequence: sequence})
			}
			for err == nil {
				_, err = call.Recv()
			}
			if status.Code(err) != codes.InvalidArgument {
				t.Errorf("acknowledgements %v: error %v, want InvalidArgument", acks, err)
			}
		}
	})
}

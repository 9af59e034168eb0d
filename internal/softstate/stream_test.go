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

// fakeSource is a fake of a leader's memory.
type fakeSource struct {
	mu      sync.Mutex
	term    uint64 // 0: it does not lead
	changes []Changes
	calls   int
}

func (m *fakeSource) SoftState(_ context.Context, since uint64) (Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	switch {
	case m.term == 0:
		return Changes{}, errors.New("not leading")
	case since < uint64(len(m.changes)):
		c := m.changes[since]
		c.Term, c.UpTo, c.More = m.term, since+1, since+1 < uint64(len(m.changes))
		return c, nil
	}
	return Changes{Term: m.term, UpTo: since}, nil
}

// setState replaces the memory.
func (m *fakeSource) setState(term uint64, parts []Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term, m.changes = term, parts
}

func (m *fakeSource) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// harness is a leader, and a standby that follows it, on a network in memory.
type harness struct {
	t        *testing.T
	network  *fake.Network
	source   *fakeSource
	follower *Follower
	stop     context.CancelFunc
}

func newHarness(t *testing.T, m *fakeSource, others []string) *harness {
	p := &harness{t: t, network: fake.NewNetwork(t), source: m}
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := p.network.Host("n1").Listen(ctx, "n1:81")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	hintpb.RegisterHintsServer(server, NewServer(m, others, slog.New(slog.DiscardHandler)))
	go server.Serve(listener)
	conn := p.dial("n2")
	p.follower = NewFollower("n2", func() string { return "n1" }, func(string) (grpc.ClientConnInterface, error) { return conn, nil }, slog.New(slog.DiscardHandler))
	go p.follower.Run(ctx)
	p.stop = func() {
		cancel()
		conn.Close()
		server.Stop()
		time.Sleep(time.Minute) // what is still being connected gives up
	}
	return p
}

func (p *harness) dial(from string) *grpc.ClientConn {
	conn, err := rpc.Connect(p.network.Host(from), "n1:81")
	if err != nil {
		p.t.Fatal(err)
	}
	return conn
}

func changedMachines(names ...string) (c Changes) {
	for _, name := range names {
		c.Machines = append(c.Machines, Machine{Name: name, Address: name + ":9000", AgentEpoch: 1})
	}
	return c
}

// TestFollowerReplicates: soft state arrives in parts, changes follow, and after a break of the
// connection and in another term everything is sent again.
func TestFollowerReplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1", "vm-2"), changedMachines("vm-3")}}
		p := newHarness(t, m, []string{"n2"})
		defer p.stop()
		view := func(want int, term uint64) {
			t.Helper()
			time.Sleep(time.Minute) // a connection that was cut is tried again within that
			if v := p.follower.View(t.Context(), 100); len(v.Machines) != want || v.Term != term {
				t.Errorf("%d machines of term %d, want %d of %d", len(v.Machines), v.Term, want, term)
			}
		}
		view(3, 7)
		m.setState(7, append(m.changes, Changes{Machines: []Machine{{Name: "vm-2", Gone: true}}}))
		view(2, 7)
		p.network.Partition("n1", "n2", false)
		m.setState(7, append(m.changes, changedMachines("vm-4")))
		view(2, 7)
		p.network.Heal("n1", "n2")
		view(3, 7)
		m.setState(0, nil)
		view(3, 7) // the leader has ended: its soft state is kept for the next term
		m.setState(9, []Changes{changedMachines("vm-5")})
		view(1, 9)
		if s := p.follower.Status(); s.Term != 9 || s.Machines != 1 {
			t.Errorf("%+v", s)
		}
	})
}

// TestUnknownControllersAreRefused: a stream is refused to whoever is not one of the controllers.
func TestUnknownControllersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHarness(t, &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1")}}, []string{"n3"})
		defer p.stop()
		time.Sleep(5 * time.Second)
		if v := p.follower.View(t.Context(), 100); len(v.Machines) != 0 || p.source.callCount() > 0 {
			t.Errorf("%d machines were told, %d times asked", len(v.Machines), p.source.callCount())
		}
	})
}

// TestFrozenFollowerCostsOneBatch: a follower that acknowledges nothing is sent one batch,
// and its stream ends after the timeout.
func TestFrozenFollowerCostsOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeSource{term: 7}
		for i := range 50 {
			m.changes = append(m.changes, changedMachines(fmt.Sprint("vm-", i)))
		}
		p := newHarness(t, m, []string{"n2", "n3"})
		defer p.stop()
		time.Sleep(5 * time.Second)
		conn := p.dial("n3")
		defer conn.Close()
		call, err := hintpb.NewHintsClient(conn).Follow(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		call.Send(&hintpb.Acknowledgement{Node: "n3"})
		asked, began, batches := m.callCount(), time.Now(), 0
		for err == nil {
			if _, err = call.Recv(); err == nil {
				batches++
			}
		}
		took := time.Since(began)
		if batches != 1 || took < acknowledgementTimeout || took > acknowledgementTimeout+time.Second {
			t.Errorf("%d batches in %s: %v", batches, took, err)
		}
		if others := int(took/sendInterval) + 2; m.callCount()-asked > others {
			t.Errorf("asked %d times for it", m.callCount()-asked-others)
		}
	})
}

// TestWrongAcknowledgementEndsStream: a wrong sequence, also in the opening message, ends the stream.
func TestWrongAcknowledgementEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHarness(t, &fakeSource{term: 7, changes: []Changes{changedMachines("vm-1")}}, []string{"n2", "n3"})
		defer p.stop()
		conn := p.dial("n3")
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
				t.Errorf("%v: %v", acks, err)
			}
		}
	})
}

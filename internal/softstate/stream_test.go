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

// memory is a fake of a leader's memory.
type memory struct {
	mu    sync.Mutex
	term  uint64 // 0: it does not lead
	parts []Changes
	asked int
}

func (m *memory) SoftState(_ context.Context, since uint64) (Changes, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	switch {
	case m.term == 0:
		return Changes{}, errors.New("not leading")
	case since < uint64(len(m.parts)):
		c := m.parts[since]
		c.Term, c.UpTo, c.More = m.term, since+1, since+1 < uint64(len(m.parts))
		return c, nil
	}
	return Changes{Term: m.term, UpTo: since}, nil
}

// change replaces the memory.
func (m *memory) change(term uint64, parts []Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term, m.parts = term, parts
}

func (m *memory) questions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asked
}

// pair is a leader, and a standby that follows it, on a network in memory.
type pair struct {
	t        *testing.T
	net      *fake.Network
	memory   *memory
	follower *Follower
	stop     context.CancelFunc
}

func newPair(t *testing.T, m *memory, others []string) *pair {
	p := &pair{t: t, net: fake.NewNetwork(t), memory: m}
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := p.net.Host("n1").Listen(ctx, "n1:81")
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

func (p *pair) dial(from string) *grpc.ClientConn {
	conn, err := rpc.Connect(p.net.Host(from), "n1:81")
	if err != nil {
		p.t.Fatal(err)
	}
	return conn
}

func part(names ...string) (c Changes) {
	for _, name := range names {
		c.Machines = append(c.Machines, Machine{Name: name, Address: name + ":9000", AgentEpoch: 1})
	}
	return c
}

// TestFollowerReplicates: soft state arrives in parts, changes follow, and after a break of the
// connection and in another term everything is sent again.
func TestFollowerReplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{term: 7, parts: []Changes{part("vm-1", "vm-2"), part("vm-3")}}
		p := newPair(t, m, []string{"n2"})
		defer p.stop()
		view := func(want int, term uint64) {
			t.Helper()
			time.Sleep(time.Minute) // a connection that was cut is tried again within that
			if v := p.follower.View(t.Context(), 100); len(v.Machines) != want || v.Term != term {
				t.Errorf("%d machines of term %d, want %d of %d", len(v.Machines), v.Term, want, term)
			}
		}
		view(3, 7)
		m.change(7, append(m.parts, Changes{Machines: []Machine{{Name: "vm-2", Gone: true}}}))
		view(2, 7)
		p.net.Partition("n1", "n2", false)
		m.change(7, append(m.parts, part("vm-4")))
		view(2, 7)
		p.net.Heal("n1", "n2")
		view(3, 7)
		m.change(0, nil)
		view(3, 7) // the leader has ended: its soft state is kept for the next term
		m.change(9, []Changes{part("vm-5")})
		view(1, 9)
		if s := p.follower.Status(); s.Term != 9 || s.Machines != 1 {
			t.Errorf("%+v", s)
		}
	})
}

// TestUnknownControllersAreRefused: a stream is refused to whoever is not one of the controllers.
func TestUnknownControllersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, &memory{term: 7, parts: []Changes{part("vm-1")}}, []string{"n3"})
		defer p.stop()
		time.Sleep(5 * time.Second)
		if v := p.follower.View(t.Context(), 100); len(v.Machines) != 0 || p.memory.questions() > 0 {
			t.Errorf("%d machines were told, %d times asked", len(v.Machines), p.memory.questions())
		}
	})
}

// TestFrozenFollowerCostsOneBatch: a follower that acknowledges nothing is sent one batch,
// and its stream ends after the timeout.
func TestFrozenFollowerCostsOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{term: 7}
		for i := range 50 {
			m.parts = append(m.parts, part(fmt.Sprint("vm-", i)))
		}
		p := newPair(t, m, []string{"n2", "n3"})
		defer p.stop()
		time.Sleep(5 * time.Second)
		conn := p.dial("n3")
		defer conn.Close()
		call, err := hintpb.NewHintsClient(conn).Follow(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		call.Send(&hintpb.Acknowledgement{Node: "n3"})
		asked, began, batches := m.questions(), time.Now(), 0
		for err == nil {
			if _, err = call.Recv(); err == nil {
				batches++
			}
		}
		took := time.Since(began)
		if batches != 1 || took < acknowledgementTimeout || took > acknowledgementTimeout+time.Second {
			t.Errorf("%d batches in %s: %v", batches, took, err)
		}
		if others := int(took/sendInterval) + 2; m.questions()-asked > others {
			t.Errorf("asked %d times for it", m.questions()-asked-others)
		}
	})
}

// TestWrongAcknowledgementEndsStream: a wrong sequence, also in the opening message, ends the stream.
func TestWrongAcknowledgementEndsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, &memory{term: 7, parts: []Changes{part("vm-1")}}, []string{"n2", "n3"})
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

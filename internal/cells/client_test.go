package cells

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/fake"
	"leadproxy/internal/federation"
	"leadproxy/internal/settings"
)

// TestClientFindsTheLeader: a call goes to the next controller until one leads, and from
// then on to that one first.
func TestClientFindsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fake.NewNetwork(t)
		leaders := []*stubLeader{{}, {}, {leads: true}}
		var servers []*grpc.Server
		for i, addr := range limaCells().Neighbours[0].Controllers {
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
		client, err := Dial(ctx, n.Host("origin"), limaCells(), 40)
		if err != nil {
			t.Fatal(err)
		}
		exchange := func() error {
			answers, err := client.Exchange(ctx, "puno", []federation.Message{{Kind: federation.Status, JobID: "job-1", Epoch: 1}})
			if err == nil && (len(answers) != 1 || answers[0].Outcome != federation.OutcomePending) {
				t.Errorf("answered %v", answers)
			}
			return err
		}
		for range 2 {
			if err := exchange(); err != nil {
				t.Error(err)
			}
		}
		if leaders[0].calls != 1 || leaders[1].calls != 1 || leaders[2].calls != 2 {
			t.Errorf("called %d, %d and %d times", leaders[0].calls, leaders[1].calls, leaders[2].calls)
		}
		servers[2].Stop()
		leaders[1].leads = true
		if err := exchange(); err != nil {
			t.Error("after the leader has changed:", err)
		}
		leaders[1].leads = false
		if err := exchange(); err == nil {
			t.Error("answered without a leader")
		}
		if _, err := client.AskCapacity(ctx, "cusco", 1); !errors.Is(err, ErrUnknownCell) {
			t.Error("an unknown cell offers capacity")
		}
		cancel()
		for _, s := range servers {
			s.Stop()
		}
		time.Sleep(5 * time.Second)
	})
}

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

// TestClientFindsTheLeader checks that a call tries the controllers of a cell until it finds the
// leader, and that later calls try that controller first.
func TestClientFindsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fake.NewNetwork(t)
		leaders := []*stubLeader{{}, {}, {leads: true}}
		var servers []*grpc.Server
		for i, addr := range limaCells().Neighbours[0].Controllers {
			listener, err := network.Host(addr[:2]).Listen(t.Context(), addr)
			if err != nil {
				t.Fatal(err)
			}
			server := grpc.NewServer()
			punoCells := settings.Cells{Name: "puno", Neighbours: []settings.Neighbour{{Name: "lima"}}}
			cellpb.RegisterCellServer(server, NewServer(punoCells, 40, leaders[i]))
			servers = append(servers, server)
			go server.Serve(listener)
		}
		ctx, cancel := context.WithCancel(t.Context())
		client, err := Dial(ctx, network.Host("origin"), limaCells(), 40)
		if err != nil {
			t.Fatal(err)
		}
		exchange := func() error {
			answers, err := client.Exchange(ctx, "puno", []federation.Message{{Kind: federation.Status, JobID: "job-1", Epoch: 1}})
			if err == nil && (len(answers) != 1 || answers[0].Outcome != federation.OutcomePending) {
				t.Errorf("answers %v, want one that is pending", answers)
			}
			return err
		}
		for range 2 {
			if err := exchange(); err != nil {
				t.Error(err)
			}
		}
		if leaders[0].calls != 1 || leaders[1].calls != 1 || leaders[2].calls != 2 {
			t.Errorf("the controllers were called %d, %d and %d times, want 1, 1 and 2", leaders[0].calls, leaders[1].calls, leaders[2].calls)
		}
		servers[2].Stop()
		leaders[1].leads = true
		if err := exchange(); err != nil {
			t.Error("call after the leader has changed:", err)
		}
		leaders[1].leads = false
		if err := exchange(); err == nil {
			t.Error("a call without a leader succeeded")
		}
		if _, err := client.AskCapacity(ctx, "cusco", 1); !errors.Is(err, ErrUnknownCell) {
			t.Error("a request to an unknown cell did not return ErrUnknownCell")
		}
		cancel()
		for _, server := range servers {
			server.Stop()
		}
		time.Sleep(5 * time.Second)
	})
}

package controller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// httpClient is an agent or a user with minimal overhead, so that the benchmark measures the
// controller: one connection, prepared requests, and responses whose bodies are discarded.
type httpClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newHTTPClient(b *testing.B, addr string) *httpClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return &httpClient{conn, bufio.NewReaderSize(conn, 1024)}
}

func (c *httpClient) send(b *testing.B, method, path, body string) int {
	if _, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		b.Fatal(err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// startLeader starts a single controller with a fake key-value store and a fake cloud, waits until
// it is the leader, and returns its public address.
func startLeader(b *testing.B) string {
	store := fake.NewKVStore(b, transport.TCP{}, "127.0.0.1:0", nil)
	// The cloud provides no machines: the benchmark is the only agent.
	refuse := func(_ string, r *http.Request) fake.InjectedFault {
		if r.URL.Path == "/machines" && r.Method == http.MethodPost {
			return fake.InjectedFault{Kind: fake.Unavailable}
		}
		return fake.InjectedFault{}
	}
	cloud := fake.NewCloud(b, transport.TCP{}, "127.0.0.1:0", fake.CloudConfig{Faults: refuse,
		Types: []wire.MachineType{{Name: "m4", CPUs: 4, MemGB: 16, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 1, Zones: []string{"a"}}}})
	addrs := fake.ReserveAddresses(b, 2)
	platform := &settings.Platform{Name: "n0", Zone: "a", PublicAddr: addrs[0], PeerAddr: addrs[1], Services: settings.Services{Store: store.Addr(), Cloud: cloud.Addr()}}
	platform.Facts = settings.Facts{ControllerCount: 1, Teams: []settings.Team{{Name: "t"}},
		AgentTiming: settings.AgentTiming{HeartbeatS: 8, LeaseS: 36, CancelS: 56},
		Store:       settings.StoreLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: 16, TxnOps: 32},
		Cloud:       settings.CloudLimits{RPS: 20, ListLagS: 0.1},
		Resources:   settings.Resources{CPUShare: 1, RAMMB: 500, Sockets: 4000}}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() {
		if err := Run(ctx, transport.TCP{}, platform, settings.Defaults(), slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
			b.Error(err)
		}
	}()
	var client *httpClient
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		if client == nil {
			conn, err := net.Dial("tcp", platform.PublicAddr)
			if err != nil {
				continue // not listening yet
			}
			b.Cleanup(func() { conn.Close() })
			client = &httpClient{conn, bufio.NewReader(conn)}
		}
		if client.send(b, "POST", "/v1/report", heartbeatBody("vm-999999", 1)) == http.StatusOK {
			return platform.PublicAddr
		}
	}
	b.Fatal("the controller has not become the leader after 100 attempts")
	return ""
}

// heartbeatBody is the heartbeat of an agent without tasks.
func heartbeatBody(machine string, seq int) string {
	return fmt.Sprintf(`{"host":"%s","address":"10.1.0.232:9000","flavor":"m4","room":"a","loaners":true,"tenure":1,"tick":%d,"baton":16777216,"warning_s":null,"pieces":[]}`,
		machine, seq)
}

// BenchmarkReport measures heartbeats from request to response over kept connections of 400 agents.
func BenchmarkReport(b *testing.B) {
	addr := startLeader(b)
	const agents = 400
	var clients [agents]*httpClient
	for i := range clients {
		clients[i] = newHTTPClient(b, addr)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if status := clients[i%agents].send(b, "POST", "/v1/report", heartbeatBody(fmt.Sprintf("vm-%06d", i%agents), 1+i/agents)); status != http.StatusOK {
			b.Fatal(status)
		}
	}
}

// BenchmarkSubmission measures job submissions from request to response, including the creation of
// the job's record in the key-value store.
func BenchmarkSubmission(b *testing.B) {
	addr := startLeader(b)
	user := newHTTPClient(b, addr)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		job := fmt.Sprintf(`{"ref":"job-%09d","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":4,"vcpus":4,"gpus":0,"mem_gb":1,"bundle":"i","size_gb":1,"flavors":null,"room":null,"together":false,"spread":false,"loaners":true,"guess_s":20,"snapshot_s":0,"flush_s":0,"due_s":60}`, i)
		if status := user.send(b, "POST", "/v2/runs", job); status != http.StatusCreated {
			b.Fatal(status)
		}
	}
}

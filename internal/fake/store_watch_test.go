package fake

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/transport"
)

// TestWatchTimesOutAfterAnOutage: a watch whose wait ends during an outage gets its response as soon
// as the outage is over, although nothing has changed.
func TestWatchTimesOutAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, outage = 10 * time.Second, 30 * time.Second
		network := NewNetwork(t)
		store := NewKVStore(t, network.Host("store"), "store:1", nil)
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			store.SetOutage(true)
			time.Sleep(outage)
			store.SetOutage(false)
		}()
		conn := transport.NewConn(network.Host("client"), "store:1")
		defer conn.Close()
		if err := conn.Open(context.Background(), time.Second); err != nil {
			t.Fatal(err)
		}
		response, err := conn.Do(began.Add(10*outage), transport.Request{Method: http.MethodGet, Path: "/changes?under=a&from=0&wait_ms=10000"})
		if err != nil || response.Status != http.StatusOK {
			t.Fatalf("watch: %d, %v, want 200", response.Status, err)
		}
		if took := time.Since(began); took < wait || took > outage+5*time.Second {
			t.Errorf("watch took %s, want it to end with the outage after %s", took, outage)
		}
	})
}

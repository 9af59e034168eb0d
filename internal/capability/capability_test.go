package capability

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// fakeStore holds announcements; while down it refuses everything.
type fakeStore struct {
	keys chan map[string]string
	down bool
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	if f.down {
		return wire.EntryPage{}, kvstore.ErrUnavailable
	}
	keys := <-f.keys
	defer func() { f.keys <- keys }()
	var page wire.EntryPage
	for k, v := range keys {
		page.Entries = append(page.Entries, wire.Entry{Key: k, Value: json.RawMessage(v), Version: 1})
	}
	return page, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	keys := <-f.keys
	defer func() { f.keys <- keys }()
	for _, c := range t.Changes {
		keys[c.Set] = string(c.Value)
	}
	return true, wire.CompareAndSwapResponse{}, nil
}

// TestAllHaveToAnnounceThemselves: only announcements count, and only those of all
// nodes of the settings; one that is silent, or whose key says less, may be old.
func TestAllHaveToAnnounceThemselves(t *testing.T) {
	cases := []struct {
		name   string
		others map[string]string
		down   bool
		known  int // what all know
	}{
		{"all", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":3,"more":7}`}, false, Level},
		{"one knows a level less", map[string]string{"node/n2": `{"level":1}`, "node/n3": `{"level":2}`}, false, Pipelines},
		{"this one knew less", map[string]string{"node/n1": `{"level":1}`, "node/n2": `{"level":2}`, "node/n3": `{"level":2}`}, false, Level},
		{"one is missing", map[string]string{"node/n2": `{"level":2}`}, false, 0},
		{"one knows nothing", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":0}`}, false, 0},
		{"one can't be read", map[string]string{"node/n2": `{"level":2}`, "node/n3": `7`}, false, 0},
		{"another name", map[string]string{"node/n2": `{"level":2}`, "node/n4": `{"level":2}`}, false, 0},
		{"the state service is out", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":2}`}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{keys: make(chan map[string]string, 1), down: c.down}
				f.keys <- c.others
				w := New("n1", Level, []string{"n2", "n3"}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
				go w.Run(t.Context())
				time.Sleep(3 * lookEvery)
				synctest.Wait()
				for level := 1; level <= Level; level++ {
					if w.AllSupport(level) != (c.known >= level) {
						t.Errorf("level %d: %v, want those up to %d", level, w.AllSupport(level), c.known)
					}
				}
				keys := <-f.keys
				if got := keys["node/n1"]; (got == `{"level":2}`) == c.down {
					t.Errorf("announced as %q", got)
				}
				if c.known == Level || c.down {
					f.keys <- keys
					return
				}
				// The last one comes up with the new version.
				keys["node/n2"], keys["node/n3"] = `{"level":2}`, `{"level":2}`
				f.keys <- keys
				time.Sleep(2 * lookEvery)
				synctest.Wait()
				if !w.AllSupport(Level) {
					t.Error("not done when all are there")
				}
			})
		})
	}
}

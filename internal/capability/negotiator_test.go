package capability

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// fakeStore holds announcements. While it is unavailable all reads fail.
type fakeStore struct {
	mu          sync.Mutex // guards entries
	entries     map[string]string
	unavailable bool
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	if f.unavailable {
		return wire.EntryPage{}, kvstore.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var page wire.EntryPage
	for key, value := range f.entries {
		page.Entries = append(page.Entries, wire.Entry{Key: key, Value: json.RawMessage(value), Version: 1})
	}
	return page, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, txn wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, change := range txn.Changes {
		f.entries[change.Set] = string(change.Value)
	}
	return true, wire.CompareAndSwapResponse{}, nil
}

func (f *fakeStore) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[key]
}

// setEntries adds or replaces the given entries.
func (f *fakeStore) setEntries(entries map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.Copy(f.entries, entries)
}

// TestAllControllersHaveToAnnounce checks that a capability counts as supported only if every
// controller of the settings has announced it: a controller without an announcement, or with a lower
// level, may run an older version.
func TestAllControllersHaveToAnnounce(t *testing.T) {
	cases := []struct {
		name        string
		entries     map[string]string
		unavailable bool
		commonLevel int
	}{
		{"all controllers support the level", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":3,"more":7}`}, false, CurrentLevel},
		{"one controller supports one level less", map[string]string{"node/n2": `{"level":1}`, "node/n3": `{"level":2}`}, false, Pipelines},
		{"this controller supported less before", map[string]string{"node/n1": `{"level":1}`, "node/n2": `{"level":2}`, "node/n3": `{"level":2}`}, false, CurrentLevel},
		{"one announcement is missing", map[string]string{"node/n2": `{"level":2}`}, false, 0},
		{"one controller announces level 0", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":0}`}, false, 0},
		{"one announcement can't be decoded", map[string]string{"node/n2": `{"level":2}`, "node/n3": `7`}, false, 0},
		{"an announcement of an unknown controller instead", map[string]string{"node/n2": `{"level":2}`, "node/n4": `{"level":2}`}, false, 0},
		{"the store is unavailable", map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":2}`}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{entries: c.entries, unavailable: c.unavailable}
				negotiator := New("n1", CurrentLevel, []string{"n2", "n3"}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
				go negotiator.Run(t.Context())
				time.Sleep(3 * pollInterval)
				synctest.Wait()
				for level := 1; level <= CurrentLevel; level++ {
					if got := negotiator.AllSupport(level); got != (c.commonLevel >= level) {
						t.Errorf("level %d supported: %v, want the levels up to %d", level, got, c.commonLevel)
					}
				}
				if got := store.value("node/n1"); (got == `{"level":2}`) == c.unavailable {
					t.Errorf("announcement %q, want level 2 unless the store is unavailable", got)
				}
				if c.commonLevel == CurrentLevel || c.unavailable {
					return
				}
				// The last controllers are restarted with the new version.
				store.setEntries(map[string]string{"node/n2": `{"level":2}`, "node/n3": `{"level":2}`})
				time.Sleep(2 * pollInterval)
				synctest.Wait()
				if !negotiator.AllSupport(CurrentLevel) {
					t.Error("the level is not supported after the last controller has announced it")
				}
			})
		})
	}
}

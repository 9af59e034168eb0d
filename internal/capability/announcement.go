package capability

import (
	"context"
	"fmt"
	"strings"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// KeyPrefix is the prefix of the keys under which the controllers announce themselves, by name.
const KeyPrefix = "node/"

// announcement is the value of a controller's key. Each controller writes only its own key, so that
// an older version does not drop fields that a later one has added.
type announcement struct {
	Level int `json:"level"`
}

// Store is the part of the key-value store's client that announcements use.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, txn wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
}

// announcements holds what the controllers have announced so far.
type announcements struct {
	levels     map[string]int // by controller; 0: no announcement that can be decoded
	ownVersion uint64         // version of this controller's key; 0: it does not exist
}

// readAnnouncements reads the announcements of all controllers.
func (n *Negotiator) readAnnouncements(ctx context.Context) (announcements, error) {
	listing, err := kvstore.ListAll(ctx, n.store, kvstore.PriorityRead, KeyPrefix)
	if err != nil {
		return announcements{}, fmt.Errorf("list the announcements under %s: %w", KeyPrefix, err)
	}
	found := announcements{levels: map[string]int{}}
	for _, entry := range listing.Entries {
		name := strings.TrimPrefix(entry.Key, KeyPrefix)
		if name == n.controller {
			found.ownVersion = entry.Version
		}
		var a announcement
		if json.Unmarshal(entry.Value, &a) == nil {
			found.levels[name] = a.Level
		}
	}
	return found, nil
}

// announce writes this controller's key unless its version differs from the given one, at which it
// was read. It reports whether the key was written.
func (n *Negotiator) announce(ctx context.Context, version uint64) (written bool, err error) {
	value, err := json.Marshal(announcement{Level: n.level})
	if err != nil {
		return false, fmt.Errorf("encode the announcement: %w", err)
	}
	key := KeyPrefix + n.controller
	written, _, err = n.store.CompareAndSwap(ctx, kvstore.PriorityRead, wire.CompareAndSwap{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Changes:    []wire.Change{{Set: key, Value: value}},
	})
	if err != nil {
		return false, fmt.Errorf("write the announcement %s: %w", key, err)
	}
	return written, nil
}

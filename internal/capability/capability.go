// Package capability negotiates what the controllers of a deployment may use while two
// versions of the program run side by side. Each controller announces its level once, in the
// key-value store. A new kind of record or request is used only when every controller has
// announced that it supports it: an unanswered request proves nothing about a controller's
// version.
package capability

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// Prefix is where the nodes announce themselves, by name.
const Prefix = "node/"

// The capabilities, in the order in which they came. A version knows all up to its own.
const (
	// Pipelines: jobs that wait for others, finished tasks in parts, and keys of hosts of
	// any length.
	Pipelines = 1
	// Transfers: jobs that are away in another cell, which an older version would start,
	// and jobs of other cells.
	Transfers = 2
	// Level is this version's.
	Level = Transfers
)

// announcement is the value of a node's key. A field that is not known is kept by
// nobody: each node writes its own key only.
type announcement struct {
	Level int `json:"level"`
}

// Store is the part of the state service that announcing needs.
type Store interface {
	List(ctx context.Context, p kvstore.Priority, under, after string, limit int) (wire.EntryPage, error)
	CompareAndSwap(ctx context.Context, p kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error)
}

// Negotiator announces this node and watches the others.
type Negotiator struct {
	node  string
	level int
	all   []string
	store Store
	log   *slog.Logger
	known atomic.Int64
}

// New makes a watch for a node that knows the capabilities of a level; Run starts it.
// At level 0, that of the versions before there were announcements, it does nothing.
func New(node string, level int, others []string, store Store, log *slog.Logger) *Negotiator {
	return &Negotiator{node: node, level: level, all: append([]string{node}, others...), store: store, log: log}
}

// AllSupport tells whether all nodes know a capability, this one included.
func (w *Negotiator) AllSupport(capability int) bool { return int(w.known.Load()) >= capability }

// lookEvery is how often the others are looked for.
const lookEvery = 2 * time.Second

// Run watches until all are there or ctx ends.
func (w *Negotiator) Run(ctx context.Context) {
	if w.level == 0 {
		return
	}
	missing := ""
	for ctx.Err() == nil {
		left, known, err := w.look(ctx)
		switch {
		case err != nil:
			w.log.Debug("announcements not read", "error", err)
		case len(left) == 0:
			w.log.Info("all nodes know this version's capabilities", "level", w.level)
			w.known.Store(int64(w.level))
			return
		case int(w.known.Load()) < known:
			w.log.Info("all nodes know capabilities", "level", known)
			w.known.Store(int64(known))
		case missing != strings.Join(left, " "):
			missing = strings.Join(left, " ")
			w.log.Info("not all nodes are known to have been upgraded", "missing", missing)
		}
		transport.Pause(ctx, lookEvery)
	}
}

// look announces this node where that is missing. It names the nodes that have not
// announced as much as this one, and tells the level that all have announced.
func (w *Negotiator) look(ctx context.Context) (left []string, known int, err error) {
	listing, err := kvstore.ListAll(ctx, w.store, kvstore.PriorityRead, Prefix)
	if err != nil {
		return nil, 0, err
	}
	levels := map[string]int{}
	var own uint64
	for _, e := range listing.Entries {
		name := strings.TrimPrefix(e.Key, Prefix)
		var a announcement
		if name == w.node {
			own = e.Version
		}
		if json.Unmarshal(e.Value, &a) == nil {
			levels[name] = a.Level
		}
	}
	if levels[w.node] < w.level {
		announced, err := w.announce(ctx, own)
		if err != nil {
			return nil, 0, err
		}
		if announced {
			levels[w.node] = w.level
		}
	}
	known = w.level
	for _, name := range w.all {
		known = min(known, levels[name])
		if levels[name] < w.level {
			left = append(left, name)
		}
	}
	return left, known, nil
}

// announce writes this node's key unless it has changed since it was read.
func (w *Negotiator) announce(ctx context.Context, version uint64) (bool, error) {
	value, err := json.Marshal(announcement{w.level})
	if err != nil {
		return false, err
	}
	key := Prefix + w.node
	ok, _, err := w.store.CompareAndSwap(ctx, kvstore.PriorityRead, wire.CompareAndSwap{Conditions: []wire.Condition{{Key: key, Version: version}}, Changes: []wire.Change{{Set: key, Value: value}}})
	return ok, err
}

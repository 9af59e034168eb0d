// Package upgrade tells when all controllers run a version that knows a capability.
// While a deployment is upgraded, versions run side by side: what an older one would
// misunderstand may be asked of the service, and be written, only when none can be up
// any more. That a node does not answer proves nothing, so each announces durably what
// it knows, once, and only all announcements together count.
package upgrade

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/outbound"
	"leadproxy/internal/state"
	"leadproxy/internal/wire"
)

// Prefix is where the nodes announce themselves, by name.
const Prefix = "node/"

// Level counts the capabilities: 1 knows jobs that wait for others, finished tasks in
// parts, and keys of hosts of any length.
const Level = 1

// announcement is the value of a node's key. A field that is not known is kept by
// nobody: each node writes its own key only.
type announcement struct {
	Level int `json:"level"`
}

// Store is the part of the state service that announcing needs.
type Store interface {
	List(ctx context.Context, p state.Priority, under, after string, limit int) (wire.Entries, error)
	Txn(ctx context.Context, p state.Priority, t wire.Txn) (bool, wire.TxnAnswer, error)
}

// Watch announces this node and watches the others.
type Watch struct {
	node  string
	level int
	all   []string
	store Store
	log   *slog.Logger
	done  atomic.Bool
}

// New makes a watch for a node that knows the capabilities of a level; Run starts it.
// At level 0, that of the versions before there were announcements, it does nothing.
func New(node string, level int, others []string, store Store, log *slog.Logger) *Watch {
	return &Watch{node: node, level: level, all: append([]string{node}, others...), store: store, log: log}
}

// Done tells whether all nodes know what this one does.
func (w *Watch) Done() bool { return w.done.Load() }

// lookEvery is how often the others are looked for.
const lookEvery = 2 * time.Second

// Run watches until all are there or ctx ends.
func (w *Watch) Run(ctx context.Context) {
	if w.level == 0 {
		return
	}
	missing := ""
	for ctx.Err() == nil {
		left, err := w.look(ctx)
		switch {
		case err != nil:
			w.log.Debug("announcements not read", "error", err)
		case len(left) == 0:
			w.log.Info("all nodes know this version's capabilities", "level", w.level)
			w.done.Store(true)
			return
		case missing != strings.Join(left, " "):
			missing = strings.Join(left, " ")
			w.log.Info("not all nodes are known to have been upgraded", "missing", missing)
		}
		outbound.Pause(ctx, lookEvery)
	}
}

// look announces this node where that is missing, and names the nodes that have not
// announced themselves.
func (w *Watch) look(ctx context.Context) (left []string, err error) {
	left = slices.Clone(w.all)
	entries, _, err := state.ListAll(ctx, w.store, state.Read, Prefix)
	if err != nil {
		return nil, err
	}
	var own uint64
	for _, e := range entries {
		name := strings.TrimPrefix(e.Key, Prefix)
		var a announcement
		if name == w.node {
			own = e.Version
		}
		if json.Unmarshal(e.Value, &a) == nil && a.Level >= w.level {
			left = slices.DeleteFunc(left, func(n string) bool { return n == name })
		}
	}
	if !slices.Contains(left, w.node) {
		return left, nil
	}
	value, err := json.Marshal(announcement{w.level})
	if err != nil {
		return nil, err
	}
	key := Prefix + w.node
	ok, _, err := w.store.Txn(ctx, state.Read, wire.Txn{If: []wire.Condition{{Key: key, Version: own}}, Then: []wire.Change{{Set: key, Value: value}}})
	if err != nil || !ok {
		return left, err // it is looked at again
	}
	return slices.DeleteFunc(left, func(n string) bool { return n == w.node }), nil
}

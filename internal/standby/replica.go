// Package standby keeps a replica of the ledger on the controllers that are not the leader, so
// that a failover need not read the ledger. A Replica is read once and then follows the store's
// changes; a Gate decides when a new term may act on it. Follower, whose goroutine owns both, is
// where to begin reading. docs/design-standby.md argues why this is as safe as reading the whole
// ledger.
package standby

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// ErrTooLarge means that the entries exceed the memory limit of the replica.
var ErrTooLarge = errors.New("the replica exceeds its memory limit")

// entryOverhead is the memory that an entry takes besides its key and value.
const entryOverhead = 160

// Replica is a copy of the entries under some prefixes. It does no I/O.
type Replica struct {
	prefixes []string
	maxBytes int
	entries  map[string]wire.Entry
	bytes    int
	// All changes up to revision are applied. From consistentFrom on the copy is that of a
	// single revision: before, its pages are of different ones.
	revision, consistentFrom uint64
}

// NewReplica makes an empty replica of the entries under prefixes, of at most maxBytes.
func NewReplica(prefixes []string, maxBytes int) *Replica {
	return &Replica{prefixes: prefixes, maxBytes: maxBytes, entries: map[string]wire.Entry{}}
}

// Reset replaces the replica by listed entries. The pages of a listing are of different
// revisions, from began to ended; applying all changes since began makes the replica consistent.
func (r *Replica) Reset(entries []wire.Entry, began, ended uint64) error {
	r.entries, r.bytes, r.revision, r.consistentFrom = map[string]wire.Entry{}, 0, began, ended
	for _, e := range entries {
		r.put(e)
	}
	return r.checkSize()
}

// ErrMissingChanges means that changes between the replica's revision and the received ones are
// missing.
var ErrMissingChanges = errors.New("changes are missing")

// Apply applies the changes of a watch that began after a revision. Changes that are applied
// already are skipped, and a response older than the replica has no effect.
func (r *Replica) Apply(after uint64, n wire.WatchResponse) error {
	if after > r.revision {
		return fmt.Errorf("%w: received those after %d, the replica is at %d", ErrMissingChanges, after, r.revision)
	}
	if n.Revision <= r.revision {
		return nil
	}
	events := slices.Clone(n.Events)
	slices.SortStableFunc(events, func(a, b wire.WatchEvent) int {
		switch {
		case a.Version < b.Version:
			return -1
		case a.Version > b.Version:
			return 1
		}
		return 0
	})
	for _, e := range events {
		key := e.Set + e.Delete
		if e.Version <= r.revision || !r.hasPrefix(key) {
			continue
		}
		if e.Delete != "" {
			r.remove(key)
		} else {
			r.put(wire.Entry{Key: key, Value: e.Value, Version: e.Version})
		}
	}
	r.revision = n.Revision
	return r.checkSize()
}

// hasPrefix tells whether the replica holds keys like this one.
func (r *Replica) hasPrefix(key string) bool {
	return slices.ContainsFunc(r.prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

func (r *Replica) put(e wire.Entry) {
	r.remove(e.Key)
	// Without the clones the entry would keep the whole response in memory.
	e.Value = slices.Clone(e.Value)
	e.Key = strings.Clone(e.Key)
	r.entries[e.Key] = e
	r.bytes += memoryCost(e)
}

func (r *Replica) remove(key string) {
	if old, ok := r.entries[key]; ok {
		r.bytes -= memoryCost(old)
		delete(r.entries, key)
	}
}

func memoryCost(e wire.Entry) int { return entryOverhead + len(e.Key) + len(e.Value) }

func (r *Replica) checkSize() error {
	if r.bytes > r.maxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, r.bytes, r.maxBytes)
	}
	return nil
}

// Revision is the revision up to which all changes are applied.
func (r *Replica) Revision() uint64 { return r.revision }

// Bytes is the approximate memory of the entries.
func (r *Replica) Bytes() int { return r.bytes }

// KeyCount is the number of entries.
func (r *Replica) KeyCount() int { return len(r.entries) }

// Consistent tells whether the replica is a copy of a single revision.
func (r *Replica) Consistent() bool { return r.revision >= r.consistentFrom }

// Entries returns the entries in the order of their keys.
func (r *Replica) Entries() []wire.Entry {
	all := make([]wire.Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

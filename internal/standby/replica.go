// Package standby keeps a replica of the ledger on the controllers that are not the leader, so
// that a failover need not read the ledger. A Replica is listed once and then updated by watches; a
// Gate decides when a new term may act on it. The Follower's goroutine owns both. Start reading with
// Follower. docs/design-standby.md argues why this is as safe as reading the whole ledger.
package standby

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// ErrTooLarge means that the entries exceed the replica's memory limit.
var ErrTooLarge = errors.New("the replica exceeds its memory limit")

// entryOverhead is the memory in bytes that an entry takes besides its key and value.
const entryOverhead = 160

// Replica is a copy of the entries under some prefixes. It does no I/O.
type Replica struct {
	prefixes []string
	maxBytes int
	entries  map[string]wire.Entry
	bytes    int
	// revision is the revision up to which all changes are applied. At consistentFrom and later
	// the replica is a copy of the store at that revision; before, it is a mix of several
	// revisions, because the pages of a listing are read at different ones.
	revision, consistentFrom uint64
}

// NewReplica returns an empty replica for the entries under prefixes. Its size as counted by Bytes is
// limited to maxBytes.
func NewReplica(prefixes []string, maxBytes int) *Replica {
	return &Replica{prefixes: prefixes, maxBytes: maxBytes, entries: map[string]wire.Entry{}}
}

// Reset replaces the replica's entries with listed ones. The pages of a listing are read at different
// revisions, from firstRevision to lastRevision. Applying all changes after firstRevision up to at
// least lastRevision makes the replica consistent. It returns ErrTooLarge if the entries exceed the
// memory limit.
func (r *Replica) Reset(entries []wire.Entry, firstRevision, lastRevision uint64) error {
	r.entries, r.bytes, r.revision, r.consistentFrom = map[string]wire.Entry{}, 0, firstRevision, lastRevision
	for _, e := range entries {
		r.put(e)
	}
	return r.checkSize()
}

// ErrMissingChanges means that a watch response starts after the replica's revision, so that the
// changes in between are missing.
var ErrMissingChanges = errors.New("changes are missing")

// Apply applies the response to a watch for the changes after a revision. Changes that have been
// applied already are skipped, and a response older than the replica has no effect. It returns
// ErrMissingChanges or ErrTooLarge if the replica can't be used any more.
func (r *Replica) Apply(after uint64, response wire.WatchResponse) error {
	if after > r.revision {
		return fmt.Errorf("%w: the response starts after revision %d, the replica is at revision %d", ErrMissingChanges, after, r.revision)
	}
	if response.Revision <= r.revision {
		return nil
	}
	events := slices.Clone(response.Events)
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
	r.revision = response.Revision
	return r.checkSize()
}

// hasPrefix reports whether a key has one of the replica's prefixes.
func (r *Replica) hasPrefix(key string) bool {
	return slices.ContainsFunc(r.prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

func (r *Replica) put(e wire.Entry) {
	r.remove(e.Key)
	// Key and value may be slices of the whole response; without cloning them the entry would keep
	// it in memory.
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

// memoryCost is the approximate memory of an entry in bytes.
func memoryCost(e wire.Entry) int { return entryOverhead + len(e.Key) + len(e.Value) }

// checkSize returns ErrTooLarge if the entries exceed the memory limit.
func (r *Replica) checkSize() error {
	if r.bytes > r.maxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, r.bytes, r.maxBytes)
	}
	return nil
}

// Revision returns the revision up to which all changes are applied.
func (r *Replica) Revision() uint64 { return r.revision }

// Bytes returns the approximate memory of the entries in bytes.
func (r *Replica) Bytes() int { return r.bytes }

// KeyCount returns the number of entries.
func (r *Replica) KeyCount() int { return len(r.entries) }

// Consistent reports whether the replica is a copy of the store at a single revision.
func (r *Replica) Consistent() bool { return r.revision >= r.consistentFrom }

// Entries returns the entries, ordered by key.
func (r *Replica) Entries() []wire.Entry {
	entries := make([]wire.Entry, 0, len(r.entries))
	for _, e := range r.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

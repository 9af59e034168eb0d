// Package standby keeps a copy of the leader's durable state on the controllers that do
// not lead, so that one of them can decide soon after it is elected. A replica is read
// once and then follows the state service's changes; a gate tells when it may be decided
// on. docs/design-standby.md argues why that is as safe as reading everything anew.
package standby

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// ErrTooLarge means that the keys take more memory than the replica may have.
var ErrTooLarge = errors.New("the replica would take more memory than it may")

// entryCost is what an entry takes besides its key and value.
const entryCost = 160

// Replica is a copy of the keys under some prefixes. It has no goroutine of its own.
type Replica struct {
	prefixes []string
	maxBytes int
	entries  map[string]wire.Entry
	bytes    int
	// revision is that up to which all changes are applied; floor is the one from which
	// on the copy is that of a single moment.
	revision, floor uint64
}

// NewReplica makes an empty replica of some prefixes that may take so many bytes.
func NewReplica(prefixes []string, maxBytes int) *Replica {
	return &Replica{prefixes: prefixes, maxBytes: maxBytes, entries: map[string]wire.Entry{}}
}

// Reset begins with what was listed. The listing began at one revision of the service and
// ended at another: between them its pages are of different moments, and the changes since
// it began bring them together.
func (r *Replica) Reset(entries []wire.Entry, began, ended uint64) error {
	r.entries, r.bytes, r.revision, r.floor = map[string]wire.Entry{}, 0, began, ended
	for _, e := range entries {
		r.put(e)
	}
	return r.check()
}

// ErrGap means that changes are missing between the replica and those that have come.
var ErrGap = errors.New("changes are missing")

// Apply takes the service's changes after a revision. Those that are known already are
// passed over, and an answer that is older changes nothing.
func (r *Replica) Apply(after uint64, n wire.WatchResponse) error {
	if after > r.revision {
		return fmt.Errorf("%w: those after %d have come, up to %d all are known", ErrGap, after, r.revision)
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
		if e.Version <= r.revision || !r.covers(key) {
			continue
		}
		if e.Delete != "" {
			r.drop(key)
		} else {
			r.put(wire.Entry{Key: key, Value: e.Value, Version: e.Version})
		}
	}
	r.revision = n.Revision
	return r.check()
}

func (r *Replica) covers(key string) bool {
	return slices.ContainsFunc(r.prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

func (r *Replica) put(e wire.Entry) {
	r.drop(e.Key)
	// The answer that brought it holds much else.
	e.Value = slices.Clone(e.Value)
	e.Key = strings.Clone(e.Key)
	r.entries[e.Key] = e
	r.bytes += cost(e)
}

func (r *Replica) drop(key string) {
	if old, ok := r.entries[key]; ok {
		r.bytes -= cost(old)
		delete(r.entries, key)
	}
}

func cost(e wire.Entry) int { return entryCost + len(e.Key) + len(e.Value) }

func (r *Replica) check() error {
	if r.bytes > r.maxBytes {
		return fmt.Errorf("%w: %d bytes of %d", ErrTooLarge, r.bytes, r.maxBytes)
	}
	return nil
}

// Revision is that up to which all changes are in the replica.
func (r *Replica) Revision() uint64 { return r.revision }

// Bytes is about what it takes in memory.
func (r *Replica) Bytes() int { return r.bytes }

// Keys is how many keys it holds.
func (r *Replica) Keys() int { return len(r.entries) }

// Consistent tells whether it is the copy of a single moment.
func (r *Replica) Consistent() bool { return r.revision >= r.floor }

// Entries lists what it holds, in the order of the keys.
func (r *Replica) Entries() []wire.Entry {
	all := make([]wire.Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

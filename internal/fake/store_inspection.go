package fake

import (
	"encoding/json"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// Value returns the stored value of a key.
func (s *State) Value(key string) (value json.RawMessage) {
	s.do(func() { value = s.keys[key].Value })
	return value
}

// Version returns a key's version; 0: there is no such key.
func (s *State) Version(key string) (version uint64) {
	s.do(func() { version = s.keys[key].Version })
	return version
}

// Count returns the number of keys under a prefix.
func (s *State) Count(prefix string) (n int) {
	s.do(func() {
		for k := range s.keys {
			if strings.HasPrefix(k, prefix) {
				n++
			}
		}
	})
	return n
}

// Entries lists all keys with their values, in order.
func (s *State) Entries() (entries []wire.Entry) {
	s.do(func() {
		for _, key := range s.orderedKeys() {
			entries = append(entries, s.keys[key])
		}
	})
	return entries
}

// Largest is the size in bytes of the largest value under a prefix.
func (s *State) Largest(prefix string) (bytes int) {
	s.do(func() {
		for key, entry := range s.keys {
			if strings.HasPrefix(key, prefix) {
				bytes = max(bytes, len(entry.Value))
			}
		}
	})
	return bytes
}

// Put writes a key as if a controller had done so before the test.
func (s *State) Put(key, value string) {
	s.do(func() { s.apply([]wire.Change{{Set: key, Value: json.RawMessage(value)}}) })
}

// Remove deletes a key as an operator would.
func (s *State) Remove(key string) {
	s.do(func() { s.apply([]wire.Change{{Delete: key}}) })
}

// Changes lists all changes so far, in order.
func (s *State) Changes() (changes []wire.WatchEvent) {
	s.do(func() { changes = slices.Clone(s.history) })
	return changes
}

// Revision is the store's current revision.
func (s *State) Revision() (revision uint64) {
	s.do(func() { revision = s.revision })
	return revision
}

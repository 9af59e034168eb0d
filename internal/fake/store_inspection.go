package fake

import (
	"encoding/json"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// Value returns the value of a key, or nil if there is no such key.
func (s *KVStore) Value(key string) (value json.RawMessage) {
	s.do(func() { value = s.keys[key].Value })
	return value
}

// Version returns the version of a key, or 0 if there is no such key.
func (s *KVStore) Version(key string) (version uint64) {
	s.do(func() { version = s.keys[key].Version })
	return version
}

// Count returns the number of keys under a prefix.
func (s *KVStore) Count(prefix string) (count int) {
	s.do(func() {
		for key := range s.keys {
			if strings.HasPrefix(key, prefix) {
				count++
			}
		}
	})
	return count
}

// Entries lists all entries in order of their keys.
func (s *KVStore) Entries() (entries []wire.Entry) {
	s.do(func() {
		for _, key := range s.orderedKeys() {
			entries = append(entries, s.keys[key])
		}
	})
	return entries
}

// LargestValueBytes returns the size in bytes of the largest value under a prefix.
func (s *KVStore) LargestValueBytes(prefix string) (bytes int) {
	s.do(func() {
		for key, entry := range s.keys {
			if strings.HasPrefix(key, prefix) {
				bytes = max(bytes, len(entry.Value))
			}
		}
	})
	return bytes
}

// Put writes a key unconditionally, for state that controllers stored before the test.
func (s *KVStore) Put(key, value string) {
	s.do(func() { s.apply([]wire.Change{{Set: key, Value: json.RawMessage(value)}}) })
}

// Remove deletes a key unconditionally, as an operator could.
func (s *KVStore) Remove(key string) {
	s.do(func() { s.apply([]wire.Change{{Delete: key}}) })
}

// History lists the changes since the last compaction, in order.
func (s *KVStore) History() (changes []wire.WatchEvent) {
	s.do(func() { changes = slices.Clone(s.history) })
	return changes
}

// Revision returns the store's current revision.
func (s *KVStore) Revision() (revision uint64) {
	s.do(func() { revision = s.revision })
	return revision
}

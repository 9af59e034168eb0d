package fake

import (
	"encoding/json"
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// Value returns the stored value of a key.
func (s *KVStore) Value(key string) (value json.RawMessage) {
	s.do(func() { value = s.keys[key].Value })
	return value
}

// Version returns a key's version; 0: there is no such key.
func (s *KVStore) Version(key string) (version uint64) {
	s.do(func() { version = s.keys[key].Version })
	return version
}

// Count returns the number of keys under a prefix.
func (s *KVStore) Count(prefix string) (n int) {
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
func (s *KVStore) Entries() (entries []wire.Entry) {
	s.do(func() {
		for _, key := range s.orderedKeys() {
			entries = append(entries, s.keys[key])
		}
	})
	return entries
}

// LargestValueBytes is the size in bytes of the largest value under a prefix.
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

// Put writes a key as if a controller had done so before the test.
func (s *KVStore) Put(key, value string) {
	s.do(func() { s.apply([]wire.Change{{Set: key, Value: json.RawMessage(value)}}) })
}

// Remove deletes a key as an operator would.
func (s *KVStore) Remove(key string) {
	s.do(func() { s.apply([]wire.Change{{Delete: key}}) })
}

// History lists all changes so far, in order.
func (s *KVStore) History() (changes []wire.WatchEvent) {
	s.do(func() { changes = slices.Clone(s.history) })
	return changes
}

// Revision is the store's current revision.
func (s *KVStore) Revision() (revision uint64) {
	s.do(func() { revision = s.revision })
	return revision
}

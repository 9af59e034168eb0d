package wire

import "github.com/segmentio/encoding/json"

// Entry is a key of the key-value store with its value, version and lease.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"hold"`
}

// EntryPage is one page of a listing of keys.
type EntryPage struct {
	Entries  []Entry `json:"entries"`
	More     bool    `json:"has_next"`
	Revision uint64  `json:"epoch"`
}

// Condition requires a key to have a version; 0 requires that it does not exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change sets or deletes a key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"hold,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// CompareAndSwap changes several keys atomically if all conditions hold.
type CompareAndSwap struct {
	Conditions []Condition `json:"when"`
	Changes    []Change    `json:"apply"`
}

// CompareAndSwapResponse has the revision of the change, or the keys whose conditions failed.
type CompareAndSwapResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
}

// LeaseRequest asks for a lease on keys, which vanish with it.
type LeaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// LeaseResponse names a granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"hold"`
}

// WatchResponse has the changes of the watched keys up to a revision.
type WatchResponse struct {
	Revision uint64       `json:"epoch"`
	Events   []WatchEvent `json:"news"`
}

// WatchEvent is one change of a watched key.
type WatchEvent struct {
	Set     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Delete  string          `json:"delete"`
	Version uint64          `json:"stamp"`
}

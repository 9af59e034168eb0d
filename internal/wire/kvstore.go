package wire

import "github.com/segmentio/encoding/json"

// Entry is a key of the key-value store with its value, its version and the lease that it is
// attached to, if any.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"hold"`
}

// EntryPage is one page of a list of keys.
type EntryPage struct {
	Entries  []Entry `json:"entries"`
	More     bool    `json:"has_next"` // there are further pages
	Revision uint64  `json:"epoch"`
}

// Condition requires a key to have the given version. Version 0 requires that the key doesn't exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change sets or deletes a key: exactly one of Set and Delete names the key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"hold,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// CompareAndSwap applies all changes atomically if all conditions hold.
type CompareAndSwap struct {
	Conditions []Condition `json:"when"`
	Changes    []Change    `json:"apply"`
}

// CompareAndSwapResponse contains the revision of the changes, or the keys whose conditions failed.
type CompareAndSwapResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
}

// LeaseRequest requests a lease. The store deletes keys that are attached to a lease when the lease
// ends.
type LeaseRequest struct {
	TTLMS int64 `json:"life_ms"` // time to live in milliseconds
}

// LeaseResponse contains the id of a granted lease.
type LeaseResponse struct {
	Lease uint64 `json:"hold"`
}

// WatchResponse contains the changes of the watched keys up to Revision.
type WatchResponse struct {
	Revision uint64       `json:"epoch"`
	Events   []WatchEvent `json:"news"`
}

// WatchEvent is one change of a watched key: exactly one of Set and Delete names the key.
type WatchEvent struct {
	Set     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Delete  string          `json:"delete"`
	Version uint64          `json:"stamp"`
}

package ledger

import (
	"fmt"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/wire"
)

// ScaleOutRecord is a scale-out request that was, or may have been, sent to the cloud.
type ScaleOutRecord struct {
	Request wire.ScaleOutRequest `json:"hire"`
	// Machines holds the names of the rented machines. It is empty until the cloud has responded.
	Machines []string `json:"machines,omitempty"`
}

// check returns an error if no controller can have written the record under the key.
func (r *ScaleOutRecord) check(key string) error {
	if ScaleOutKey(r.Request.RequestID) != key || r.Request.Count < 1 || r.Request.Count > autoscaler.MaxScaleOut {
		return fmt.Errorf("scale-out of %d machines with request id %q: the number is out of range or the id doesn't match the key", r.Request.Count, r.Request.RequestID)
	}
	return nil
}

// UnreachableRecord lists machines from which a leader receives no heartbeats. The leader has
// stopped renewing the leases of their agents, and doesn't renew them before the record is empty.
type UnreachableRecord struct {
	// LeaseExpiryMS is the time at which all these leases have expired, in Unix milliseconds.
	LeaseExpiryMS int64    `json:"over_ms"`
	Machines      []string `json:"machines"`
}

// HostsPerChunk is the maximum number of machine names under one key.
const HostsPerChunk = 200

// nameOverheadBytes is the size of the quotes and the comma around a name in a JSON array.
const nameOverheadBytes = 3

// CountFittingNames returns how many of the names, from the first on, fit into a value of
// valueBytes bytes as a JSON array. It is at least 1 unless names is empty.
func CountFittingNames(names []string, valueBytes int) int {
	size := len("[]")
	for i, name := range names {
		if size += len(name) + nameOverheadBytes; size > valueBytes && i > 0 {
			return i
		}
	}
	return len(names)
}

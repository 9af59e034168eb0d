package ledger

import (
	"fmt"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/wire"
)

// ScaleOutRecord is a scale-out that was, or may have been, sent to the cloud.
type ScaleOutRecord struct {
	Request wire.ScaleOutRequest `json:"hire"`
	// Machines is known once the cloud has responded.
	Machines []string `json:"machines,omitempty"`
}

// check finds what no controller can have written under a key.
func (r *ScaleOutRecord) check(key string) error {
	if ScaleOutKey(r.Request.RequestID) != key || r.Request.Count < 1 || r.Request.Count > autoscaler.MaxScaleOut {
		return fmt.Errorf("a scale-out of %d machines with the request id %q", r.Request.Count, r.Request.RequestID)
	}
	return nil
}

// UnreachableRecord lists machines whose heartbeats a leader does not receive, and when, by
// the time of day, their workers' leases expire: it has not renewed them since, and does not
// before this record is empty.
type UnreachableRecord struct {
	LeaseExpiryMS int64    `json:"over_ms"`
	Machines      []string `json:"machines"`
}

// HostsPerChunk is how many machine names one key holds.
const HostsPerChunk = 200

// nameOverheadBytes is how many bytes the JSON of a name takes besides the name: quotes and a comma.
const nameOverheadBytes = 3

// CountFittingNames is how many of some names, from the first on, fit a value of so many
// bytes; at least one.
func CountFittingNames(names []string, valueBytes int) int {
	size := len("[]")
	for i, name := range names {
		if size += len(name) + nameOverheadBytes; size > valueBytes && i > 0 {
			return i
		}
	}
	return len(names)
}

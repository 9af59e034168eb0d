package election

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenLeader compares the leader key and the encoding of its value with their golden files.
func TestGoldenLeader(t *testing.T) {
	property.CheckGolden(t, "leader", &leaderRecord{})
	property.CheckGoldenValues(t, "keys", map[string]any{"leader": LeaderKey})
}

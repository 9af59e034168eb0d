package election

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenLeader compares the leader's key and its value.
func TestGoldenLeader(t *testing.T) {
	property.CheckGolden(t, "leader", &leaderRecord{})
	property.CheckGoldenValues(t, "keys", map[string]any{"leader": LeaderKey})
}

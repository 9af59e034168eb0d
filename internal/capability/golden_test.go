package capability

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenAnnouncement compares the key prefix, the levels, and the encoding of an announcement with
// their golden files.
func TestGoldenAnnouncement(t *testing.T) {
	property.CheckGolden(t, "node", &announcement{})
	property.CheckGoldenValues(t, "constants", map[string]any{
		"key prefix":                   KeyPrefix,
		"level of jobs that wait":      Pipelines,
		"level of transfers":           Transfers,
		"level of the present version": CurrentLevel,
	})
}

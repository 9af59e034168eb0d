package capability

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenAnnouncement compares a controller's key and its value.
func TestGoldenAnnouncement(t *testing.T) {
	property.CheckGolden(t, "node", &announcement{})
	property.CheckGoldenValues(t, "constants", map[string]any{
		"key prefix":                   KeyPrefix,
		"level of jobs that wait":      Pipelines,
		"level of transfers":           Transfers,
		"level of the present version": CurrentLevel,
	})
}

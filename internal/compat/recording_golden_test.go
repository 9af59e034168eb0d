package compat

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenRecording guards against changes of the recordings' JSON format, which later versions must
// be able to read.
func TestGoldenRecording(t *testing.T) {
	property.CheckGolden(t, "recording", &Recording{})
	property.CheckGolden(t, "recording_value", &Value{})
	property.CheckGolden(t, "recording_message", &Message{})
	property.CheckGoldenValues(t, "constants", map[string]any{"direction request": Request, "direction reply": Reply})
}

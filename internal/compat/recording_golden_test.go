package compat

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenRecording compares the form of the recordings, which later versions have to read.
func TestGoldenRecording(t *testing.T) {
	property.CheckGolden(t, "recording", &Recording{})
	property.CheckGolden(t, "recording_value", &Value{})
	property.CheckGolden(t, "recording_message", &Message{})
	property.CheckGoldenValues(t, "constants", map[string]any{"direction request": Request, "direction reply": Reply})
}

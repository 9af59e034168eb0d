// Package settings reads the two files a controller is started with: the
// platform's TOML file, whose unknown fields are ignored, and the operators'
// own INI file, whose unknown keys are refused with their line.
package settings

import (
	"errors"
	"fmt"
)

// ErrConflict means that the two files, each valid on its own, contradict each other.
var ErrConflict = errors.New("the settings files contradict each other")

// FieldError names a field whose value is refused.
type FieldError struct {
	File  string
	Line  int // 0 when not known
	Key   string
	Value string
	Want  string
}

func (e *FieldError) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s = %s: must be %s", at, e.Key, e.Value, e.Want)
}

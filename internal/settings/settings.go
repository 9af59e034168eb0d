// Package settings reads and validates the two settings files of a controller: the platform's TOML
// file, whose unknown fields are ignored, and the operators' INI file, whose unknown keys are
// errors that name the line.
package settings

import (
	"errors"
	"fmt"
)

// ErrConflict means that the two files, each valid on its own, contradict each other.
var ErrConflict = errors.New("the settings files contradict each other")

// FieldError describes a field with an invalid value, or an unknown key.
type FieldError struct {
	File  string
	Line  int // 0 if it is not known
	Key   string
	Value string
	Want  string // description of the valid values
}

func (e *FieldError) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s = %s: must be %s", location, e.Key, e.Value, e.Want)
}

package cells

import (
	"strings"
	"testing"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/federation"
)

// TestEnumNumbersMatch checks that kinds and outcomes have the same numbers in package cellpb as in
// package federation, because they are converted by number.
func TestEnumNumbersMatch(t *testing.T) {
	for number, name := range cellpb.Message_Kind_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "KIND_")); number > 0 && federation.Kind(number).String() != want {
			t.Errorf("kind %d is %q in package cellpb and %q in package federation", number, want, federation.Kind(number))
		}
	}
	for number, name := range cellpb.Answer_Outcome_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "OUTCOME_")); number > 0 && federation.Outcome(number).String() != want {
			t.Errorf("outcome %d is %q in package cellpb and %q in package federation", number, want, federation.Outcome(number))
		}
	}
}

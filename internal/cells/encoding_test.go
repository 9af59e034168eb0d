package cells

import (
	"strings"
	"testing"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/federation"
)

// TestEnumNumbersMatch: kinds and outcomes travel as the numbers that package federation has.
func TestEnumNumbersMatch(t *testing.T) {
	for number, name := range cellpb.Message_Kind_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "KIND_")); number > 0 && federation.Kind(number).String() != want {
			t.Errorf("kind %d is %q in the messages and %q in package federation", number, want, federation.Kind(number))
		}
	}
	for number, name := range cellpb.Answer_Outcome_name {
		if want := strings.ToLower(strings.TrimPrefix(name, "OUTCOME_")); number > 0 && federation.Outcome(number).String() != want {
			t.Errorf("outcome %d is %q in the messages and %q in package federation", number, want, federation.Outcome(number))
		}
	}
}

package ledger

import (
	"testing"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/rollout"
	"leadproxy/internal/wire"
)

// TestUnusablePlansAreMalformed checks that a drain plan of another record version, or one that
// can't be decoded, is not executed and does not prevent a controller from leading.
func TestUnusablePlansAreMalformed(t *testing.T) {
	record := rollout.Record{Version: rollout.RecordVersion, Phase: rollout.PhaseSelecting, Spec: rollout.Spec{Name: "winter"}}
	entry := func(name string, change func(r *rollout.Record)) wire.Entry {
		r := record
		if change != nil {
			change(&r)
		}
		value, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return wire.Entry{Key: PlanKey(name), Value: value}
	}
	s := decodeSnapshot([]wire.Entry{
		entry("winter", nil),
		entry("winter-2", func(r *rollout.Record) { r.Version, r.Spec.Name = rollout.RecordVersion+1, "winter-2" }),
		entry("winter-3", nil), // spec names another plan
		entry("winter-4", func(r *rollout.Record) { r.Phase, r.Spec.Name = "thinking", "winter-4" }),
		{Key: PlanKey("winter-5"), Value: json.RawMessage(`[`)},
	})
	if len(s.Plans) != 1 || s.Plans[0].Spec.Name != "winter" || len(s.Malformed) != 4 {
		t.Errorf("plans %+v, malformed %v; want only plan winter and 4 malformed keys", s.Plans, s.Malformed)
	}
}
